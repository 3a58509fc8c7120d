package trial

import (
	"math"
	"slices"
	"time"
)

// target models a target as slots with a bounded queue, and its faults.
type target struct {
	region, centre int
	slots          int
	running        int
	waiting        []int32 // attempt indexes
	faults         []Fault
	coldUntil      time.Duration // end of a cold start, 0: none
	pausedUntil    time.Duration // end of the current pause

	sentAt []time.Duration // send times of ordinary requests while measured, kept only with faults
}

const (
	// coldDuration is the length of a cold start, and coldFactor multiplies
	// the service time at its beginning.
	coldDuration = 20 * time.Second
	coldFactor   = 5.0
	// requestVarianceShare is the share of the variance of the service time
	// that belongs to the request and not to the attempt. With independent
	// attempts a hedge would redraw the time of a long request, and hedging
	// would add capacity.
	requestVarianceShare = 0.5
)

// activeFault returns the fault in effect, or nil. newSimulation has already
// added Warmup to the starts of the faults.
func (t *target) activeFault(at time.Duration) *Fault {
	for i := range t.faults {
		f := &t.faults[i]
		if at < f.Start || at >= f.Start+f.Length {
			continue
		}
		if f.Period > 0 && (at-f.Start)%f.Period >= f.Period/2 {
			continue
		}
		return f
	}
	return nil
}

// drawServiceTime draws the time that an attempt occupies its slot and whether
// it fails.
func (sim *simulation) drawServiceTime(t *target, a *attempt) time.Duration {
	s := &sim.scenario
	mean := float64(s.Kinds[a.kind].MeanServiceTime)
	z := math.Sqrt(requestVarianceShare)*a.sizeNoise + math.Sqrt(1-requestVarianceShare)*sim.serviceRand.NormFloat64()
	serviceTime := mean * math.Exp(s.ServiceTimeSigma*z-s.ServiceTimeSigma*s.ServiceTimeSigma/2)
	a.failed = false
	if f := t.activeFault(sim.now); f != nil {
		if f.Stall {
			return f.Start + f.Length - sim.now + time.Duration(serviceTime)
		}
		if f.SlowdownFactor > 0 {
			serviceTime *= f.SlowdownFactor
		}
		a.failed = sim.serviceRand.Float64() < f.ErrorShare
	}
	if left := t.coldUntil - sim.now; left > 0 {
		serviceTime *= 1 + (coldFactor-1)*float64(left)/float64(coldDuration)
	}
	if t.pausedUntil > sim.now {
		serviceTime += float64(t.pausedUntil - sim.now)
	}
	return time.Duration(serviceTime)
}

// receiveAttempt handles the arrival of an attempt at its target: it starts,
// queues or sheds it.
func (sim *simulation) receiveAttempt(id int32) {
	a := &sim.attempts[id]
	t := &sim.targets[a.target]
	switch {
	case t.running < t.slots:
		sim.startService(t, id)
	case len(t.waiting) >= sim.scenario.QueueLimit:
		a.shed = true
		sim.sendResponse(id)
	default:
		a.stage = stageQueued
		t.waiting = append(t.waiting, id)
	}
}

func (sim *simulation) startService(t *target, id int32) {
	a := &sim.attempts[id]
	t.running++
	a.stage = stageRunning
	sim.events.push(event{at: int64(sim.now + sim.drawServiceTime(t, a)), kind: serviceEnd, id: id, generation: a.generation})
}

// endService frees the slot of a served attempt and sends its response.
func (sim *simulation) endService(id int32) {
	a := &sim.attempts[id]
	sim.releaseSlot(&sim.targets[a.target])
	sim.sendResponse(id)
}

func (sim *simulation) releaseSlot(t *target) {
	t.running--
	if len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = slices.Delete(t.waiting, 0, 1)
		sim.startService(t, next)
	}
}

// sendResponse sends the response to the entry, with the load of the target.
func (sim *simulation) sendResponse(id int32) {
	a := &sim.attempts[id]
	t := &sim.targets[a.target]
	a.stage = stageResponded
	a.targetLoad = t.running + len(t.waiting)
	sim.events.push(event{at: int64(sim.now + sim.responseDelay(a)), kind: responseArrival, id: id, generation: a.generation})
}

// handleCancel handles the arrival of a cancellation at the target.
func (sim *simulation) handleCancel(id int32) {
	a := &sim.attempts[id]
	t := &sim.targets[a.target]
	switch a.stage {
	case stageRunning:
		sim.releaseSlot(t)
	case stageQueued:
		t.waiting = slices.DeleteFunc(t.waiting, func(other int32) bool { return other == id })
	case stageInTransit, stageResponded:
	}
	sim.releaseAttempt(id)
}
