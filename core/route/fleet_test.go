package route_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/susp"
)

// fleetKind is a kind of request in a fleetModel.
type fleetKind struct {
	rate          float64 // requests a second of the whole fleet
	service       time.Duration
	bytes         float64 // up and down
	nonRepeatable bool
}

// fleetModel describes the load of one service in a fleet of three regions with two
// data centres each. The demand of each data centre swings with a phase of its own.
type fleetModel struct {
	entries, targets, slots, queue int
	kinds                          []fleetKind
	between                        time.Duration // one way between data centres of a region
	swing                          float64
	joinsAt                        time.Duration // when one more target joins, zero: none
}

var (
	uneven = fleetModel{ // two kinds, one of them heavy
		entries: 94, targets: 28, slots: 3, queue: 12, between: 5400 * time.Microsecond, swing: 0.55,
		kinds: []fleetKind{{89, 140 * time.Millisecond, 6200, true}, {89, 82 * time.Millisecond, 1500, false}},
	}
	unevenMany = fleetModel{ // many targets, small requests
		entries: 94, targets: 105, slots: 3, queue: 12, between: 5400 * time.Microsecond, swing: 0.55,
		kinds: []fleetKind{{363, 200 * time.Millisecond, 700, true}},
	}
	unevenThin = fleetModel{ // few requests for each target
		entries: 94, targets: 46, slots: 3, queue: 12, between: 5400 * time.Microsecond, swing: 0.55,
		kinds: []fleetKind{{123, 270 * time.Millisecond, 400, false}},
	}
	unevenFull = fleetModel{ // the demand of a data centre exceeds its targets at times
		entries: 94, targets: 46, slots: 3, queue: 12, between: 5400 * time.Microsecond, swing: 0.55,
		kinds: []fleetKind{{380, 270 * time.Millisecond, 400, false}},
	}
	wide = fleetModel{ // data centres that are close to each other
		entries: 127, targets: 217, slots: 6, queue: 24, between: 500 * time.Microsecond,
		kinds: []fleetKind{{290, 370 * time.Millisecond, 600, false}, {741, 480 * time.Millisecond, 600, true}},
	}
)

// fleetResult is what a run of a fleetModel measures.
type fleetResult struct {
	busiest, unused                                float64 // requests of the busiest target over the mean; share of the targets without a request in 2 s
	outOfPlace, outOfRegion, bytes, dials, refused float64 // for each request
	p50, p99                                       time.Duration
	joined                                         time.Duration // until the target that joined got a request
	part                                           float64       // its requests from 4 to 14 s over the mean of the others
}

func (r fleetResult) String() string {
	return fmt.Sprintf("busiest/mean %.2f, unused %.3f, out of data centre %.3f, of region %.4f, bytes out %.0f, dials %.3f, refused %.4f, p50 %s, p99 %s, joined %s, part %.2f",
		r.busiest, r.unused, r.outOfPlace, r.outOfRegion, r.bytes, r.dials, r.refused, r.p50.Round(time.Millisecond), r.p99.Round(time.Millisecond), r.joined, r.part)
}

// event is a function that runs at a time of the model.
type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleetTarget runs requests on its slots and queues others.
type fleetTarget struct {
	running int
	waiting []func()
	speed   float64
	count   int
	last    time.Duration // when it got a request
}

// fleetEntry chooses targets and keeps idle connections like package pool.
type fleetEntry struct {
	router  *route.Router
	idle    map[netip.AddrPort][]time.Duration
	volumes map[*fleetKind]*route.Volume
	naive   bool // constant costs of distance, no knowledge of connections
}

func (f *fleetEntry) hasIdle(at netip.AddrPort, now time.Duration, nonRepeatable bool) bool {
	limit := 8 * time.Second
	if nonRepeatable {
		limit = 5 * time.Second
	}
	list := f.idle[at]
	return len(list) > 0 && now-list[len(list)-1] <= limit
}

func place(i int) (region, datacentre string) {
	region = []string{"salish", "okanagan", "haida"}[i%3]
	return region, fmt.Sprint(region, "-", i%6/3)
}

// run simulates a fleet from its start and counts what happens between two times.
func (l fleetModel) run(seed uint64, warmUp, length time.Duration, naive bool) fleetResult {
	rng := rand.New(rand.NewPCG(seed, 7))
	known := make([]route.Target, l.targets, l.targets+1)
	targets := make([]fleetTarget, l.targets+1)
	for i := range targets {
		targets[i].speed = 0.8 + 0.5*rng.Float64()
	}
	describe := func(i int, since time.Time) route.Target {
		region, datacentre := place(i)
		return route.Target{Address: address(i), Start: start, Region: region, DataCentre: datacentre, Slots: l.slots, Connections: 256, Weight: 1, ReadySince: since, Tag: i}
	}
	for i := range known {
		known[i] = describe(i, start.Add(-time.Hour))
	}
	peers := make([]route.Peer, l.entries)
	for i := range peers {
		region, _ := place(i)
		peers[i] = route.Peer{Instance: fmt.Sprint("e", i), Region: region}
	}
	var queue events
	now := time.Duration(0)
	at := func(d time.Duration, run func()) { heap.Push(&queue, event{now + d, run}) }
	entries := make([]*fleetEntry, l.entries)
	update := func() {
		for _, e := range entries {
			own := slices.Clone(known)
			for j := range own {
				own[j].Suspicion = &susp.Target{}
			}
			e.router.Update(start.Add(now), own, peers)
		}
	}
	for i := range entries {
		region, datacentre := place(i)
		f := &fleetEntry{idle: map[netip.AddrPort][]time.Duration{}, volumes: map[*fleetKind]*route.Volume{}, naive: naive}
		location := route.Location{Instance: fmt.Sprint("e", i), Region: region, DataCentre: datacentre}
		var opts []route.Option
		if !naive {
			opts = append(opts, route.WithIdleConnections(func(to netip.AddrPort, nonRepeatable bool) bool { return f.hasIdle(to, now, nonRepeatable) }))
		}
		f.router, entries[i] = route.New(start, location, opts...), f
		for n := range l.kinds {
			entries[i].volumes[&l.kinds[n]] = &route.Volume{}
		}
	}
	update()
	result := fleetResult{joined: -1}
	if l.joinsAt > 0 {
		at(l.joinsAt, func() {
			known = append(known, describe(l.targets, start.Add(now-time.Hour)))
			update()
		})
	}
	requests, others, latencies := 0.0, 0.0, []time.Duration(nil)
	send := func(i int, k *fleetKind, sent time.Duration) {
		f := entries[i]
		e := f.router.PickByCost(start.Add(now), rng.Uint64(), f.request(k))
		if e == nil {
			result.refused++
			return
		}
		j := e.Tag().(int)
		t := &targets[j]
		t.last = now
		region, datacentre := place(i)
		targetRegion, targetPlace := place(j)
		distance, counted := 500*time.Microsecond, now >= warmUp
		if counted {
			requests++
			t.count++
		}
		if since := now - l.joinsAt; l.joinsAt > 0 && since >= 4*time.Second && since < 14*time.Second {
			if j == l.targets {
				result.part += float64(l.targets)
			} else {
				others++
			}
		}
		switch {
		case targetRegion != region:
			distance = 20 * time.Millisecond
		case targetPlace != datacentre:
			distance = l.between
		}
		if targetPlace != datacentre && counted {
			result.outOfPlace++
			result.bytes += k.bytes
		}
		if targetRegion != region && counted {
			result.outOfRegion++
		}
		if j == l.targets && result.joined < 0 {
			result.joined = now - l.joinsAt
		}
		delay := distance
		if f.hasIdle(e.Address(), now, k.nonRepeatable) {
			list := f.idle[e.Address()]
			f.idle[e.Address()] = list[:len(list)-1]
		} else {
			delay += 2*distance + time.Millisecond
			e.RecordConnect(2 * distance)
			if counted {
				result.dials++
			}
		}
		e.Begin()
		at(delay, func() {
			respond := func(answered bool) {
				load := t.running + len(t.waiting)
				at(distance, func() {
					latency := time.Duration(0)
					f.idle[e.Address()] = append(f.idle[e.Address()], now)
					e.RecordLoad(start.Add(now), load, l.slots)
					if answered {
						latency = now - sent
					} else if counted {
						result.refused++
					}
					e.End(latency)
					f.volumes[k].Record(int64(k.bytes), 0)
					if counted && answered {
						latencies = append(latencies, latency)
					}
				})
			}
			work := func() {
				t.running++
				at(time.Duration((0.5+rng.Float64())*float64(k.service)/t.speed), func() {
					respond(true)
					t.running--
					if len(t.waiting) > 0 {
						next := t.waiting[0]
						t.waiting = t.waiting[1:]
						next()
					}
				})
			}
			switch {
			case t.running < l.slots:
				work()
			case len(t.waiting) < l.queue:
				t.waiting = append(t.waiting, work)
			default:
				respond(false)
			}
		})
	}
	for i := range entries {
		phase := float64(i%6) / 6
		for n := range l.kinds {
			k := &l.kinds[n]
			peak := k.rate / float64(l.entries) * (1 + l.swing)
			var arrive func()
			arrive = func() {
				demand := 1 + l.swing*math.Sin(2*math.Pi*(now.Seconds()/17+phase))
				if rng.Float64()*(1+l.swing) < demand {
					send(i, k, now)
				}
				at(time.Duration(rng.ExpFloat64()/peak*float64(time.Second)), arrive)
			}
			at(time.Duration(rng.ExpFloat64()/peak*float64(time.Second)), arrive)
		}
	}
	checks, unused := 0, 0
	for check := max(warmUp, 4*time.Second); check < length; check += time.Second {
		at(check, func() {
			for i := range l.targets {
				checks++
				if now-targets[i].last >= 2*time.Second {
					unused++
				}
			}
		})
	}
	for now < length {
		next := heap.Pop(&queue).(event)
		now = next.at
		next.run()
	}
	most := 0
	for i := range l.targets {
		most = max(most, targets[i].count)
	}
	slices.Sort(latencies)
	result.part /= max(1, others)
	result.unused = float64(unused) / float64(checks)
	result.busiest = float64(most) * float64(l.targets) / requests
	for _, share := range []*float64{&result.outOfPlace, &result.outOfRegion, &result.bytes, &result.dials, &result.refused} {
		*share /= requests
	}
	result.p50, result.p99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	return result
}

func (f *fleetEntry) request(k *fleetKind) route.Request {
	if f.naive {
		return route.Request{NonRepeatable: k.nonRepeatable}
	}
	return route.Request{NonRepeatable: k.nonRepeatable, Bytes: f.volumes[k].Mean()}
}

// Guards against requests that leave their data centre although its targets have room,
// whose bytes are paid for; against ones that wait there while targets of another one are
// idle; against a dial for every third request; and against entries that save dials by
// using few targets. The naive variant has constant costs of distance and knows nothing
// of connections.
func TestFleet(t *testing.T) {
	is := is.New(t)
	const maxDials, maxUnused, from, to = 0.1, 0.3, 20 * time.Second, 100 * time.Second
	for _, c := range []struct {
		name     string
		load     fleetModel
		maxBytes float64 // share of the naive variant's bytes between data centres
	}{
		{"uneven", uneven, 0.5}, {"unevenMany", unevenMany, 0.5}, {"unevenThin", unevenThin, 1}, {"unevenFull", unevenFull, 3}, {"wide", wide, 1},
	} {
		got, naive := c.load.run(1, from, to, false), c.load.run(1, from, to, true)
		t.Logf("%s: %v", c.name, got)
		t.Logf("%s, naive: %v", c.name, naive)
		t.Logf("%s, first 22 s: %v", c.name, c.load.run(1, 0, 22*time.Second, false))
		t.Logf("%s, first 22 s, naive: %v", c.name, c.load.run(1, 0, 22*time.Second, true))
		is.True(naive.dials > maxDials)
		is.True(got.dials < maxDials)
		is.True(got.unused < maxUnused)
		is.True(got.bytes <= naive.bytes*c.maxBytes)
		is.True(got.p99.Seconds() <= naive.p99.Seconds()*1.05)
		is.True(got.outOfRegion < 0.01)
	}
}

// Guards against entries that use only the targets to which they have connections, so
// that a new one gets no request within 4 s, or not its part after that. Without the
// rules for new targets it waited up to 21 s.
func TestNewTargetIsUsed(t *testing.T) {
	is := is.New(t)
	for name, l := range map[string]fleetModel{"uneven": uneven, "unevenMany": unevenMany, "unevenThin": unevenThin, "wide": wide} {
		for seed := range uint64(3) {
			l.joinsAt = time.Duration(20+seed) * time.Second
			got := l.run(seed, 0, 36*time.Second, false)
			t.Logf("%s, seed %d: first request after %s, then %.2f of the mean", name, seed, got.joined, got.part)
			is.True(got.joined >= 0 && got.joined < 4*time.Second)
			is.True(got.part > 0.5)
		}
	}
}
