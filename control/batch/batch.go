package batch

import "time"

// Delay is how long a report may wait for others. It is short against the time
// between two requests to one target.
const Delay = 20 * time.Millisecond

// Notice is an element of a report.
type Notice[N any] interface {
	// Aged returns the notice after some more time.
	Aged(d time.Duration) N
}

// Batch collects reports. It is not safe for concurrent use.
type Batch[N Notice[N]] struct {
	delay     time.Duration
	lastFlush time.Time
	reports   []report[N]
}

// report holds the notices that one instance reported.
type report[N any] struct {
	from   string
	group  string
	direct bool
	list   []N
	at     time.Time
}

// Option configures a Batch.
type Option func(*options)

type options struct{ delay time.Duration }

// WithDelay sets how long a report may wait for others. The default is Delay.
func WithDelay(d time.Duration) Option { return func(o *options) { o.delay = d } }

// New returns an empty batch.
func New[N Notice[N]](opts ...Option) *Batch[N] {
	o := options{delay: Delay}
	for _, opt := range opts {
		opt(&o)
	}
	return &Batch[N]{delay: o.delay}
}

// Add adds a report of an instance to the entries of a group. A direct report
// comes from the instance itself and not from another replica.
func (b *Batch[N]) Add(now time.Time, from, group string, list []N, direct bool) {
	b.reports = append(b.reports, report[N]{from: from, group: group, direct: direct, list: list, at: now})
}

// Next returns the time from which Flush is due, and false if there is nothing to
// flush.
func (b *Batch[N]) Next() (time.Time, bool) {
	return b.lastFlush.Add(b.delay), len(b.reports) > 0
}

// Flush removes the reports and returns their notices by group.
func (b *Batch[N]) Flush(now time.Time) map[string]Group[N] {
	b.lastFlush = now
	out := map[string]Group[N]{}
	for _, r := range b.reports {
		group, ok := out[r.group]
		if !ok {
			group = Group[N]{reporters: map[string]bool{}}
		}
		group.reporters[r.from] = true
		for _, n := range r.list {
			n = n.Aged(now.Sub(r.at))
			group.all = append(group.all, n)
			group.from = append(group.from, r.from)
			if r.direct {
				group.direct = append(group.direct, n)
			}
		}
		out[r.group] = group
	}
	b.reports = nil
	return out
}

// Group holds the notices for one group of entries.
type Group[N any] struct {
	all       []N
	from      []string // reporters of all
	direct    []N
	reporters map[string]bool
}

// All returns all notices.
func (g Group[N]) All() []N { return g.all }

// Direct returns the notices of direct reports.
func (g Group[N]) Direct() []N { return g.direct }

// Reported reports whether one of the notices was reported by the instance.
func (g Group[N]) Reported(instance string) bool { return g.reporters[instance] }

// Except returns the notices that the instance did not report.
func (g Group[N]) Except(instance string) []N {
	var out []N
	for i, n := range g.all {
		if g.from[i] != instance {
			out = append(out, n)
		}
	}
	return out
}
