package bucket_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/bucket"
)

const (
	fleetEntries    = 127
	fleetWorkspaces = 85
	fleetDemand     = 1240 // requests a second
	fleetHeadroom   = 1.6  // limit over the usual demand
	burstFactor     = 7.5
	overloadStep    = 3 // of these many workspaces one is overloaded
)

// overload raises the demand of some workspaces, the largest among them.
func (m *model) overload(from, to time.Duration) {
	for i, w := range m.workspaces {
		if i%overloadStep == 0 {
			w.factor = func(since time.Duration) float64 {
				if since >= from && since < to {
					return burstFactor
				}
				return 1
			}
		}
	}
}

// scenario is a fault under which the bound must hold.
type scenario struct {
	name  string
	apply func(m *model)
	from  time.Duration // from which the bound is checked
}

// cut separates a part of the entries from the leader, in one direction.
func cut(part float64, answers bool) func(m *model) {
	return func(m *model) {
		path := func(now time.Duration, e *modelEntry) bool {
			since := now - modelStart
			return since < 8*time.Second || since > 20*time.Second || float64(e.number) >= part*fleetEntries
		}
		if answers {
			m.arrives = path
		} else {
			m.answers = path
		}
	}
}

// changeLeader loses the leader. The former one answers some entries until its lease
// ends.
func changeLeader(m *model) {
	begin := 10 * time.Second
	m.events[begin] = func(now time.Duration) {
		former := m.leader
		m.elect(now)
		next := m.leader
		m.leader = former
		m.after(now, bucket.LeaseTime, func(time.Duration) { m.leader = next })
	}
	m.hears = func(now time.Duration, r *modelReplica) bool {
		since := now - modelStart
		return since < begin || since >= begin+bucket.LeaseTime || r.number%2 == 0
	}
}

func scenarios() []scenario {
	second := time.Second
	return []scenario{
		{"uneven demand", func(*model) {}, 0},
		{"leader change", changeLeader, 0},
		{"leader silent for 7 s", func(m *model) {
			m.hears = func(now time.Duration, _ *modelReplica) bool {
				since := now - modelStart
				return since < 9*second || since > 16*second
			}
		}, 0},
		{"leader changes twice, one replica hears no answers", func(m *model) {
			changeLeader(m)
			m.events[12*second] = m.elect
			m.heard = func(now time.Duration, r *modelReplica) bool {
				since := now - modelStart
				return since < 9*second || since > 18*second || r.number > 0
			}
		}, 0},
		{"30% cut, questions lost", cut(0.3, false), 0},
		{"90% cut, answers lost", cut(0.9, true), 0},
		{"restarts", func(m *model) {
			for i := range 40 {
				m.events[time.Duration(i)*second/2] = func(time.Duration) { m.restart(m.entries[m.rng.IntN(len(m.entries))]) }
			}
		}, 0},
		{"suspension", func(m *model) {
			m.frozen = func(now time.Duration, e *modelEntry) bool {
				since := now - modelStart
				return e.number%2 == 0 && since > 9*second && since < 9*second+time.Duration(1+e.number%6)*second
			}
		}, 0},
		{"limits lowered", func(m *model) {
			m.events[9*second] = func(time.Duration) { m.setLimits(0.3) }
		}, 9*second + 2500*time.Millisecond},
		{"limits lowered, 30% cut", func(m *model) {
			cut(0.3, true)(m)
			m.events[9*second] = func(time.Duration) { m.setLimits(0.3) }
		}, 9*second + 2500*time.Millisecond},
		{"entries added", func(m *model) {
			for _, e := range m.entries[fleetEntries/2:] {
				e.down = true
			}
			m.events[10*second] = func(time.Duration) {
				for _, e := range m.entries {
					e.down = false
				}
			}
		}, 0},
	}
}

// Guards against a fleet that lets more requests of a workspace run than its limit
// permits, under each fault, while callers send far more.
func TestFleetStaysWithinLimits(t *testing.T) {
	bursts := []float64{1, 6, 0} // seconds of the rate
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			m := newModel(1, fleetEntries, fleetWorkspaces, fleetDemand, fleetHeadroom)
			m.overload(6*time.Second, 22*time.Second)
			for i, w := range m.workspaces {
				w.limit.Burst = w.limit.Rate * bursts[i/overloadStep%len(bursts)]
			}
			s.apply(m)
			m.run()
			r := m.measure(s.from)
			t.Logf("largest window %.2f of the bound", r.overshoot)
			is.True(r.overshoot <= 1)
		})
	}
}

// Guards against requests that are refused although the workspace is within its limit,
// while callers are uneven and while other workspaces are far over theirs. The present
// equal shares refuse many.
func TestRequestsWithinTheLimitAreServed(t *testing.T) {
	const most = 0.01
	is := is.New(t)
	for _, overloaded := range []bool{false, true} {
		for _, naive := range []bool{true, false} {
			m := newModel(2, fleetEntries, fleetWorkspaces, fleetDemand, fleetHeadroom)
			m.naive = naive
			if overloaded {
				m.overload(8*time.Second, 15*time.Second)
			}
			m.run()
			r := m.measure(0)
			t.Logf("overload %v, equal shares %v: wrongly refused %.4f, worst workspace %.4f", overloaded, naive, r.refused, r.worst)
			is.Equal(r.refused <= most, !naive)
		}
	}
}

// Guards against a new leader that grants tokens while entries still use those of its
// predecessor: without the delay the bound must break.
func TestNewLeaderWaits(t *testing.T) {
	is := is.New(t)
	largest := func(delay time.Duration) float64 {
		m := newModel(3, fleetEntries, fleetWorkspaces, fleetDemand, fleetHeadroom)
		m.overload(0, m.duration)
		for i := range 20 {
			m.events[time.Duration(i)*time.Second] = func(now time.Duration) { m.elect(now - delay) }
		}
		m.run()
		return m.measure(0).overshoot
	}
	is.True(largest(time.Minute) > 1)
	is.True(largest(0) <= 1)
}

// Prints with -v overshoot, wrongly refused requests and bytes for two fleets, with equal
// shares and with tokens.
func TestTable(t *testing.T) {
	if !testing.Verbose() {
		return // a table for people, not a check
	}
	for _, size := range []struct {
		entries, workspaces int
		demand              float64
	}{{127, 85, 1240}, {67, 1400, 7400}} {
		for _, naive := range []bool{true, false} {
			for _, overloaded := range []bool{false, true} {
				m := newModel(4, size.entries, size.workspaces, size.demand, fleetHeadroom)
				m.naive = naive
				if overloaded {
					m.overload(8*time.Second, 15*time.Second)
				}
				m.run()
				r := m.measure(0)
				t.Logf("%4d entries %5d workspaces  equal shares %-5v overload %-5v  largest window %.2f  wrongly refused %.4f (worst %.3f)  %.0f B/s up, %.0f B/s down",
					size.entries, size.workspaces, naive, overloaded, r.overshoot, r.refused, r.worst, r.up, r.down)
			}
		}
	}
}
