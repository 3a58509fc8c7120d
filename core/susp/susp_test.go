package susp_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/susp"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func Example() {
	t := &susp.Target{}
	t.See(start, susp.Failed)
	fmt.Println(t.Suspect(start), t.Suspect(start.Add(susp.HalfLife+time.Millisecond)))
	// Output: true false
}

// absence returns how long a target is suspect after signs at one moment.
func absence(signs ...susp.Sign) time.Duration {
	t := &susp.Target{}
	for _, s := range signs {
		t.See(start, s)
	}
	d := time.Duration(0)
	for t.Suspect(start.Add(d)) {
		d += 10 * time.Millisecond
	}
	return d
}

// Guards against an absence that does not grow with the evidence, or that grows
// without bound.
func TestAbsence(t *testing.T) {
	is := is.New(t)
	one, two := absence(susp.Failed), absence(susp.Failed, susp.Failed)
	is.True(one >= time.Second && one <= 2*time.Second)
	is.True(two >= 2*time.Second && two <= 4*time.Second)
	many := make([]susp.Sign, 100)
	for i := range many {
		many[i] = susp.Overdue
	}
	is.True(absence(many...) <= 7*time.Second)
	is.True(absence(susp.Shed) < time.Second)
}

// Guards against one entry's broken path that takes a target from the others,
// and against failures that each entry has to see for itself.
func TestSignsOfOthers(t *testing.T) {
	is := is.New(t)
	target := &susp.Target{}
	target.Hear(start, susp.Unreachable, 0)
	target.Hear(start, susp.Overdue, 0)
	is.True(!target.Suspect(start))
	target.Hear(start, susp.Overdue, 0)
	is.True(target.Suspect(start))

	other := &susp.Target{}
	other.Hear(start, susp.Failed, 10*susp.HalfLife) // too old to matter
	is.True(!other.Suspect(start))
	other.Hear(start, susp.Failed, 50*time.Millisecond)
	is.True(other.Suspect(start))
	is.True(!susp.Unreachable.Shared())
	is.True(susp.Failed.Shared())
}

// Guards against doubts that end at once about a target that control does not
// hear, and against silence as the only evidence.
func TestSilentTarget(t *testing.T) {
	is := is.New(t)
	target := &susp.Target{}
	target.Silence(true)
	is.True(!target.Suspect(start))
	target.See(start, susp.Unreachable)
	is.True(target.Suspect(start.Add(4 * time.Second)))
}

// Guards against clocks that are set back and make a score grow.
func TestClockStepsBack(t *testing.T) {
	is := is.New(t)
	target := &susp.Target{}
	target.See(start, susp.Failed)
	is.True(target.Score(start.Add(-time.Hour)) <= 1)
	target.See(start.Add(-time.Hour), susp.Failed)
	is.True(!target.Suspect(start.Add(20 * time.Second)))
}
