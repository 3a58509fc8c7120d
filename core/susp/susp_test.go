package susp_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/susp"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func Example() {
	t := &susp.Target{}
	before, after := t.Observe(start, susp.Failed)
	fmt.Printf("%.2f %.2f %.2f\n", before, after, t.Probability(start.Add(3*susp.DecayTime)))
	// Output: 0.04 0.71 0.07
}

// Guards against evidence that does not accumulate: two failures must raise the
// probability more than one, and answers must lower it again.
func TestEvidence(t *testing.T) {
	is := is.New(t)
	target := &susp.Target{}
	_, one := target.Observe(start, susp.Failed)
	_, two := target.Observe(start, susp.Failed)
	is.True(one > 0.5 && two > 0.95)
	for range 8 {
		target.Observe(start, susp.Answered)
	}
	is.True(target.Probability(start) < 0.05)

	busy := &susp.Target{}
	_, shed := busy.Observe(start, susp.Shed)
	is.True(shed < 0.3) // a full queue is not a failure of the target
}

// Guards against a broken path of one entry that makes the other entries avoid a
// target, and against failures that every entry has to observe itself.
func TestRemoteObservations(t *testing.T) {
	is := is.New(t)
	target := &susp.Target{}
	target.ObserveRemote(start, susp.Unreachable, 0)
	_, one := target.ObserveRemote(start, susp.Overdue, 0)
	_, two := target.ObserveRemote(start, susp.Overdue, 0)
	is.True(one < 0.2)
	is.True(two > 0.4)

	other := &susp.Target{}
	_, old := other.ObserveRemote(start, susp.Failed, 10*susp.DecayTime)
	is.True(old < 0.1)
	_, fresh := other.ObserveRemote(start, susp.Failed, 50*time.Millisecond)
	is.True(fresh > 0.5)
	is.True(!susp.Unreachable.ShouldShare(0.5))
	is.True(susp.Failed.ShouldShare(0.03))
	is.True(susp.Answered.ShouldShare(0.5))
	is.True(!susp.Answered.ShouldShare(0.03))
}

// Guards against a target that breaks connections and costs every entry a request
// of its own, because the observations of the others never suffice; and against
// targets that all entries avoid although only the paths of a few are broken
// (three of four observations are answers), a fault of the network broke many
// connections at one moment, or they are slow under load.
func TestBrokenConnectionsOfOthersAddUp(t *testing.T) {
	is := is.New(t)
	const delay = 20 * time.Millisecond
	avoided := func(target *susp.Target, now time.Time) bool {
		_, _, avoided := target.Avoided(now)
		return avoided
	}
	failing, reports, now := &susp.Target{}, 0, start
	for ; reports < 10 && !avoided(failing, now); reports++ {
		failing.ObserveRemote(now, susp.Broken, delay)
		now = now.Add(250 * time.Millisecond)
	}
	t.Logf("avoided after %d reports", reports)
	is.True(reports > 1 && reports <= 4)
	is.True(failing.Risk(now) > 0.25)

	reachable, reset, slow := &susp.Target{}, &susp.Target{}, &susp.Target{}
	for n := range 200 {
		now = now.Add(100 * time.Millisecond)
		slow.ObserveRemote(now, susp.Overdue, delay)
		if n%4 == 0 {
			reachable.ObserveRemote(now, susp.Broken, delay)
		} else {
			reachable.ObserveRemote(now, susp.Answered, delay)
		}
		is.True(!avoided(reachable, now))
	}
	for n := range 20 {
		reset.ObserveRemote(now.Add(time.Duration(n)*5*time.Millisecond), susp.Broken, delay)
	}
	is.True(!avoided(reset, now.Add(100*time.Millisecond)))
	is.True(!avoided(slow, now))
}

// Guards against a target in a phase of failures that is in use again because requests
// from before the first failure are answered, as some are under load.
func TestAnswersToEarlierRequests(t *testing.T) {
	is := is.New(t)
	target := &susp.Target{}
	sent, failed := start, start.Add(300*time.Millisecond)
	target.Observe(failed, susp.Failed)
	now := failed
	for n := range 10 {
		now = now.Add(10 * time.Millisecond)
		if n%2 == 0 {
			target.ObserveAnswer(now, sent)
		} else {
			target.ObserveRemote(now, susp.Answered, now.Sub(sent))
		}
	}
	_, _, avoided := target.Avoided(now)
	is.True(avoided)
	is.True(target.Probability(now) > 0.5)
	for range 5 {
		now = now.Add(time.Second)
		target.ObserveAnswer(now, now.Add(-500*time.Millisecond)) // tests after the failure
	}
	_, _, avoided = target.Avoided(now)
	is.True(!avoided)
}

// Guards against a target that counts as failing only because control receives
// nothing from it, and against a probability that decreases after a failure as
// fast as that of other targets.
func TestSilentTarget(t *testing.T) {
	is := is.New(t)
	silent, normal := &susp.Target{}, &susp.Target{}
	silent.SetSilent(true)
	is.True(silent.Probability(start) < 0.5)
	silent.Observe(start, susp.Unreachable)
	normal.Observe(start, susp.Unreachable)
	later := start.Add(2 * susp.DecayTime)
	is.True(silent.Probability(later) > normal.Probability(later))
}

// Guards against targets that stay avoided after it has turned out that the path was
// at fault, and against signs of the path that count as signs of the target only.
func TestForgive(t *testing.T) {
	is := is.New(t)
	target := &susp.Target{}
	target.Observe(start, susp.Unreachable)
	target.Observe(start.Add(time.Second), susp.Unreachable)
	_, _, avoided := target.Avoided(start.Add(time.Second))
	is.True(avoided)
	target.Forgive()
	_, _, avoided = target.Avoided(start.Add(time.Second))
	is.True(!avoided)
	is.True(target.Probability(start.Add(time.Second)) < 0.1)
	is.True(susp.Unreachable.IsOfPath() && susp.Broken.IsOfPath() && susp.Overdue.IsOfPath())
	is.True(!susp.Failed.IsOfPath() && !susp.Shed.IsOfPath() && !susp.Answered.IsOfPath())
}

// Guards against a probability that grows when the clock is set back.
func TestClockStepsBack(t *testing.T) {
	is := is.New(t)
	target := &susp.Target{}
	_, after := target.Observe(start, susp.Failed)
	is.Equal(target.Probability(start.Add(-time.Hour)), after)
}

// Guards against a filter that is not calibrated for its load. Three targets in
// ten at a time fail three requests in four for 9 s, the others one in a hundred,
// with four observations of each target a second. The filter must find most of
// the failing targets and avoid few of the healthy ones.
func TestFindsFailingTargets(t *testing.T) {
	const step, phase = 250 * time.Millisecond, 9 * time.Second
	for seed := range uint64(5) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		failing, missed, healthy, falseAlarms := 0, 0, 0, 0
		for range 40 {
			target := &susp.Target{}
			bad := rng.Float64() < 0.3
			last := start
			for now := start; now.Before(start.Add(4 * phase)); now = now.Add(step) {
				if now.Sub(last) >= phase {
					bad, last = rng.Float64() < 0.3, now
				}
				avoided := target.Probability(now) > 0.3
				switch {
				case bad:
					failing++
					if !avoided {
						missed++
					}
				default:
					healthy++
					if avoided {
						falseAlarms++
					}
				}
				observation, failure := susp.Answered, 0.01
				if bad {
					failure = 0.75
				}
				if rng.Float64() < failure {
					observation = susp.Failed
				}
				target.Observe(now, observation)
			}
		}
		t.Logf("seed %d: %.3f of the requests at failing targets not avoided, %.3f at healthy ones avoided",
			seed, float64(missed)/float64(failing), float64(falseAlarms)/float64(healthy))
		is.True(float64(missed)/float64(failing) < 0.25)
		is.True(float64(falseAlarms)/float64(healthy) < 0.1)
	}
}
