package route_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/susp"
)

// loadResult is the result of a simulated load.
type loadResult struct {
	failed        float64   // share of the requests
	unusedHealthy float64   // mean share of the healthy targets without a request for 2 s
	usedShares    []float64 // per check: of the healthy targets that run nothing, the share that got a request in the last 2 s
}

// loadModel describes the load that the entries of one region send to its
// targets: orders of 460 ms. In each phase, a target fails with a probability of
// 0.3; it then fails three requests in four immediately, otherwise one in a
// hundred. Failures are reported to the other entries after 50 ms.
type loadModel struct {
	entries, targets  int
	rate              float64       // requests a second
	phase, phaseShift time.Duration // length of a phase, and its offset from one target to the next
	step              time.Duration // of the simulation, with one request at most
	repeatable        bool          // requests; the first attempts are counted
	reuse             bool          // entries know the volume of requests and their idle connections
}

var (
	small = loadModel{
		entries: 20, targets: 9, rate: 30, phase: 20 * time.Second, phaseShift: 2220 * time.Millisecond,
		step: 10 * time.Millisecond,
	}
	medium = loadModel{
		entries: 36, targets: 23, rate: 95, phase: 9 * time.Second, phaseShift: 391 * time.Millisecond,
		step: 5 * time.Millisecond,
	}
	mediumRepeatable = loadModel{
		entries: 36, targets: 23, rate: 37, phase: 9 * time.Second, phaseShift: 391 * time.Millisecond,
		step: 10 * time.Millisecond, repeatable: true,
	}
	large = loadModel{
		entries: 40, targets: 58, rate: 240, phase: 9 * time.Second, phaseShift: 156 * time.Millisecond,
		step: 2 * time.Millisecond,
	}
)

// run simulates the load with targets in two data centres. The naive variant
// ignores failures.
func (l loadModel) run(seed uint64, naive bool) loadResult {
	entries, targets, step := l.entries, l.targets, l.step
	type report struct {
		at, seen    time.Time
		from        int
		target      int
		observation susp.Observation
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	now := start
	configured := make([]route.Target, targets)
	for i := range configured {
		configured[i] = route.Target{
			Address: address(i), Start: start, Region: "salish", DataCentre: fmt.Sprintf("salish-%d", i%2),
			Slots: 6, Connections: 400, Weight: 1, ReadySince: start.Add(-time.Hour),
		}
	}
	peers := make([]route.Peer, entries)
	for i := range peers {
		peers[i] = route.Peer{Instance: fmt.Sprint("e", i), Region: "salish"}
	}
	lastResponse := make([]map[netip.AddrPort]time.Time, entries)
	volume := 0.0
	if l.reuse {
		volume = 1000
	}
	routers, suspicions := make([]*route.Router, entries), make([][]*susp.Target, entries)
	for i := range routers {
		location := route.Location{Instance: fmt.Sprint("e", i), Region: "salish", DataCentre: fmt.Sprintf("salish-%d", i%2)}
		var opts []route.Option
		lastResponse[i] = map[netip.AddrPort]time.Time{}
		if l.reuse {
			opts = append(opts, route.WithIdleConnections(func(to netip.AddrPort, _ bool) bool { return now.Sub(lastResponse[i][to]) < 5*time.Second }))
		}
		routers[i] = route.New(now, location, opts...)
		own := make([]route.Target, targets)
		suspicions[i] = make([]*susp.Target, targets)
		for j := range own {
			suspicions[i][j] = &susp.Target{HoldFactor: 1 + 0.5*rng.Float64()}
			own[j] = configured[j]
			own[j].Suspicion, own[j].Tag = suspicions[i][j], j
		}
		routers[i].Update(now, own, peers)
	}
	ends := map[time.Time][]func(){}
	running := make([]int, targets)
	lastFailure := make([]time.Time, targets)
	failing := make([]bool, targets)
	var pending []report
	sent, failures := 0, 0
	lastRequest, lastFailing := make([]time.Time, targets), make([]time.Time, targets) // lastFailing: last time in a phase of failures
	checks, unused := 0, 0
	var usedShares []float64
	for ; now.Before(start.Add(100 * time.Second)); now = now.Add(step) {
		for j := range failing {
			// The phases of each target are shifted.
			if now.Equal(start) || (now.Sub(start)+time.Duration(j)*l.phaseShift)%l.phase < step {
				failing[j] = rng.Float64() < 0.3
			}
		}
		if now.Sub(start) > l.phase && now.Sub(start)%time.Second < step {
			idle, used := 0, 0
			for j := range targets {
				switch {
				// A target that failed counts again 2 s later, or 2 s after its phase of failures.
				case running[j] > 0 || now.Sub(lastFailure[j]) < 2*time.Second || now.Sub(lastFailing[j]) < 2*time.Second:
				case now.Sub(lastRequest[j]) >= 2*time.Second:
					idle++
				default:
					used++
				}
			}
			if idle+used > 0 {
				usedShares = append(usedShares, float64(used)/float64(idle+used))
			}
		}
		for j := range failing {
			if failing[j] {
				lastFailing[j] = now
			}
			// A target counts as healthy 2 s after its recovery, and is unused if it
			// gets no request in the 2 s after that.
			if now.Sub(lastFailing[j]) >= 4*time.Second {
				checks++
				if now.Sub(lastRequest[j]) >= 2*time.Second {
					unused++
				}
			}
		}
		for len(pending) > 0 && !now.Before(pending[0].at.Add(50*time.Millisecond)) {
			next := pending[0]
			pending = pending[1:]
			for i := range suspicions {
				if i != next.from {
					suspicions[i][next.target].ObserveRemote(now, next.observation, now.Sub(next.seen))
				}
			}
		}
		for _, end := range ends[now] {
			end()
		}
		delete(ends, now)
		if rng.Float64() > l.rate*step.Seconds() {
			continue
		}
		i := rng.IntN(entries)
		e := routers[i].PickByCost(now, rng.Uint64(), route.Request{NonRepeatable: !l.repeatable, Bytes: volume})
		j := e.Tag().(int)
		sent++
		lastRequest[j] = now
		if _, _, avoided := suspicions[i][j].Avoided(now); avoided && !naive {
			suspicions[i][j].Observe(now, susp.Tested)
			pending = append(pending, report{now, now, i, j, susp.Tested})
		}
		if share := 0.01; failing[j] && rng.Float64() < 0.75 || rng.Float64() < share {
			failures++
			lastFailure[j] = now
			if !naive {
				if before, _ := suspicions[i][j].Observe(now, susp.Failed); susp.Failed.ShouldShare(before) {
					pending = append(pending, report{now, now, i, j, susp.Failed})
				}
			}
			continue
		}
		e.Begin()
		running[j]++
		duration := 460 * time.Millisecond
		if running[j] > 6 {
			duration *= 2
		}
		sentAt, at := now, now.Add(duration.Truncate(step))
		ends[at] = append(ends[at], func() {
			running[j]--
			lastResponse[i][e.Address()] = at
			e.RecordLoad(at, running[j]+1, 6)
			e.End(duration)
			if before, _ := suspicions[i][j].ObserveAnswer(at, sentAt); !naive && susp.Answered.ShouldShare(before) {
				pending = append(pending, report{at, sentAt, i, j, susp.Answered})
			}
		})
	}
	return loadResult{failed: float64(failures) / float64(sent), unusedHealthy: float64(unused) / float64(checks), usedShares: usedShares}
}
