package quota

import (
	"sync"
	"time"
)

// Event is a change of what is known about the limit of a target. The values are
// attributes of a counter.
type Event string

// The events.
const (
	Unchanged Event = ""
	Named     Event = "named"   // the target names a limit for the first time
	Changed   Event = "changed" // the target names another limit
	Lifted    Event = "lifted"  // the target no longer names a limit
)

// Events returns all events that change something.
func Events() []Event { return []Event{Named, Changed, Lifted} }

// Target tracks the limit of one incarnation of a target. The zero value is a
// target that has named none.
type Target struct {
	mu         sync.Mutex
	report     Report
	reportedAt time.Time // arrival of the last response that named the limit or lifted it
}

// Observe takes the report of a response to a request that this entry sent at the
// given time.
func (t *Target) Observe(now, sent time.Time, r Report) Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !r.Limited && t.report.Limited && !sent.After(t.reportedAt) {
		return Unchanged // the response may be older than the one that named the limit
	}
	return t.update(now, r)
}

// Report returns the last known report.
func (t *Target) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report
}

// update replaces the report. The caller holds t.mu.
func (t *Target) update(at time.Time, r Report) Event {
	previous := t.report
	if !r.Limited && !previous.Limited {
		return Unchanged
	}
	t.report, t.reportedAt = r, at
	switch {
	case !r.Limited:
		return Lifted
	case !previous.Limited:
		return Named
	case r.Rate != previous.Rate:
		return Changed
	}
	return Unchanged
}
