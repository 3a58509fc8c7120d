package limit_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/limit"
	"github.com/galenalock/galenalock/core/retry"
	"github.com/galenalock/galenalock/core/room"
)

const (
	loadStep   = 5 * time.Millisecond
	loadLength = 20 * time.Second
	loadBegin  = 5 * time.Second // of the overload
)

// class is a class of requests in a simulated load.
type class struct {
	name              string
	rank              int
	rate              float64 // requests a second
	work              time.Duration
	goal, wait, limit time.Duration // latency goal, time that the caller waits, timeout of the route
	inTime, late      float64       // worth of an answer
	burst             float64       // factor of the rate during the overload
}

// loadModel is a service of targets with a queue that knows no priority, behind several
// entries. The overload begins at loadBegin.
type loadModel struct {
	name           string
	classes        []class
	entries, busy  int // entries, and those to which bursts are limited, 0: all
	centres        int // data centres over which entries and targets are spread, 0: one
	targets, lost  int // targets, and those lost during the overload
	slots, queue   int
	overload       time.Duration
	shed           float64 // share of the arrivals that all targets shed during the overload
	tries          int     // of a caller
	impatient      bool    // callers return after 20 ms, whatever Retry-After says
	noRetryAfter   time.Duration
	retryAfterShed time.Duration
	wantSame       bool // as by the former rule
	wantServed     bool // each class must be served as by the former rule
	wantUrgent     bool // the most urgent class must get more than by the former rule
	wantWorth      bool // the worth must be higher than by the former rule
}

// customers are the requests of a fleet with three kinds, a fifth of its size.
var customers = []class{
	{name: "order", rank: 0, rate: 42, work: 260 * time.Millisecond, goal: 800 * time.Millisecond, wait: 2 * time.Second, limit: 1200 * time.Millisecond, inTime: 6.1, late: 0.74},
	{name: "lookup", rank: 1, rate: 58, work: 370 * time.Millisecond, goal: 1500 * time.Millisecond, wait: 3 * time.Second, limit: 2 * time.Second, inTime: 1.1, late: 0.32},
	{name: "note", rank: 2, rate: 148, work: 480 * time.Millisecond, goal: 3 * time.Second, wait: 4 * time.Second, limit: 2500 * time.Millisecond, inTime: 1.1, late: 0.49},
}

// burst returns the customers with a factor on the rate of each class.
func burst(factors ...float64) []class {
	out := append([]class{}, customers...)
	for i := range out {
		out[i].burst = factors[i]
	}
	return out
}

// workspaces returns the customers and one more workspace with requests like note, of
// which it sends 7.5 times as many in the overload.
func workspaces() []class {
	one := customers[2]
	one.name, one.rate, one.burst = "workspace", 24, 7.5
	return append(burst(1, 1, 1), one)
}

type caller struct {
	class    *class
	first    time.Time
	tries    int
	attempts int
	entry    int
	deadline time.Time
	ticket   *limit.Ticket
}

type loadTarget struct {
	number  int
	running int
	waiting []*caller
}

type loadCounts struct{ offered, inTime, late, refused, failed int }

type loadRun struct {
	loadModel
	rng     *rand.Rand
	now     time.Time
	gates   []*limit.Gate
	budgets []*retry.Budget
	targets []loadTarget
	events  map[time.Time][]func()
	counts  map[string]*loadCounts
	callers map[*limit.Ticket]*caller
}

func (l loadModel) run(seed uint64, opts ...limit.Option) *loadRun {
	r := &loadRun{loadModel: l, rng: rand.New(rand.NewPCG(seed, 1)), now: start, targets: make([]loadTarget, l.targets), events: map[time.Time][]func(){}, counts: map[string]*loadCounts{}, callers: map[*limit.Ticket]*caller{}}
	for range l.entries {
		g := limit.New(start, append(opts, limit.WithMinLimit(64))...)
		g.SetCapacity(start, float64(l.targets*l.slots), l.entries)
		g.SetTiers(map[room.Tier]bool{room.SameDataCentre: true, room.OtherRegion: l.centres > 1})
		r.gates = append(r.gates, g)
		b := retry.New(start, retry.WithWindow(10*time.Second, 0.2, 64), retry.WithRounding(r.rng.Float64()))
		b.SetEntries(l.entries)
		r.budgets = append(r.budgets, b)
	}
	for i := range r.targets {
		r.targets[i].number = i
	}
	for i := range l.classes {
		r.counts[l.classes[i].name] = &loadCounts{}
	}
	for ; r.now.Before(start.Add(loadLength)); r.now = r.now.Add(loadStep) {
		for _, event := range r.events[r.now] {
			event()
		}
		delete(r.events, r.now)
		for i := range l.classes {
			c := &l.classes[i]
			rate := c.rate
			if r.overloaded() && c.burst > 0 {
				rate *= c.burst
			}
			for expected := rate * loadStep.Seconds(); r.rng.Float64() < expected; expected-- {
				entry := r.rng.IntN(l.entries)
				if extra := rate - c.rate; extra > 0 && l.busy > 0 && r.rng.Float64() < extra/rate {
					entry = r.rng.IntN(l.busy) * max(1, l.centres)
				}
				r.counts[c.name].offered += r.counted(r.now)
				r.send(&caller{class: c, first: r.now, entry: entry})
			}
		}
		if r.now.Sub(start)%(100*time.Millisecond) == 0 {
			for _, g := range r.gates {
				r.decide(g.Tick(r.now))
			}
		}
	}
	return r
}

func (r *loadRun) overloaded() bool {
	since := r.now.Sub(start) - loadBegin
	return since >= 0 && since < r.overload
}

// counted returns 1 if a caller that first sent its request at a time counts: in the
// overload or right after it.
func (r *loadRun) counted(first time.Time) int {
	since := first.Sub(start) - loadBegin
	return boolToInt(since >= 0 && since < r.overload+time.Second)
}

func (r *loadRun) after(d time.Duration, f func()) {
	at := r.now.Add(max(loadStep, d.Round(loadStep)))
	r.events[at] = append(r.events[at], f)
}

func (r *loadRun) send(c *caller) {
	c.tries++
	c.attempts = 0
	c.deadline = r.now.Add(min(c.class.limit, c.first.Add(c.class.wait).Sub(r.now)))
	c.ticket = &limit.Ticket{Kind: c.class.name, Rank: c.class.rank, Weight: 1, Goal: r.now.Add(c.class.goal), Deadline: c.deadline}
	r.callers[c.ticket] = c
	_, decided := r.gates[c.entry].Acquire(r.now, c.ticket)
	r.decide(append(decided, c.ticket))
}

func (r *loadRun) decide(tickets []*limit.Ticket) {
	for _, t := range tickets {
		c := r.callers[t]
		switch t.Decision {
		case limit.Admitted:
			delete(r.callers, t)
			r.budgets[c.entry].AddRequestAt(r.now)
			r.dispatch(c)
		case limit.Refused:
			delete(r.callers, t)
			after := t.RetryAfter
			if after == 0 {
				after = r.noRetryAfter
			}
			r.refused(c, after)
		}
	}
}

func (r *loadRun) dispatch(c *caller) {
	c.attempts++
	usable := len(r.targets)
	if r.overloaded() {
		usable -= r.lost
	}
	var t *loadTarget
	least := 0.0
	for n := range 4 {
		i := r.rng.IntN(usable)
		if c.ticket.Tier != room.SameDataCentre && n < 2 {
			continue
		}
		if r.centres > 1 { // two of the own data centre and two others
			i -= i%r.centres - c.entry%r.centres
			if n >= 2 {
				i += 1 + r.rng.IntN(r.centres-1)
			}
			i %= usable
		} else if n >= 2 {
			break
		}
		other := &r.targets[i]
		cost := float64(other.running+len(other.waiting)) / float64(r.slots)
		if r.tier(c, other) != room.SameDataCentre {
			cost += farCost
		}
		if t == nil || cost < least {
			t, least = other, cost
		}
	}
	switch {
	case r.overloaded() && r.rng.Float64() < r.shed, t.running+len(t.waiting) >= r.slots+r.queue:
		r.gates[c.entry].ObserveTarget(r.now, r.tier(c, t), t.running+len(t.waiting), r.slots)
		r.gates[c.entry].ObserveShed(r.now)
		r.gates[c.entry].RecordShed()
		r.retry(c)
	case t.running < r.slots:
		r.start(t, c)
	default:
		t.waiting = append(t.waiting, c)
	}
}

// farCost is the utilization by which the own data centre exceeds others before
// requests leave it.
const farCost = 0.8

func (r *loadRun) tier(c *caller, t *loadTarget) room.Tier {
	if r.centres > 1 && t.number%r.centres != c.entry%r.centres {
		return room.OtherRegion
	}
	return room.SameDataCentre
}

func (r *loadRun) retry(c *caller) {
	reserve := 0.0
	if r.retryAfterShed == 0 {
		reserve = r.gates[c.entry].Reserve(r.now, c.class.rank)
	}
	if c.attempts < 3 && r.budgets[c.entry].AllowReserved(r.now, retry.Shed, 1, c.deadline.Sub(r.now), reserve) {
		r.after(loadStep, func() { r.dispatch(c) })
		return
	}
	after := r.retryAfterShed
	if d, ok := r.gates[c.entry].RetryAfter(r.now, c.class.rank); ok && after == 0 {
		after = d
	}
	r.decide(r.gates[c.entry].Release(r.now, c.ticket, false))
	r.refused(c, after)
}

func (r *loadRun) start(t *loadTarget, c *caller) {
	t.running++
	r.after(time.Duration((0.7+0.6*r.rng.Float64())*float64(c.class.work)), func() {
		t.running--
		load := t.running + len(t.waiting)
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			r.start(t, next)
		}
		inTime := !r.now.After(c.deadline)
		g := r.gates[c.entry]
		if inTime {
			g.RecordLoad(c.ticket, load, r.slots)
			g.ObserveTarget(r.now, r.tier(c, t), load, r.slots)
		}
		r.decide(g.Release(r.now, c.ticket, inTime))
		counts, n := r.counts[c.class.name], r.counted(c.first)
		switch {
		case !inTime:
			counts.failed += n
		case r.now.Sub(c.first) <= c.class.goal:
			counts.inTime += n
		default:
			counts.late += n
		}
	})
}

// refused lets a caller return after a time, of which it honours a third of what it has.
func (r *loadRun) refused(c *caller, after time.Duration) {
	left := c.first.Add(c.class.wait).Sub(r.now)
	after = min(after, left/3)
	if r.impatient {
		after = 20 * time.Millisecond
	}
	if c.tries >= r.tries || left < 50*time.Millisecond {
		r.counts[c.class.name].refused += r.counted(c.first)
		return
	}
	r.after(after, func() {
		c.entry = r.rng.IntN(r.entries)
		r.send(c)
	})
}

// worth returns the worth of all answers in proportion to that of answers in time.
func (r *loadRun) worth() float64 {
	got, possible := 0.0, 0.0
	for _, c := range r.classes {
		n := r.counts[c.name]
		got += c.inTime*float64(n.inTime) + c.late*float64(n.late)
		possible += c.inTime * float64(n.offered)
	}
	return got / possible
}

func (r *loadRun) served(name string) float64 {
	n := r.counts[name]
	return float64(n.inTime+n.late) / float64(max(1, n.offered))
}

func (r *loadRun) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "worth %.3f", r.worth())
	for _, c := range r.classes {
		n := r.counts[c.name]
		all := float64(max(1, n.offered)) / 100
		fmt.Fprintf(&b, "; %s of %d in time %.0f%%, late %.0f%%, refused %.0f%%, failed %.0f%%", c.name, n.offered,
			float64(n.inTime)/all, float64(n.late)/all, float64(n.refused)/all, float64(n.failed)/all)
	}
	return b.String()
}

var loadModels = []loadModel{
	{name: "quiet", classes: burst(1, 1, 1), targets: 43, overload: 6 * time.Second, wantSame: true},
	{name: "at 86% of the capacity", classes: burst(1, 1, 1), targets: 20, overload: 10 * time.Second, wantSame: true},
	{name: "burst of one kind", classes: burst(1, 1, 2.2), targets: 24, overload: 6 * time.Second, wantUrgent: true, wantWorth: true},
	{name: "burst of an urgent kind", classes: burst(7, 1, 1), targets: 24, overload: 6 * time.Second, wantWorth: true},
	{name: "burst of one workspace", classes: workspaces(), targets: 24, overload: 7 * time.Second, wantUrgent: true, wantWorth: true},
	{name: "burst of one data centre", classes: burst(2, 2, 2), targets: 24, busy: 4, overload: 7 * time.Second, wantUrgent: true, wantWorth: true},
	{name: "burst of one data centre while others have room", classes: burst(2, 2, 2), targets: 42, centres: 3, busy: 8, overload: 7 * time.Second, wantServed: true},
	{name: "burst of one data centre beside full ones", classes: burst(2, 2, 2), targets: 24, centres: 3, busy: 8, overload: 7 * time.Second, wantUrgent: true, wantWorth: true},
	{name: "half of the targets lost", classes: burst(1, 1, 1), targets: 30, lost: 15, overload: 8 * time.Second, wantUrgent: true, wantWorth: true},
	{name: "shedding", classes: burst(1, 1, 1), targets: 43, overload: 8500 * time.Millisecond, shed: 0.55, wantUrgent: true, wantWorth: true},
	{name: "impatient callers", classes: burst(1, 1, 3), targets: 24, overload: 7 * time.Second, tries: 12, impatient: true, wantUrgent: true, wantWorth: true},
}

// sampling is the standard error of a share of the requests of the smallest class.
const sampling = 0.02

// Guards against requests of urgent classes that wait behind others at targets that
// know no priority, and against work on requests that end too late. The naive variant
// limits only the requests in flight.
func TestOverloadOfTargets(t *testing.T) {
	for _, entries := range []int{25, 150} { // 10 and 1.7 requests a second of each entry
		for _, l := range loadModels {
			l.entries, l.slots, l.queue, l.noRetryAfter = entries, 6, 24, time.Second
			l.busy = l.busy * entries / 24
			if l.tries == 0 {
				l.tries = 3
			}
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("%s, %d entries, seed %d", l.name, entries, seed), func(t *testing.T) { l.check(t, seed) })
			}
		}
	}
}

func (l loadModel) check(t *testing.T, seed uint64) {
	is := is.New(t)
	paced := l.run(seed)
	former := l
	former.retryAfterShed = 500 * time.Millisecond
	naive := former.run(seed, limit.WithoutPacing())
	t.Logf("\n  paced:  %v\n  former: %v", paced, naive)
	all := 0.0
	for i, c := range l.classes {
		if i > 0 && c.rank > l.classes[i-1].rank {
			is.True(paced.served(c.name) <= paced.served(l.classes[i-1].name)+sampling)
		}
		is.True(!l.wantServed || paced.served(c.name) >= naive.served(c.name)-sampling)
		all += paced.served(c.name) / float64(len(l.classes))
	}
	is.True(paced.served(l.classes[len(l.classes)-1].name) >= all/4)
	if l.wantSame {
		is.Equal(paced.String(), naive.String())
	}
	if l.wantUrgent {
		is.True(paced.served("order") > naive.served("order"))
	}
	if l.wantWorth {
		is.True(paced.worth() > naive.worth())
	}
}
