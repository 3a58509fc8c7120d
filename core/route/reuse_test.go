package route_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/susp"
)

// Guards against a connection that is not reused although its target costs as much as
// others, and against one that is preferred although its target is busy, other targets
// are avoided or requests were refused a moment ago.
func TestIdleConnectionIsPreferred(t *testing.T) {
	is := is.New(t)
	now := start.Add(time.Minute)
	share := func(prepare func(r *route.Router, known []route.Target)) float64 {
		known := make([]route.Target, 8)
		for i := range known {
			known[i] = route.Target{
				Address: address(i), Start: start, Region: "salish", DataCentre: "salish-0", Slots: 3,
				Connections: 400, Weight: 1, ReadySince: start, Suspicion: &susp.Target{},
			}
		}
		r := route.New(now, route.Location{Instance: "e", Region: "salish", DataCentre: "salish-0"},
			route.WithIdleConnections(func(to netip.AddrPort, _ bool) bool { return to == address(0) }))
		r.Update(now, known, nil)
		prepare(r, known)
		used, rng := 0.0, rand.New(rand.NewPCG(1, 2))
		for range 1000 {
			if r.PickByCost(now, rng.Uint64(), route.Request{}).Address() == address(0) {
				used++
			}
		}
		return used / 1000
	}
	is.True(share(func(*route.Router, []route.Target) {}) > 0.9)
	is.True(share(func(r *route.Router, _ []route.Target) { r.RecordRefusal(now.Add(-3 * time.Second)) }) > 0.9)
	is.True(share(func(r *route.Router, _ []route.Target) { r.RecordRefusal(now.Add(-time.Second / 2)) }) < 0.25)
	is.True(share(func(r *route.Router, known []route.Target) { r.Endpoint(known[0].Address).RecordLoad(now, 4, 3) }) < 0.25)
	is.True(share(func(_ *route.Router, known []route.Target) {
		for i := range 3 {
			known[1+i].Suspicion.Observe(now, susp.Failed)
		}
	}) < 0.5)
}
