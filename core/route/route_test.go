package route_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/galenalock/galenalock/core/route"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080)
}

// fleet returns count targets spread over three regions of two data centres.
func fleet(count int) []route.Target {
	regions := []string{"salish", "okanagan", "haida"}
	out := make([]route.Target, count)
	for i := range out {
		region := regions[i%3]
		out[i] = route.Target{
			Address: address(i), Start: start, Region: region,
			DataCentre: fmt.Sprintf("%s-%d", region, i/3%2), Slots: 6, Connections: 400, Weight: 1,
		}
	}
	return out
}

func Example() {
	now := start.Add(time.Minute)
	r := route.New(now, route.Location{Instance: "e1", Region: "salish", DataCentre: "salish-0"})
	r.Update(now, fleet(12), nil)

	e := r.Pick(now, rand.Uint64(), nil)
	e.Begin()
	e.RecordLoad(now, 3, 6) // from Galenalock-Load: inflight=3 limit=6
	e.RecordBytes(512, 2048)
	e.End(5 * time.Millisecond)
	fmt.Println(e.Region(), e.Inflight())
	// Output: salish 0
}

// Guards against instances that together hold more connections to a target than
// it accepts, and against instances that reach no target.
func TestConnectionsStayWithinTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 500).Draw(t, "instances")
		targets := fleet(rapid.IntRange(1, 60).Draw(t, "targets"))
		regions := []string{"salish", "okanagan", "haida"}
		peers := make([]route.Peer, count)
		for i := range peers {
			peers[i] = route.Peer{Instance: fmt.Sprint("e", i), Region: regions[i%3]}
		}
		used := make([]int, len(targets))
		step := 1 + count/48
		for i := 0; i < count; i++ {
			r := route.New(start, route.Location{Instance: peers[i].Instance, Region: peers[i].Region})
			r.Update(start, targets, peers)
			total := 0
			for j := range targets {
				limit := r.Endpoint(targets[j].Address).Limit()
				used[j] += limit
				total += limit
			}
			if i%step == 0 && count <= 100*len(targets) && total == 0 {
				t.Fatalf("instance %d of %d reaches none of %d targets", i, count, len(targets))
			}
		}
		for j, n := range used {
			if n > 400 {
				t.Fatalf("target %d: %d connections", j, n)
			}
		}
	})
}

// shares counts the picks per address and per region.
func shares(r *route.Router, now time.Time, picks int) map[string]int {
	rng := rand.New(rand.NewPCG(1, 2))
	out := map[string]int{}
	for range picks {
		if e := r.Pick(now, rng.Uint64(), nil); e != nil {
			out[e.Address().Addr().String()]++
			out[e.Region()]++
		}
	}
	return out
}

// Guards against traffic that leaves the data centre needlessly, against
// overload that does not spill to farther targets, and against picks of targets
// that are out of service.
func TestLocality(t *testing.T) {
	is := is.New(t)
	now := start.Add(time.Minute)
	targets := fleet(12)
	r := route.New(now, route.Location{Instance: "e1", Region: "salish", DataCentre: "salish-0"})
	r.Update(now, targets, nil)
	got := shares(r, now, 1000)
	is.Equal(got["salish"], 1000)
	is.Equal(got["10.0.0.0"]+got["10.0.0.6"], 1000) // the targets of salish-0

	for i := range targets {
		if targets[i].DataCentre == "salish-0" {
			e := r.Endpoint(targets[i].Address)
			for range 8 {
				e.Begin()
			}
		}
	}
	got = shares(r, now, 1000)
	is.Equal(got["salish"], 1000)
	is.Equal(got["10.0.0.0"]+got["10.0.0.6"], 0) // no connection left there

	targets[3].OutOfService, targets[9].Drained = true, true // the targets of salish-1
	r.Update(now, targets, nil)
	got = shares(r, now, 1000)
	is.Equal(got["salish"], 0)
	is.Equal(got["okanagan"]+got["haida"], 1000)
}

// Guards against a suspect that keeps its share of the traffic, and against one
// that loses all of it without a grant.
func TestWeight(t *testing.T) {
	is := is.New(t)
	now := start.Add(time.Minute)
	targets := fleet(12)
	for i := range targets {
		targets[i].Region, targets[i].DataCentre = "salish", "salish-0"
	}
	targets[4].Weight = 0
	targets[5].ReadySince = now.Add(-time.Second)
	r := route.New(now, route.Location{Instance: "e1", Region: "salish", DataCentre: "salish-0"})
	r.Update(now, targets, nil)
	got := shares(r, now, 100000)
	is.True(got["10.0.0.4"] > 0)
	is.True(got["10.0.0.4"] < 1000)
	is.True(got["10.0.0.5"] > 0)
	is.True(got["10.0.0.5"] < 3000)
}

// Guards against a suspect that gets no requests and so gives no evidence,
// against one that is sampled without end, and against requests to one that is
// already full.
func TestSuspectSampling(t *testing.T) {
	is := is.New(t)
	now := start.Add(time.Minute)
	targets := fleet(12)
	targets[0].SuspectSince = now
	targets[1].SuspectSince = now // in another region
	r := route.New(now, route.Location{Instance: "e1", Region: "salish", DataCentre: "salish-0"})
	r.Update(now, targets, nil)
	sampled := func(now time.Time) (n int) {
		for draw := range uint64(1000) {
			if e := r.PickSuspect(now, draw); e != nil {
				is.Equal(e.Address(), address(0))
				n++
			}
		}
		return n
	}
	is.Equal(sampled(now), 250)
	is.Equal(sampled(now.Add(time.Second)), 0)
	for range 5 {
		r.Endpoint(address(0)).Begin()
	}
	is.Equal(sampled(now), 0)
}

// Guards against stale load reports that still affect the choice.
func TestReportedLoadExpires(t *testing.T) {
	is := is.New(t)
	now := start.Add(time.Minute)
	targets := fleet(12)
	for i := range targets {
		targets[i].Region, targets[i].DataCentre = "salish", "salish-0"
	}
	r := route.New(now, route.Location{Instance: "e1", Region: "salish", DataCentre: "salish-0"})
	r.Update(now, targets, nil)
	for i := range targets {
		for range 50 {
			r.Endpoint(targets[i].Address).RecordLoad(now, 4, 6)
		}
	}
	r.Endpoint(targets[0].Address).RecordLoad(now, 60, 6)
	busy := shares(r, now, 12000)["10.0.0.0"]
	later := shares(r, now.Add(2*time.Second), 12000)["10.0.0.0"]
	is.True(busy < 200)
	is.True(later > 200)
}

// Guards against data races between traffic and the control goroutine, and
// against attempts that are no longer counted when a snapshot is replaced.
func TestConcurrentUpdates(t *testing.T) {
	now := start.Add(time.Minute)
	targets := fleet(12)
	r := route.New(now, route.Location{Instance: "e1", Region: "salish", DataCentre: "salish-0"})
	r.Update(now, targets, nil)
	var traffic sync.WaitGroup
	for seed := range uint64(4) {
		traffic.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 1))
			for range 5000 {
				if e := r.Pick(now, rng.Uint64(), nil); e != nil {
					e.Begin()
					e.RecordLoad(now, rng.IntN(8), 6)
					e.End(time.Millisecond)
				}
			}
		})
	}
	for i := range 200 {
		targets[i%12].OutOfService = !targets[i%12].OutOfService
		r.Update(now, targets, nil)
	}
	traffic.Wait()
	for _, target := range targets {
		if n := r.Endpoint(target.Address).Inflight(); n != 0 {
			t.Fatalf("%v: %d in flight", target.Address, n)
		}
	}
}

// Guards against allocations in Pick.
func TestPickAllocatesNothing(t *testing.T) {
	now := start.Add(time.Minute)
	r := route.New(now, route.Location{Instance: "e1", Region: "salish", DataCentre: "salish-0"})
	r.Update(now, fleet(40), nil)
	draw := uint64(1)
	if n := testing.AllocsPerRun(1000, func() {
		draw += 0x9e3779b97f4a7c15
		r.Pick(now, draw, nil)
	}); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

func BenchmarkPick(b *testing.B) {
	now := start.Add(time.Minute)
	r := route.New(now, route.Location{Instance: "e1", Region: "salish", DataCentre: "salish-0"})
	targets := fleet(40)
	for i := range targets {
		targets[i].Region, targets[i].DataCentre = "salish", "salish-0"
	}
	r.Update(now, targets, nil)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		draw := rand.Uint64()
		for pb.Next() {
			draw += 0x9e3779b97f4a7c15
			e := r.Pick(now, draw, nil)
			e.Begin()
			e.End(time.Millisecond)
		}
	})
}

// Guards against a load report that counts as old because it arrived after the
// time of the choice: a full target must not be preferred to an idle one.
func TestLoadReportNewerThanTheChoice(t *testing.T) {
	is := is.New(t)
	now := start.Add(time.Minute)
	targets := fleet(2)
	for i := range targets {
		targets[i].Region, targets[i].DataCentre, targets[i].ReadySince = "salish", "salish-0", start
	}
	r := route.New(now, route.Location{Instance: "e1", Region: "salish", DataCentre: "salish-0"})
	r.Update(now, targets, nil)
	r.Endpoint(targets[0].Address).RecordLoad(now.Add(5*time.Millisecond), 30, 6)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		is.Equal(r.PickByCost(now, rng.Uint64(), route.Request{}).Address(), targets[1].Address)
	}
}
