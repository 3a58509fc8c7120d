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
	before, after := t.See(start, susp.Failed)
	fmt.Printf("%.2f %.2f %.2f\n", before, after, t.Probability(start.Add(3*susp.Memory)))
	// Output: 0.04 0.71 0.07
}

// Guards against evidence that does not add up: failures in a row must weigh
// more than one, and answers must take a doubt back.
func TestEvidence(t *testing.T) {
	is := is.New(t)
	target := &susp.Target{}
	_, one := target.See(start, susp.Failed)
	_, two := target.See(start, susp.Failed)
	is.True(one > 0.5 && two > 0.95)
	for range 8 {
		target.See(start, susp.Answered)
	}
	is.True(target.Probability(start) < 0.05)

	busy := &susp.Target{}
	_, shed := busy.See(start, susp.Shed)
	is.True(shed < 0.3) // a full queue is no failure
}

// Guards against one entry's broken path that takes a target from the others,
// and against failures that each entry has to see for itself.
func TestSignsOfOthers(t *testing.T) {
	is := is.New(t)
	target := &susp.Target{}
	target.Hear(start, susp.Unreachable, 0)
	_, one := target.Hear(start, susp.Overdue, 0)
	_, two := target.Hear(start, susp.Overdue, 0)
	is.True(one < 0.2)
	is.True(two > 0.4)

	other := &susp.Target{}
	_, old := other.Hear(start, susp.Failed, 10*susp.Memory)
	is.True(old < 0.1)
	_, fresh := other.Hear(start, susp.Failed, 50*time.Millisecond)
	is.True(fresh > 0.5)
	is.True(!susp.Unreachable.Shared(0.5))
	is.True(susp.Failed.Shared(0.03))
	is.True(susp.Answered.Shared(0.5))
	is.True(!susp.Answered.Shared(0.03))
}

// Guards against silence as the only evidence, and against doubts about a silent
// target that end as soon as those about others.
func TestSilentTarget(t *testing.T) {
	is := is.New(t)
	silent, heard := &susp.Target{}, &susp.Target{}
	silent.Silence(true)
	is.True(silent.Probability(start) < 0.5)
	silent.See(start, susp.Unreachable)
	heard.See(start, susp.Unreachable)
	later := start.Add(2 * susp.Memory)
	is.True(silent.Probability(later) > heard.Probability(later))
}

// Guards against clocks that are set back and make a probability grow.
func TestClockStepsBack(t *testing.T) {
	is := is.New(t)
	target := &susp.Target{}
	_, after := target.See(start, susp.Failed)
	is.Equal(target.Probability(start.Add(-time.Hour)), after)
}

// Guards against a filter that is not calibrated for its load: targets that fail
// three requests in four for 9 s, three targets in ten at a time, and one in a
// hundred otherwise, seen four times a second. Choosing by the filter must find
// the failing ones.
func TestFindsFailingTargets(t *testing.T) {
	const step, phase = 250 * time.Millisecond, 9 * time.Second
	for seed := range uint64(5) {
		is := is.New(t)
		draws := rand.New(rand.NewPCG(seed, 1))
		failing, late, sound, alarms := 0, 0, 0, 0
		for range 40 {
			target := &susp.Target{}
			bad := draws.Float64() < 0.3
			last := start
			for now := start; now.Before(start.Add(4 * phase)); now = now.Add(step) {
				if now.Sub(last) >= phase {
					bad, last = draws.Float64() < 0.3, now
				}
				avoided := target.Probability(now) > 0.3
				switch {
				case bad:
					failing++
					if !avoided {
						late++
					}
				default:
					sound++
					if avoided {
						alarms++
					}
				}
				sign, failure := susp.Answered, 0.01
				if bad {
					failure = 0.75
				}
				if draws.Float64() < failure {
					sign = susp.Failed
				}
				target.See(now, sign)
			}
		}
		t.Logf("seed %d: %.3f of the requests at failing targets not avoided, %.3f at sound ones avoided",
			seed, float64(late)/float64(failing), float64(alarms)/float64(sound))
		is.True(float64(late)/float64(failing) < 0.25)
		is.True(float64(alarms)/float64(sound) < 0.1)
	}
}
