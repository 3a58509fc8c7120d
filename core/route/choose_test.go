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

// Guards against requests to targets in a phase of failures (without learning
// from single failures, 23 in 100 requests fail), and against healthy targets
// that get no requests because of an old failure.
func TestChooseAvoidsFailures(t *testing.T) {
	actual, naive, unused := 0.0, 0.0, 0.0
	const seeds = 5
	for seed := range uint64(seeds) {
		r, n := small.run(seed, false), small.run(seed, true)
		t.Logf("seed %d: %.3f of the requests fail, naive %.3f; %.3f of the healthy targets unused", seed, r.failed, n.failed, r.unusedHealthy)
		actual, naive, unused = actual+r.failed/seeds, naive+n.failed/seeds, unused+r.unusedHealthy/seeds
	}
	is := is.New(t)
	is.True(naive > 0.15)
	is.True(actual < naive/3)
	is.True(unused < 0.3) // the floor of the service is 0.7 of the healthy targets
}

// routeAmongTwelve returns a router of an entry in salish-0 and its targets, four in
// each region, without observations.
func routeAmongTwelve(now time.Time) (*route.Router, []route.Target) {
	targets := fleet(12)
	for i := range targets {
		targets[i].Suspicion = &susp.Target{}
		targets[i].ReadySince = start
	}
	r := route.New(now, route.Location{Instance: "e1", Region: "salish", DataCentre: "salish-0"})
	r.Update(now, targets, nil)
	return r, targets
}

// Guards against requests that leave the data centre or the region needlessly,
// and against ones that stay there although its targets are excluded or fail.
func TestChooseByDistance(t *testing.T) {
	is := is.New(t)
	now := start.Add(time.Minute)
	r, targets := routeAmongTwelve(now)
	places := func(req route.Request) map[string]int {
		rng := rand.New(rand.NewPCG(1, 2))
		out := map[string]int{}
		for range 1000 {
			e := r.PickByCost(now, rng.Uint64(), req)
			out[e.Region()]++
			out[e.Address().Addr().String()]++
		}
		return out
	}
	got := places(route.Request{NonRepeatable: true})
	is.Equal(got["salish"], 1000)
	is.True(got["10.0.0.0"]+got["10.0.0.6"] > 900) // the targets of salish-0
	is.True(got["10.0.0.0"] > 300 && got["10.0.0.6"] > 300)
	is.Equal(places(route.Request{LargeBody: true})["salish"], 1000)

	got = places(route.Request{Exclude: []netip.AddrPort{address(0), address(6)}})
	is.Equal(got["10.0.0.0"]+got["10.0.0.6"], 0)
	is.Equal(got["salish"], 1000)

	for i := range targets {
		if targets[i].Region == "salish" {
			targets[i].Suspicion.Observe(now, susp.Failed)
			targets[i].Suspicion.Observe(now, susp.Failed)
		}
	}
	is.Equal(places(route.Request{NonRepeatable: true})["salish"], 0)

	for i := range targets {
		targets[i].Suspicion.Observe(now, susp.Failed)
		targets[i].Suspicion.Observe(now, susp.Failed)
	}
	is.Equal(places(route.Request{NonRepeatable: true})["salish"], 1000) // all targets fail
}

// Guards against requests that leave the region because its targets failed once, and
// against ones that go to such targets while a healthy one has free slots.
func TestTargetThatFailedOnce(t *testing.T) {
	is := is.New(t)
	now := start.Add(time.Minute)
	r, targets := routeAmongTwelve(now)
	inRegion := func(exclude ...netip.AddrPort) (n int) {
		rng := rand.New(rand.NewPCG(1, 2))
		for range 1000 {
			if r.PickByCost(now, rng.Uint64(), route.Request{NonRepeatable: true, Exclude: exclude}).Region() == "salish" {
				n++
			}
		}
		return n
	}
	var salish []int
	for i := range targets {
		if targets[i].Region == "salish" {
			salish = append(salish, i)
		}
	}
	for _, i := range salish[1:] {
		targets[i].Suspicion.Observe(now, susp.Failed)
	}
	healthy := 0
	rng := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		if r.PickByCost(now, rng.Uint64(), route.Request{NonRepeatable: true}).Tag() == targets[salish[0]].Tag {
			healthy++
		}
	}
	is.True(healthy > 950)
	is.True(inRegion(targets[salish[0]].Address) > 900)

	later := now.Add(time.Second)
	for _, i := range salish[1:] {
		targets[i].Suspicion.Observe(later, susp.Failed)
	}
	now = later
	is.Equal(inRegion(targets[salish[0]].Address), 0)
}

// Guards against allocations in PickByCost.
func TestChooseAllocatesNothing(t *testing.T) {
	now := start.Add(time.Minute)
	r := route.New(now, route.Location{Instance: "e1", Region: "salish", DataCentre: "salish-0"})
	r.Update(now, fleet(40), nil)
	draw := uint64(1)
	if n := testing.AllocsPerRun(1000, func() {
		draw += 0x9e3779b97f4a7c15
		r.PickByCost(now, draw, route.Request{NonRepeatable: true})
	}); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}
