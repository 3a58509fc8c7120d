package load_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/bench/load"
)

// Guards against an added latency computed from the wrong plan or round.
func TestAddedLatencyOfASlowerPath(t *testing.T) {
	is := is.New(t)
	plan := func(latency time.Duration) load.Plan {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			<-time.After(latency)
		}))
		t.Cleanup(server.Close)
		address := netip.MustParseAddrPort(server.Listener.Addr().String())
		return load.Plan{Address: address, Rate: 100, Duration: 200 * time.Millisecond, Seed: 3}
	}
	paths, err := load.RunRounds(t.Context(), []load.Plan{plan(0), plan(200 * time.Millisecond)}, 3)
	is.NoErr(err)
	is.Equal(len(paths[0]), 3)
	is.Equal(load.TotalCounts(paths[0])[load.Lookup].Sent, load.TotalCounts(paths[1])[load.Lookup].Sent) // both plans have the same schedule
	is.True(load.AddedLatency(paths[0], paths[1]).P50.Median > 100)
	is.True(load.LatencyQuantiles(paths[1]).P50.Worst >= 200)
}

// Guards against a worst value taken from the wrong end of the sorted values.
func TestFigures(t *testing.T) {
	is := is.New(t)
	is.Equal(load.NewStatistic([]float64{3, 1, 2, 8}, false), load.Statistic{Median: 2.5, Worst: 8})
	is.Equal(load.NewStatistic([]float64{3, 1, 2}, true), load.Statistic{Median: 2, Worst: 1})
}
