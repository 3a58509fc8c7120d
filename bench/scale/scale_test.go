package scale_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/bench/scale"
)

// Guards against counters that stay at zero and against runs with the same seed
// that give different results. The capacity page is calculated from them.
func TestMeasureRepeats(t *testing.T) {
	is := is.New(t)
	still := func() time.Time { return time.Time{} } // processor time differs between runs
	size := scale.FleetSize{Nodes: 8, Targets: 50}
	first, err := scale.MeasureFleet(7, size, still)
	is.NoErr(err)
	second, err := scale.MeasureFleet(7, size, still)
	is.NoErr(err)
	is.Equal(first, second)
	is.True(first.Converged)
	is.True(first.SteadyBytes > 0 && first.ChangeBytes > 0 && first.RestartBytes > 0)
}

// Guards against items that are garbage collected or shared during the
// measurement of memory, which would make them look too small.
func TestMemoryCountsItems(t *testing.T) {
	is := is.New(t)
	heap, err := scale.MeasureHeap(2000)
	is.NoErr(err)
	is.True(heap.Claim > 1024) // the body alone is 1 KiB
	is.True(heap.Record > 100 && heap.Row > 100 && heap.Endpoint > 100 && heap.Route > 100 && heap.Workspace > 60)
}
