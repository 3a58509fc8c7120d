package quiet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/bench/quiet"
)

// Guards against a comparison in which the fault affects no request, or only those
// of one variant.
func TestFaultHitsBothVariants(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes, which the race detector does not see")
	}
	is := is.New(t)
	naive, entry, err := quiet.Run(t.Context(), quiet.Scenario{Seed: 1, Rate: 200, Warmup: 2 * time.Second, Observation: 3 * time.Second})
	is.NoErr(err)
	for _, r := range []quiet.Result{naive, entry} {
		t.Logf("%+v", r)
		is.True(r.Retries > 0)     // the fault affected requests
		is.True(r.P999 >= 2*r.P50) // and delayed them
		is.True(r.Answered > 0.5)
		is.True(r.P99 >= r.P50 && r.P50 >= 30) // the targets take 30 ms
	}
	// The wait of the entry depends on the latency of the service; the naive proxy
	// waits for 1 s.
	is.True(naive.Late > 0)
	is.True(entry.Late < naive.Late)
}
