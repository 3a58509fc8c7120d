package scale_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/bench/scale"
)

// Guards against figures that count nothing, and against a run that does not
// repeat: the capacity page is worked out from them.
func TestMeasureRepeats(t *testing.T) {
	is := is.New(t)
	still := func() time.Time { return time.Time{} } // processor time does not repeat
	size := scale.Size{Nodes: 8, Targets: 50}
	first, err := scale.Measure(7, size, still)
	is.NoErr(err)
	second, err := scale.Measure(7, size, still)
	is.NoErr(err)
	is.Equal(first, second)
	is.True(first.Equal)
	is.True(first.Steady > 0 && first.Change > 0 && first.Restart > 0)
}

// Guards against a measurement of memory whose items were collected or shared.
func TestMemoryCountsItems(t *testing.T) {
	is := is.New(t)
	heap, err := scale.Memory(2000)
	is.NoErr(err)
	is.True(heap.Claim > 1024) // the body alone has 1 KiB
	is.True(heap.Record > 100 && heap.Row > 100 && heap.Endpoint > 100 && heap.Route > 100 && heap.Workspace > 60)
}
