package trial

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/eject"
)

// epoch is the wall-clock time at virtual time zero.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// tickInterval is the interval of the control loops of entries and leader.
const tickInterval = 50 * time.Millisecond

// attemptStage is how far an attempt has got.
type attemptStage uint8

const (
	stageInTransit attemptStage = iota
	stageQueued
	stageRunning
	stageResponded
)

// simulation is the state of one run.
type simulation struct {
	scenario     Scenario
	naive        bool
	now          time.Duration
	events       eventQueue
	callbacks    []func()
	arrivalRand  *rand.Rand // arrivals, the same for both variants
	serviceRand  *rand.Rand // service times, errors and pauses
	decisionRand *rand.Rand // decisions of the real variant

	targets      []target
	entries      []*entry
	requests     []request
	attempts     []attempt
	freeRequests []int32
	freeAttempts []int32
	leader       *leader
	linkFaults   []Fault
	metrics      metrics
}

func (sim *simulation) wallTime() time.Time { return epoch.Add(sim.now) }

func targetAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080)
}

func regionName(i int) string { return []string{"salish", "okanagan", "haida"}[i%regionCount] }

func centreName(i int) string { return fmt.Sprintf("%s-%d", regionName(i), i/regionCount%2) }

func newSimulation(scenario Scenario, seed uint64, naive bool) (*simulation, error) {
	sim := &simulation{
		scenario: scenario, naive: naive,
		arrivalRand:  rand.New(rand.NewPCG(seed, 1)),
		serviceRand:  rand.New(rand.NewPCG(seed, 2)),
		decisionRand: rand.New(rand.NewPCG(seed, 3)),
	}
	sim.metrics.init()
	for i := range scenario.Targets {
		sim.targets = append(sim.targets, target{region: i % regionCount, centre: i % dataCentreCount, slots: scenario.Slots})
	}
	for _, f := range scenario.Faults {
		f.Start += scenario.Warmup
		if f.Link {
			sim.linkFaults = append(sim.linkFaults, f)
			continue
		}
		sim.targets[f.Target].faults = append(sim.targets[f.Target].faults, f)
	}
	if !naive {
		l, err := newLeader(sim)
		if err != nil {
			return nil, err
		}
		sim.leader = l
	}
	for i := range scenario.Entries {
		e := &entry{simulation: sim, id: i, region: i % regionCount, centre: i % dataCentreCount}
		sim.entries = append(sim.entries, e)
	}
	for i, e := range sim.entries {
		if naive {
			attachNaive(e)
		} else {
			attachReal(e)
		}
		sim.events.push(event{at: int64(tickInterval) * int64(i) / int64(scenario.Entries), kind: entryTick, id: int32(i)})
	}
	sim.events.push(event{kind: requestArrival})
	sim.schedule(scenario.Warmup, func() {
		for i := range scenario.ColdTargets {
			sim.restartCold(i * scenario.Targets / max(1, scenario.ColdTargets))
		}
	})
	if scenario.PauseInterval > 0 {
		for i := range sim.targets {
			sim.schedulePause(&sim.targets[i])
		}
	}
	return sim, nil
}

// schedulePause schedules pauses of 50 ms to 250 ms, like those of a garbage
// collector, until the end of the run.
func (sim *simulation) schedulePause(t *target) {
	sim.schedule(time.Duration(sim.serviceRand.ExpFloat64()*float64(sim.scenario.PauseInterval)), func() {
		t.pausedUntil = sim.now + time.Duration(50+sim.serviceRand.IntN(200))*time.Millisecond
		sim.schedulePause(t)
	})
}

// restartCold starts the cold period of a target. The target stays announced as
// ready, like one that does not know its own state.
func (sim *simulation) restartCold(i int) { sim.targets[i].coldUntil = sim.now + coldDuration }

// schedule calls a function after d.
func (sim *simulation) schedule(d time.Duration, call func()) {
	sim.callbacks = append(sim.callbacks, call)
	sim.events.push(event{at: int64(sim.now + d), kind: callbackDue, id: int32(len(sim.callbacks) - 1)})
}

// run processes events until the end of the scenario.
func (sim *simulation) run() {
	end := sim.scenario.Warmup + sim.scenario.Length
	for len(sim.events) > 0 {
		ev := sim.events.pop()
		sim.now = time.Duration(ev.at)
		if sim.now >= end {
			return
		}
		sim.handleEvent(ev)
	}
}

func (sim *simulation) handleEvent(ev event) {
	switch ev.kind {
	case requestArrival:
		interval := time.Duration(sim.arrivalRand.ExpFloat64() / sim.scenario.Rate() * float64(time.Second))
		sim.events.push(event{at: int64(sim.now + interval), kind: requestArrival})
		sim.startRequest()
	case entryTick:
		sim.entries[ev.id].tick()
		sim.entries[ev.id].checkFloor()
		sim.events.push(event{at: int64(sim.now + tickInterval), kind: entryTick, id: ev.id})
	case callbackDue:
		call := sim.callbacks[ev.id]
		sim.callbacks[ev.id] = nil
		call()
	case requestTimeout:
		if sim.requests[ev.id].generation == ev.generation {
			sim.expireRequest(ev.id)
		}
	case hedgeTimer:
		if sim.requests[ev.id].generation == ev.generation {
			sim.startHedge(ev.id)
		}
	default:
		if sim.attempts[ev.id].generation == ev.generation {
			sim.handleAttemptEvent(ev)
		}
	}
}

func (sim *simulation) handleAttemptEvent(ev event) {
	switch ev.kind {
	case attemptDelivery:
		if sim.attempts[ev.id].stage == stageInTransit {
			sim.receiveAttempt(ev.id)
		}
	case serviceEnd:
		if sim.attempts[ev.id].stage == stageRunning {
			sim.endService(ev.id)
		}
	case responseArrival:
		sim.handleResponse(ev.id)
	case cancelDelivery:
		sim.handleCancel(ev.id)
	}
}

// oneWayDelay returns the network delay from one data centre to another,
// including that of link faults.
func (sim *simulation) oneWayDelay(fromRegion, fromCentre, toRegion, toCentre int) time.Duration {
	var d time.Duration
	switch {
	case fromCentre == toCentre:
		return sim.scenario.IntraCentreDelay
	case fromRegion == toRegion:
		d = sim.scenario.IntraRegionDelay
	default:
		d = sim.scenario.InterRegionDelay
	}
	for _, f := range sim.linkFaults {
		if f.FromRegion == fromRegion && f.ToRegion == toRegion && sim.now >= f.Start && sim.now < f.Start+f.Length {
			d += f.ExtraDelay
		}
	}
	return d
}

func (sim *simulation) requestDelay(a *attempt) time.Duration {
	e, t := sim.entries[a.entry], &sim.targets[a.target]
	return sim.oneWayDelay(e.region, e.centre, t.region, t.centre)
}

func (sim *simulation) responseDelay(a *attempt) time.Duration {
	e, t := sim.entries[a.entry], &sim.targets[a.target]
	return sim.oneWayDelay(t.region, t.centre, e.region, e.centre)
}

// floor returns the share of the capacity that has to stay in service.
func (sim *simulation) floor() eject.Floor { return eject.Floor{Share: sim.scenario.Floor} }
