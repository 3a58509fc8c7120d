package eject_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/eject"
	"github.com/galenalock/galenalock/core/health"
	"github.com/galenalock/galenalock/core/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const tick = 100 * time.Millisecond

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 8080)
}

func readyTarget(i int) eject.Target {
	return eject.Target{Service: "tables", Address: address(i), Start: start, Slots: 6, State: eject.Ready}
}

// newLeader returns a leader with ready targets, and the time at which it may
// start to eject.
func newLeader(policy health.Policy, count int, opts ...eject.Option) (*eject.Leader, time.Time) {
	l, err := eject.New(start, 1, opts...)
	if err != nil {
		panic(err)
	}
	l.SetService("tables", eject.Floor{Share: 0.8}, policy)
	for i := range count {
		l.UpdateTarget(start, readyTarget(i))
	}
	return l, start.Add(eject.LeaseDuration + eject.MaxMessageDelay)
}

// addEvidence adds evidence of one region about a target.
func addEvidence(l *eject.Leader, now time.Time, region string, target, good, slow, failed int) {
	badScore, goodScore := health.LogRatios(0)
	l.AddEvidence(now, wire.Evidence{Region: region, Targets: []wire.TargetEvidence{{
		Service: "tables", Target: address(target), Start: start,
		Score: float64(slow+failed)*badScore + float64(good)*goodScore, Good: good, Slow: slow, Failed: failed,
	}}})
}

// stepUntil steps a leader, calling report before every step, until the target is
// in a state. It returns how long that took and whether the state was reached.
func stepUntil(l *eject.Leader, now time.Time, state string, target int, limit time.Duration, report func(now time.Time)) (time.Duration, bool) {
	for at := time.Duration(0); at <= limit; at += tick {
		report(now.Add(at))
		for _, set := range l.Step(now.Add(at)) {
			l.ProposalApplied(2, set.Service)
		}
		if l.State("tables", address(target)) == state {
			return at, true
		}
	}
	return limit, false
}

func Example() {
	l, now := newLeader(health.Fast, 12)
	took, _ := stepUntil(l, now, "ejected", 5, time.Second, func(now time.Time) { addEvidence(l, now, "salish", 5, 0, 8, 0) })
	orders := l.Orders(now.Add(took))

	leases := eject.NewLeaseTable() // of an entry
	leases.SetFloor("tables", eject.Floor{Share: 0.8})
	for i := range 12 {
		leases.UpdateTarget(now, readyTarget(i))
	}
	leases.SetOrders(now.Add(took), orders)
	leases.Step(now.Add(took))
	fmt.Println(leases.Ejected("tables")[0].Target, took)
	leases.Step(now.Add(took + eject.LeaseDuration)) // cut off from control
	fmt.Println(len(leases.Ejected("tables")))
	// Output:
	// 10.0.0.5:8080 300ms
	// 0
}

// Guards against ejections that one pause, the link of one region or a common
// fault causes, and against faulty targets that are never ejected.
func TestEjectionDecision(t *testing.T) {
	cases := []struct {
		name    string
		policy  health.Policy
		want    bool
		ticks   int
		reports func(l *eject.Leader, now time.Time, i int)
	}{
		{"slow seen by two regions", health.Careful, true, 50, func(l *eject.Leader, now time.Time, _ int) {
			addEvidence(l, now, "salish", 5, 1, 6, 0)
			addEvidence(l, now, "haida", 5, 1, 6, 0)
		}},
		{"slow seen by one of two regions", health.Careful, false, 100, func(l *eject.Leader, now time.Time, _ int) {
			addEvidence(l, now, "salish", 5, 1, 6, 0)
			addEvidence(l, now, "haida", 5, 7, 0, 0)
		}},
		{"one pause of 150 ms", health.Fast, false, 50, func(l *eject.Leader, now time.Time, i int) {
			addEvidence(l, now, "salish", 5, 9*boolToInt(i >= 2), 100*boolToInt(i < 2), 0)
		}},
		{"errors at 5%", health.Fast, true, 50, func(l *eject.Leader, now time.Time, i int) {
			addEvidence(l, now, "salish", 5, 19, 0, 1)
		}},
		{"errors at 0.5%", health.Fast, false, 200, func(l *eject.Leader, now time.Time, i int) {
			addEvidence(l, now, "salish", 5, 20, 0, boolToInt(i%10 == 0))
		}},
		{"most targets slow", health.Fast, false, 50, func(l *eject.Leader, now time.Time, _ int) {
			for j := range 7 {
				addEvidence(l, now, "salish", j+2, 0, 6, 0)
			}
		}},
		{"most targets slow, then few reports", health.Fast, false, 70, func(l *eject.Leader, now time.Time, i int) {
			for j := range 12 {
				if i < 10 || j >= 5 && j < 10 {
					addEvidence(l, now, "salish", j, 0, 6, 0)
				}
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, now := newLeader(c.policy, 12)
			i := 0
			_, got := stepUntil(l, now, "ejected", 5, time.Duration(c.ticks)*tick, func(now time.Time) {
				c.reports(l, now, i)
				i++
			})
			is.Equal(got, c.want)
		})
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against a flapping target that returns to service as often as it fails.
func TestHoldDownDoubles(t *testing.T) {
	is := is.New(t)
	l, now := newLeader(health.Fast, 12)
	var holds []time.Duration
	for range 4 {
		took, ok := stepUntil(l, now, "ejected", 5, time.Minute, func(now time.Time) { addEvidence(l, now, "salish", 5, 0, 8, 0) })
		is.True(ok)
		now = now.Add(took)
		took, ok = stepUntil(l, now, "probation", 5, 10*time.Minute, func(time.Time) {})
		is.True(ok)
		holds = append(holds, took)
		now = now.Add(took)
		took, ok = stepUntil(l, now, "healthy", 5, time.Minute, func(now time.Time) { addEvidence(l, now, "salish", 5, 5, 0, 0) })
		is.True(ok)
		now = now.Add(took + tick)
	}
	for i, want := range []time.Duration{5, 10, 20, 40} {
		is.Equal(holds[i].Round(time.Second), want*time.Second)
	}
}

// Guards against a floor above the announced capacity that ends the decision, or
// leaves targets ejected: its budget is negative.
func TestFloorAboveCapacity(t *testing.T) {
	is := is.New(t)
	report := func(l *eject.Leader) func(now time.Time) {
		return func(now time.Time) { addEvidence(l, now, "salish", 5, 0, 8, 0) }
	}
	l, now := newLeader(health.Fast, 12)
	took, ok := stepUntil(l, now, "ejected", 5, time.Minute, report(l))
	is.True(ok)
	now = now.Add(took)
	l.SetService("tables", eject.Floor{Slots: 1000}, health.Fast)
	for _, set := range l.Step(now.Add(tick)) {
		l.ProposalApplied(3, set.Service)
	}
	is.Equal(len(l.Orders(now.Add(tick)).Grants), 0)

	l, now = newLeader(health.Fast, 12)
	l.SetService("tables", eject.Floor{Slots: 1000}, health.Fast)
	_, ok = stepUntil(l, now, "ejected", 5, 10*time.Second, report(l))
	is.True(!ok)
}

// Guards against a new leader that ejects targets while leases of its predecessor
// may still be in force on entries.
func TestNewLeaderDelaysEjections(t *testing.T) {
	is := is.New(t)
	l, _ := newLeader(health.Fast, 12)
	took, ok := stepUntil(l, start, "ejected", 5, time.Minute, func(now time.Time) { addEvidence(l, now, "salish", 5, 0, 8, 0) })
	is.True(ok)
	is.True(took >= eject.LeaseDuration+eject.MaxMessageDelay)
}

// Guards against a sequence of events that the life cycle does not handle, which
// would panic.
func TestArbitraryEvents(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	l, now := newLeader(health.Fast, 6)
	states := []eject.State{eject.Cold, eject.Ready, eject.Draining, eject.Gone}
	for range 20000 {
		now = now.Add(tick)
		target := readyTarget(rng.IntN(6))
		target.Start = start.Add(time.Duration(rng.IntN(3)) * time.Second)
		target.State = states[rng.IntN(4)]
		if rng.IntN(20) == 0 {
			l.UpdateTarget(now, target)
		}
		addEvidence(l, now, "salish", rng.IntN(6), rng.IntN(4), rng.IntN(10), rng.IntN(2))
		for _, set := range l.Step(now) {
			if rng.IntN(3) > 0 {
				l.ProposalApplied(2, set.Service)
			} else {
				l.ProposalFailed(set.Service)
			}
		}
		l.Orders(now)
	}
}
