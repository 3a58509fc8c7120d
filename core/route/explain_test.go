package route_test

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/route"
)

// Guards against a preview that names other targets, or other shares, than those that
// requests get, and against terms that do not add up.
func TestExplainAgreesWithChoice(t *testing.T) {
	is := is.New(t)
	now := start.Add(time.Minute)
	r, targets := routeAmongTwelve(now)
	rng := rand.New(rand.NewPCG(1, 2))
	busy := r.PickByCost(now, 1, route.Request{})
	busy.Begin()
	busy.Begin()
	// With exclusions no target is tested.
	req := route.Request{Exclude: []netip.AddrPort{targets[0].Address}}
	const picks = 20_000
	got := map[netip.AddrPort]float64{}
	for range picks {
		got[r.PickByCost(now, rng.Uint64(), req).Address()] += 1.0 / picks
	}
	explained := r.Explain(now, req)
	is.Equal(len(explained), len(targets))
	for _, c := range explained {
		is.True(math.Abs(got[c.Address]-c.Share) < 0.02)
		is.Equal(c.Share == 0, c.Reason != "")
		is.True(math.Abs(c.Busy+c.Far+c.Risk-c.Cost) < 1e-9)
		is.True(c.Far > -1e-9)
	}
	is.Equal(busy.Inflight(), 2)
	is.Equal(explained, r.Explain(now, req))
}
