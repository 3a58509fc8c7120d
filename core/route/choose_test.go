package route_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/susp"
)

// played is what came of a play.
type played struct {
	failed float64   // share of the requests
	unused float64   // share of the sound targets that got nothing for 2 s, on average
	floors []float64 // at each look: share used in 2 s of the targets that run nothing and did not fail for 2 s
}

// load is what the entries of one region send to its targets: orders of 460 ms.
// Three targets in ten fail three requests in four at once for a phase at a time,
// the others one in a hundred. Failures reach the other entries after 50 ms.
type load struct {
	entries, targets int
	rate             float64       // requests a second
	phase, apart     time.Duration // length of a phase, and by how much those of two targets are shifted
	step             time.Duration // of the play, with one request at most
}

var (
	small = load{
		entries: 20, targets: 9, rate: 30, phase: 20 * time.Second, apart: 2220 * time.Millisecond,
		step: 10 * time.Millisecond,
	}
	large = load{
		entries: 40, targets: 58, rate: 240, phase: 9 * time.Second, apart: 156 * time.Millisecond,
		step: 2 * time.Millisecond,
	}
)

// play sends a load through the entries to the targets, which are in two data
// centres. The naive variant suspects nothing.
func (l load) play(seed uint64, naive bool) played {
	entries, targets, step := l.entries, l.targets, l.step
	type told struct {
		at     time.Time
		from   int
		target int
		sign   susp.Sign
	}
	draws := rand.New(rand.NewPCG(seed, 1))
	now := start
	known := make([]route.Target, targets)
	for i := range known {
		known[i] = route.Target{
			Address: address(i), Start: start, Region: "salish", DataCentre: fmt.Sprintf("salish-%d", i%2),
			Slots: 6, Connections: 400, Weight: 1, Ready: start.Add(-time.Hour),
		}
	}
	peers := make([]route.Peer, entries)
	for i := range peers {
		peers[i] = route.Peer{Instance: fmt.Sprint("e", i), Region: "salish"}
	}
	routers, views := make([]*route.Router, entries), make([][]*susp.Target, entries)
	for i := range routers {
		routers[i] = route.New(now, route.Here{Instance: fmt.Sprint("e", i), Region: "salish", DataCentre: fmt.Sprintf("salish-%d", i%2)})
		own := make([]route.Target, targets)
		views[i] = make([]*susp.Target, targets)
		for j := range own {
			views[i][j] = &susp.Target{Patience: 1 + 0.5*draws.Float64()}
			own[j] = known[j]
			own[j].Suspicion, own[j].Tag = views[i][j], j
		}
		routers[i].Update(now, own, peers)
	}
	ends := map[time.Time][]func(){}
	running := make([]int, targets)
	bad := make([]time.Time, targets) // last failure
	failing := make([]bool, targets)
	var news []told
	sent, lost := 0, 0
	last, sound := make([]time.Time, targets), make([]time.Time, targets) // last request, sound since
	looks, unused := 0, 0
	var floors []float64
	for ; now.Before(start.Add(100 * time.Second)); now = now.Add(step) {
		for j := range failing {
			// Each target has phases of its own.
			if now.Equal(start) || (now.Sub(start)+time.Duration(j)*l.apart)%l.phase < step {
				failing[j] = draws.Float64() < 0.3
			}
		}
		if now.Sub(start) > l.phase && now.Sub(start)%time.Second < step {
			idle, used := 0, 0
			for j := range targets {
				switch {
				case running[j] > 0 || now.Sub(bad[j]) < 2*time.Second:
				case now.Sub(last[j]) >= 2*time.Second:
					idle++
				default:
					used++
				}
			}
			if idle+used > 0 {
				floors = append(floors, float64(used)/float64(idle+used))
			}
		}
		for j := range failing {
			if failing[j] {
				sound[j] = now
			}
			// A target that has just recovered is sound after 2 s.
			if now.Sub(sound[j]) >= 4*time.Second {
				looks++
				if now.Sub(last[j]) >= 2*time.Second {
					unused++
				}
			}
		}
		for len(news) > 0 && !now.Before(news[0].at.Add(50*time.Millisecond)) {
			n := news[0]
			news = news[1:]
			for i := range views {
				if i != n.from {
					views[i][n.target].Hear(now, n.sign, 50*time.Millisecond)
				}
			}
		}
		for _, end := range ends[now] {
			end()
		}
		delete(ends, now)
		if draws.Float64() > l.rate*step.Seconds() {
			continue
		}
		i := draws.IntN(entries)
		e := routers[i].Choose(now, draws.Uint64(), route.Wish{Once: true})
		j := e.Tag().(int)
		sent++
		last[j] = now
		if share := 0.01; failing[j] && draws.Float64() < 0.75 || draws.Float64() < share {
			lost++
			bad[j] = now
			if !naive {
				if before, _ := views[i][j].See(now, susp.Failed); susp.Failed.Shared(before) {
					news = append(news, told{now, i, j, susp.Failed})
				}
			}
			continue
		}
		e.Begin()
		running[j]++
		took := 460 * time.Millisecond
		if running[j] > 6 {
			took *= 2
		}
		at := now.Add(took.Truncate(step))
		ends[at] = append(ends[at], func() {
			running[j]--
			e.Load(at, running[j]+1, 6)
			e.End(took)
			if before, _ := views[i][j].See(at, susp.Answered); !naive && susp.Answered.Shared(before) {
				news = append(news, told{at, i, j, susp.Answered})
			}
		})
	}
	return played{failed: float64(lost) / float64(sent), unused: float64(unused) / float64(looks), floors: floors}
}

// Guards against requests that go to targets in a phase of failures, as 23 in
// 100 do when nothing is learned from single failures, and against sound targets
// that are left without requests for a failure of long ago.
func TestChooseAvoidsFailures(t *testing.T) {
	real, naive, unused := 0.0, 0.0, 0.0
	const seeds = 5
	for seed := range uint64(seeds) {
		r, n := small.play(seed, false), small.play(seed, true)
		t.Logf("seed %d: %.3f of the requests fail, naive %.3f; %.3f of the sound targets unused", seed, r.failed, n.failed, r.unused)
		real, naive, unused = real+r.failed/seeds, naive+n.failed/seeds, unused+r.unused/seeds
	}
	is := is.New(t)
	is.True(naive > 0.15)
	is.True(real < naive/3)
	is.True(unused < 0.3) // the floor of the users is seven tenths of the sound targets
}

// Guards against a floor that breaks when all processes end: the requests in
// flight are lost, and only targets that run nothing are looked at, among which
// the avoided ones are many.
func TestFloorOfTargetsThatRunNothing(t *testing.T) {
	is := is.New(t)
	const floor = 0.7
	for seed := range uint64(3) {
		p := large.play(seed, false)
		below, sum := 0, 0.0
		for _, f := range p.floors {
			sum += f
			if f < floor {
				below++
			}
		}
		mean := sum / float64(len(p.floors))
		t.Logf("seed %d: %.2f of these targets used on average, below the floor at %d of %d looks; %.3f of the requests fail",
			seed, mean, below, len(p.floors), p.failed)
		is.True(mean >= floor)
	}
}

// Guards against requests that leave the data centre or the region without need,
// and against ones that stay while the near targets are full or fail.
func TestChooseByDistance(t *testing.T) {
	is := is.New(t)
	now := start.Add(time.Minute)
	targets := fleet(12)
	for i := range targets {
		targets[i].Suspicion = &susp.Target{}
		targets[i].Ready = start
	}
	r := route.New(now, route.Here{Instance: "e1", Region: "salish", DataCentre: "salish-0"})
	r.Update(now, targets, nil)
	places := func(w route.Wish) map[string]int {
		draws := rand.New(rand.NewPCG(1, 2))
		out := map[string]int{}
		for range 1000 {
			e := r.Choose(now, draws.Uint64(), w)
			out[e.Region()]++
			out[e.Address().Addr().String()]++
		}
		return out
	}
	got := places(route.Wish{Once: true})
	is.Equal(got["salish"], 1000)
	is.True(got["10.0.0.0"]+got["10.0.0.6"] > 900) // the two of salish-0
	is.True(got["10.0.0.0"] > 300 && got["10.0.0.6"] > 300)
	is.Equal(places(route.Wish{Bulky: true})["salish"], 1000)

	got = places(route.Wish{Exclude: []netip.AddrPort{address(0), address(6)}})
	is.Equal(got["10.0.0.0"]+got["10.0.0.6"], 0)
	is.Equal(got["salish"], 1000)

	for i := range targets {
		if targets[i].Region == "salish" {
			targets[i].Suspicion.See(now, susp.Failed)
			targets[i].Suspicion.See(now, susp.Failed)
		}
	}
	is.Equal(places(route.Wish{Once: true})["salish"], 0)

	for i := range targets {
		targets[i].Suspicion.See(now, susp.Failed)
		targets[i].Suspicion.See(now, susp.Failed)
	}
	is.Equal(places(route.Wish{Once: true})["salish"], 1000) // failing everywhere
}

// Guards against an allocation in the choice.
func TestChooseAllocatesNothing(t *testing.T) {
	now := start.Add(time.Minute)
	r := route.New(now, route.Here{Instance: "e1", Region: "salish", DataCentre: "salish-0"})
	r.Update(now, fleet(40), nil)
	draw := uint64(1)
	if n := testing.AllocsPerRun(1000, func() {
		draw += 0x9e3779b97f4a7c15
		r.Choose(now, draw, route.Wish{Once: true})
	}); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}
