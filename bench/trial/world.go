package trial

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/eject"
)

// epoch is the wall time of the virtual time zero.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// tickEvery is the interval of the control goroutine of an entry and of the
// leader.
const tickEvery = 50 * time.Millisecond

// place is where an attempt is.
type place uint8

const (
	travelling place = iota
	queued
	running
	replied
)

// world is one run.
type world struct {
	scene    Scene
	naive    bool
	now      time.Duration
	events   queue
	calls    []func()
	arrivals *rand.Rand // the same for both variants
	noise    *rand.Rand // service times
	choice   *rand.Rand // decisions

	targets  []target
	entries  []*entry
	requests []request
	attempts []attempt
	idleReqs []int32
	idleAtts []int32
	leader   *leader
	links    []Fault
	measure  measure
}

func (w *world) wall() time.Time { return epoch.Add(w.now) }

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080)
}

func regionName(i int) string { return []string{"salish", "okanagan", "haida"}[i%regions] }

func centreName(i int) string { return fmt.Sprintf("%s-%d", regionName(i), i/regions%2) }

func newWorld(scene Scene, seed uint64, naive bool) (*world, error) {
	w := &world{
		scene: scene, naive: naive,
		arrivals: rand.New(rand.NewPCG(seed, 1)),
		noise:    rand.New(rand.NewPCG(seed, 2)),
		choice:   rand.New(rand.NewPCG(seed, 3)),
	}
	w.measure.init()
	for i := range scene.Targets {
		w.targets = append(w.targets, target{region: i % regions, centre: i % dataCentres, slots: scene.Slots})
	}
	for _, f := range scene.Faults {
		f.At += scene.Warm
		if f.Link {
			w.links = append(w.links, f)
			continue
		}
		w.targets[f.Target].faults = append(w.targets[f.Target].faults, f)
	}
	if !naive {
		l, err := newLeader(w)
		if err != nil {
			return nil, err
		}
		w.leader = l
	}
	for i := range scene.Entries {
		e := &entry{world: w, id: i, region: i % regions, centre: i % dataCentres}
		w.entries = append(w.entries, e)
	}
	for i, e := range w.entries {
		if naive {
			newNaive(e)
		} else {
			newReal(e)
		}
		w.events.push(event{at: int64(tickEvery) * int64(i) / int64(scene.Entries), kind: ticking, id: int32(i)})
	}
	w.events.push(event{kind: arrival})
	w.after(scene.Warm, func() {
		for i := range scene.Cold {
			w.restart(i * scene.Targets / max(1, scene.Cold))
		}
	})
	if scene.Pauses > 0 {
		for i := range w.targets {
			w.pause(&w.targets[i])
		}
	}
	return w, nil
}

// pause schedules pauses of 50 ms to 250 ms, as of a garbage collector.
func (w *world) pause(t *target) {
	w.after(time.Duration(w.noise.ExpFloat64()*float64(w.scene.Pauses)), func() {
		t.paused = w.now + time.Duration(50+w.noise.IntN(200))*time.Millisecond
		w.pause(t)
	})
}

// restart makes a target cold. It announces that it is ready at once, as a
// target that does not know its own state does.
func (w *world) restart(i int) { w.targets[i].cold = w.now + coldFor }

// after calls a function later.
func (w *world) after(d time.Duration, call func()) {
	w.calls = append(w.calls, call)
	w.events.push(event{at: int64(w.now + d), kind: calling, id: int32(len(w.calls) - 1)})
}

// run plays the scene.
func (w *world) run() {
	end := w.scene.Warm + w.scene.Length
	for len(w.events) > 0 {
		ev := w.events.pop()
		w.now = time.Duration(ev.at)
		if w.now >= end {
			return
		}
		w.handle(ev)
	}
}

func (w *world) handle(ev event) {
	switch ev.kind {
	case arrival:
		gap := time.Duration(w.arrivals.ExpFloat64() / w.scene.Rate() * float64(time.Second))
		w.events.push(event{at: int64(w.now + gap), kind: arrival})
		w.arrive()
	case ticking:
		w.entries[ev.id].tick()
		w.entries[ev.id].check()
		w.events.push(event{at: int64(w.now + tickEvery), kind: ticking, id: ev.id})
	case calling:
		call := w.calls[ev.id]
		w.calls[ev.id] = nil
		call()
	case timeout:
		if w.requests[ev.id].gen == ev.gen {
			w.expire(ev.id)
		}
	case hedge:
		if w.requests[ev.id].gen == ev.gen {
			w.hedge(ev.id)
		}
	default:
		if w.attempts[ev.id].gen == ev.gen {
			w.handleAttempt(ev)
		}
	}
}

func (w *world) handleAttempt(ev event) {
	switch ev.kind {
	case delivery:
		if w.attempts[ev.id].place == travelling {
			w.receive(ev.id)
		}
	case finished:
		if w.attempts[ev.id].place == running {
			w.finish(ev.id)
		}
	case response:
		w.answer(ev.id)
	case cancel:
		w.abort(ev.id)
	}
}

// oneWay is the network delay between an entry's and a target's place.
func (w *world) oneWay(fromRegion, fromCentre, toRegion, toCentre int) time.Duration {
	var d time.Duration
	switch {
	case fromCentre == toCentre:
		return w.scene.Near
	case fromRegion == toRegion:
		d = w.scene.Region
	default:
		d = w.scene.Far
	}
	for _, f := range w.links {
		if f.From == fromRegion && f.To == toRegion && w.now >= f.At && w.now < f.At+f.Length {
			d += f.Extra
		}
	}
	return d
}

func (w *world) out(a *attempt) time.Duration {
	e, t := w.entries[a.entry], &w.targets[a.target]
	return w.oneWay(e.region, e.centre, t.region, t.centre)
}

func (w *world) back(a *attempt) time.Duration {
	e, t := w.entries[a.entry], &w.targets[a.target]
	return w.oneWay(t.region, t.centre, e.region, e.centre)
}

// floor is the capacity that has to stay in service.
func (w *world) floor() eject.Floor { return eject.Floor{Share: w.scene.Floor} }
