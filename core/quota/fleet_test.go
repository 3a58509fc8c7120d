package quota_test

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/quota"
)

const (
	modelEntries = 48
	modelTargets = 12
	modelRegions = 3
	modelTick    = 100 * time.Millisecond
	modelDelay   = 50 * time.Millisecond  // of messages between entries
	modelLatency = 300 * time.Millisecond // of requests
	modelTime    = 40 * time.Second
	settled      = 3 * time.Second // after which a limit binds
	span         = 4 * time.Second // over which requests are counted
)

// fleetModel is a fleet of entries with uneven demand in front of targets, some of
// which name limits.
type fleetModel struct {
	rng     *rand.Rand
	naive   bool // entries ignore limits
	equal   bool // the shares do not follow the demand
	restart time.Duration
	demand  float64            // requests a second of all entries
	limits  []float64          // of the first targets
	entries []*modelEntry      // by number
	queue   map[int64][]func() // by tick
	sent    [][]time.Time      // by target
	refused int
	asked   int
}

type modelEntry struct {
	id      uint64
	region  string
	weight  float64
	targets []*quota.Target
	demands quota.Demands
	meter   quota.Meter
}

func region(n int) string { return string(rune('a' + n%modelRegions)) }

func place(target int) quota.Place {
	return quota.Place{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(target)}), 80), Region: region(target)}
}

func newModelEntry(n int, weight float64) *modelEntry {
	e := &modelEntry{id: uint64(n+1) * 0x9e3779b97f4a7c15, region: region(n), weight: weight}
	for range modelTargets {
		e.targets = append(e.targets, &quota.Target{})
	}
	return e
}

func (m *fleetModel) after(now time.Time, d time.Duration, f func()) {
	tick := now.Add(d).UnixNano() / int64(modelDelay)
	m.queue[tick] = append(m.queue[tick], f)
}

// broadcast delivers a message to all entries but one.
func (m *fleetModel) broadcast(now time.Time, from int, deliver func(e *modelEntry, now time.Time)) {
	for n := range m.entries {
		if n != from {
			m.after(now, modelDelay, func() { deliver(m.entries[n], now.Add(modelDelay)) })
		}
	}
}

func (m *fleetModel) report(target int) quota.Report {
	if target < len(m.limits) {
		return quota.Report{Limited: true, Rate: m.limits[target]}
	}
	return quota.Report{}
}

// request sends one request of an entry to a target, preferably of its region.
func (m *fleetModel) request(n int, now time.Time) {
	e := m.entries[n]
	e.meter.Record(now)
	m.asked++
	var near, far []int
	for i, t := range e.targets {
		switch {
		case !m.naive && !t.Available(now):
		case place(i).Region == e.region:
			near = append(near, i)
		default:
			far = append(far, i)
		}
	}
	candidates := near
	if len(near) == 0 {
		candidates = far
	}
	if len(candidates) == 0 {
		m.refused++
		return
	}
	target := candidates[m.rng.IntN(len(candidates))]
	e.targets[target].Take(now)
	m.sent[target] = append(m.sent[target], now)
	m.after(now, modelLatency, func() {
		end := now.Add(modelLatency)
		if _, share := e.targets[target].Observe(end, now, m.report(target)); share {
			m.broadcast(end, n, func(o *modelEntry, at time.Time) {
				o.targets[target].ObserveRemote(at, m.report(target), modelDelay)
			})
		}
	})
}

func (m *fleetModel) tick(n int, now time.Time) {
	e := m.entries[n]
	limited := slices.ContainsFunc(e.targets, func(t *quota.Target) bool { return t.Report().Limited })
	if !limited {
		return
	}
	own := quota.Demand{Entry: e.id, Region: e.region, Rate: e.meter.Rate(now)}
	if m.equal {
		own.Rate = 1
	}
	if e.demands.Announce(now, own) {
		m.broadcast(now, n, func(o *modelEntry, at time.Time) { o.demands.Set(at, own) })
	}
	e.demands.Expire(now)
	for i, t := range e.targets {
		if r := t.Report(); r.Limited {
			burst := quota.Burst(r.Rate)
			t.SetShare(now, quota.Share(e.demands.List(), e.id, place(i), burst), burst)
		}
	}
}

// replace restarts an entry, which learns demands and limits from control.
func (m *fleetModel) replace(n int, now time.Time) {
	fresh := newModelEntry(n, m.entries[n].weight)
	known := m.entries[(n+1)%modelEntries]
	m.entries[n] = fresh
	m.after(now, 4*modelDelay, func() {
		at := now.Add(4 * modelDelay)
		for _, d := range known.demands.List() {
			fresh.demands.Set(at, d)
		}
		for i, t := range known.targets {
			fresh.targets[i].ObserveRemote(at, t.Report(), modelDelay)
		}
	})
}

func (m *fleetModel) run() {
	m.queue, m.sent = map[int64][]func(){}, make([][]time.Time, modelTargets)
	total := 0.0
	for n := range modelEntries {
		weight := math.Pow(m.rng.Float64(), 3) // a few entries have most of the demand
		total += weight
		m.entries = append(m.entries, newModelEntry(n, weight))
	}
	lastRestart := start
	for now := start; now.Before(start.Add(modelTime)); now = now.Add(modelDelay) {
		tick := now.UnixNano() / int64(modelDelay)
		for _, f := range m.queue[tick] {
			f()
		}
		delete(m.queue, tick)
		for n, e := range m.entries {
			expected := m.demand * e.weight / total * modelDelay.Seconds()
			for m.rng.Float64() < expected {
				m.request(n, now)
				expected--
			}
			if now.Sub(start)%modelTick == 0 {
				m.tick(n, now)
			}
		}
		if m.restart > 0 && now.Sub(lastRestart) >= m.restart {
			lastRestart = now
			m.replace(m.rng.IntN(modelEntries), now)
		}
	}
}

// excess returns the largest ratio of the requests that a target got in a span to
// those that it may get, and the share of the limits that was used.
func (m *fleetModel) excess() (worst, used float64) {
	got, allowed := 0.0, 0.0
	for target, rate := range m.limits {
		var times []time.Time
		for _, at := range m.sent[target] {
			if at.Sub(start) >= settled {
				times = append(times, at)
			}
		}
		first := 0
		for i, at := range times {
			for at.Sub(times[first]) >= span {
				first++
			}
			worst = max(worst, float64(i-first+1)/(1.5*rate*span.Seconds()+5))
		}
		got += float64(len(times))
		allowed += rate * (modelTime - settled).Seconds()
	}
	return worst, got / allowed
}

func modelLimits(rng *rand.Rand, targets int) []float64 {
	out := make([]float64, targets)
	for i := range out {
		out[i] = 0.5 + 6*rng.Float64()
	}
	return out
}

// Guards against a fleet that sends a target more requests than the target
// accepts, though each entry keeps to the limit or does not know it, and against
// one that leaves the capacity of limited targets unused.
func TestFleetKeepsLimits(t *testing.T) {
	seeds := uint64(3)
	if testing.Short() {
		seeds = 1
	}
	for seed := range seeds {
		for _, scene := range []struct {
			name    string
			limited int
			demand  float64
			restart time.Duration
		}{
			{"most limited", 8, 60, 0},
			{"all limited", 12, 60, 0},
			{"restarts", 12, 60, 500 * time.Millisecond},
		} {
			t.Run(scene.name, func(t *testing.T) {
				is := is.New(t)
				play := func(naive, equal bool) *fleetModel {
					rng := rand.New(rand.NewPCG(seed, 1))
					m := &fleetModel{rng: rng, naive: naive, equal: equal, restart: scene.restart, demand: scene.demand, limits: modelLimits(rng, scene.limited)}
					m.run()
					return m
				}
				worst, _ := play(true, false).excess()
				is.True(worst > 1) // entries that ignore limits exceed them
				_, usedByEqual := play(false, true).excess()
				m := play(false, false)
				worst, used := m.excess()
				t.Logf("seed %d: at most %.2f of the allowance, %.2f of the limits used (%.2f with equal shares), %d of %d refused",
					seed, worst, used, usedByEqual, m.refused, m.asked)
				is.True(worst <= 1)
				is.True(used > 0.5)
				is.True(used > usedByEqual)
			})
		}
	}
}
