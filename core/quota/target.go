package quota

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minRate is the lowest rate in requests a second that is observed. Without any
	// request, it would not become known that a limit has been lifted.
	minRate = 0.1
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

// Target tracks which requests one incarnation of a target accepts: its limit, of
// which it is the token bucket of this entry, its pauses, and that it leaves. The zero
// value is a target that has said nothing of it.
type Target struct {
	limited atomic.Bool // report.Limited, for a check without the lock
	closed  atomic.Bool // the target has paused or leaves, for a check without the lock

	mu          sync.Mutex
	pausedUntil time.Time
	leaving     bool
	report      Report
	reportedAt  time.Time // arrival of the last response that named the limit or lifted it
	announced   Report    // last report known to the other entries
	announcedAt time.Time

	share    int // tokens of the burst that this entry gets
	burst    int // tokens of all entries
	tokens   float64
	filledAt time.Time
}

// Observe takes the report of a response to a request that this entry sent at the
// given time. It also tells whether the report is to be sent to the other entries.
func (t *Target) Observe(now, sent time.Time, r Report) (event Event, announce bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !r.Limited && t.report.Limited && !sent.After(t.reportedAt) {
		return Unchanged, false // the response may be older than the one that named the limit
	}
	event = t.update(now, r)
	if event == Unchanged && !r.Limited || !t.announcementDue(now, r) {
		return event, false
	}
	t.announced, t.announcedAt = r, now
	return event, true
}

// ObserveRemote takes a report that another entry received some time ago.
func (t *Target) ObserveRemote(now time.Time, r Report, age time.Duration) Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now.Add(-age)
	if age < 0 || at.Before(t.reportedAt) {
		return Unchanged
	}
	t.announced, t.announcedAt = r, at
	return t.update(at, r)
}

// announcementDue reports whether the other entries need the report. The caller holds
// t.mu.
func (t *Target) announcementDue(now time.Time, r Report) bool {
	return !r.IsClose(t.announced) || now.Sub(t.announcedAt) >= RenewInterval
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
	t.fill(at) // at the previous rate
	t.report, t.reportedAt = r, at
	t.limited.Store(r.Limited)
	switch {
	case !r.Limited:
		t.share, t.burst = 0, 0
		return Lifted
	case !previous.Limited:
		t.filledAt = at
		return Named
	case r.Rate != previous.Rate:
		return Changed
	}
	return Unchanged
}

// SetShare sets how many of the tokens of all entries this entry gets. A bucket
// that is new to the entry begins with a random part of a token, so that the
// entries that share the limit do not all send at the same moment.
func (t *Target) SetShare(now time.Time, share, burst int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fill(now)
	switch {
	case share == 0:
		t.tokens = min(t.tokens, 0)
	case t.share == 0 && t.tokens >= 0:
		t.tokens = rand.Float64()
	}
	t.share, t.burst = share, burst
	t.tokens = min(t.tokens, float64(share))
}

// Share returns the tokens of the burst that this entry gets.
func (t *Target) Share() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.share
}

// Available reports whether this entry may send a request now.
func (t *Target) Available(now time.Time) bool {
	if _, closed := t.Closed(now); closed {
		return false
	}
	if !t.limited.Load() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fill(now)
	return !t.report.Limited || t.tokens >= 1
}

// Limited reports whether the target names a limit.
func (t *Target) Limited() bool { return t.limited.Load() }

// Take takes the token of a request that is sent. Requests that are sent at the
// same moment may take more than there are, which later ones make up for.
func (t *Target) Take(now time.Time) {
	if !t.limited.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.report.Limited {
		t.fill(now)
		t.tokens--
	}
}

// Return returns the token of a request that did not reach the target.
func (t *Target) Return(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.report.Limited {
		t.fill(now)
		t.tokens = min(t.tokens+1, float64(t.share))
	}
}

// Wait returns the time until this entry may send a request, and false if it has
// no share of the limit or the target leaves.
func (t *Target) Wait(now time.Time) (time.Duration, bool) {
	pause, closed := t.Closed(now)
	if closed && pause == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fill(now)
	switch {
	case !t.report.Limited || t.tokens >= 1:
		return pause, true
	case t.share == 0:
		return 0, false
	}
	return max(pause, time.Duration((1-t.tokens)/t.fillRate()*float64(time.Second))), true
}

// fill adds the tokens gained since the last call. The caller holds t.mu.
func (t *Target) fill(now time.Time) {
	elapsed := now.Sub(t.filledAt)
	if elapsed <= 0 {
		return
	}
	t.filledAt = now
	if t.report.Limited && t.share > 0 {
		t.tokens = min(t.tokens+t.fillRate()*elapsed.Seconds(), float64(t.share))
	}
}

// fillRate returns the tokens that this entry gains in a second. The caller holds
// t.mu.
func (t *Target) fillRate() float64 {
	return max(t.report.Rate, minRate) * float64(t.share) / float64(max(1, t.burst))
}
