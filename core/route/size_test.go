package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/susp"
)

// largeFleet returns the targets of one service and the entries of a fleet in
// three regions.
func largeFleet(targets, entries int) ([]route.Target, []route.Peer) {
	regions := []string{"salish", "okanagan", "haida"}
	known := make([]route.Target, targets)
	for i := range known {
		known[i] = route.Target{
			Address: address(i), Start: start, Region: regions[i%3], DataCentre: fmt.Sprint(regions[i%3], "-", i%9),
			Slots: 6, Connections: 5400, Weight: 1, ReadySince: start.Add(-time.Hour), Suspicion: &susp.Target{},
		}
	}
	peers := make([]route.Peer, entries)
	for i := range peers {
		peers[i] = route.Peer{Instance: fmt.Sprint("e", i), Region: regions[i%3]}
	}
	return known, peers
}

// BenchmarkUpdate measures the update of a router with the targets and entries of
// a large fleet.
func BenchmarkUpdate(b *testing.B) {
	targets, peers := largeFleet(466, 443)
	r := route.New(start, route.Location{Instance: "e0", Region: "salish", DataCentre: "salish-0"})
	for b.Loop() {
		r.Update(start, targets, peers)
	}
}

// BenchmarkPickByCost measures a choice among the targets of a large fleet.
func BenchmarkPickByCost(b *testing.B) {
	targets, peers := largeFleet(466, 443)
	r := route.New(start, route.Location{Instance: "e0", Region: "salish", DataCentre: "salish-0"})
	r.Update(start, targets, peers)
	rng := rand.New(rand.NewPCG(1, 1))
	for b.Loop() {
		r.PickByCost(start.Add(time.Minute), rng.Uint64(), route.Request{NonRepeatable: true})
	}
}
