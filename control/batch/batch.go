package batch

import (
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

// Delay is how long a report may wait for others. It is short against the time
// between two requests to one target.
const Delay = 20 * time.Millisecond

// Batch collects reports. It is not safe for concurrent use.
type Batch struct {
	delay     time.Duration
	lastFlush time.Time
	reports   []report
}

// report holds the suspects that one instance reported.
type report struct {
	from   string
	region string
	direct bool
	list   []wire.Suspect
	at     time.Time
}

// Option configures a Batch.
type Option func(*Batch)

// WithDelay sets how long a report may wait for others. The default is Delay.
func WithDelay(d time.Duration) Option { return func(b *Batch) { b.delay = d } }

// New returns an empty batch.
func New(opts ...Option) *Batch {
	b := &Batch{delay: Delay}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Add adds a report of an instance. A direct report comes from the instance
// itself and not from another replica.
func (b *Batch) Add(now time.Time, from string, s wire.Suspects, direct bool) {
	b.reports = append(b.reports, report{from: from, region: s.Region, direct: direct, list: s.List, at: now})
}

// Next returns the time from which Flush is due, and false if there is nothing to
// flush.
func (b *Batch) Next() (time.Time, bool) {
	return b.lastFlush.Add(b.delay), len(b.reports) > 0
}

// Flush removes the reports and returns them by region.
func (b *Batch) Flush(now time.Time) map[string]Region {
	b.lastFlush = now
	out := map[string]Region{}
	for _, r := range b.reports {
		region, ok := out[r.region]
		if !ok {
			region = Region{reporters: map[string]bool{}}
		}
		region.reporters[r.from] = true
		for _, s := range r.list {
			s.Age += now.Sub(r.at)
			region.all = append(region.all, s)
			region.from = append(region.from, r.from)
			if r.direct {
				region.direct = append(region.direct, s)
			}
		}
		out[r.region] = region
	}
	b.reports = nil
	return out
}

// Region holds the suspects of one region.
type Region struct {
	all       []wire.Suspect
	from      []string // reporters of all
	direct    []wire.Suspect
	reporters map[string]bool
}

// All returns all suspects.
func (r Region) All() []wire.Suspect { return r.all }

// Direct returns the suspects of direct reports.
func (r Region) Direct() []wire.Suspect { return r.direct }

// Reported reports whether one of the suspects was reported by the instance.
func (r Region) Reported(instance string) bool { return r.reporters[instance] }

// Except returns the suspects that the instance did not report.
func (r Region) Except(instance string) []wire.Suspect {
	var out []wire.Suspect
	for i, s := range r.all {
		if r.from[i] != instance {
			out = append(out, s)
		}
	}
	return out
}
