package trial

import (
	"math"
	"slices"
	"time"
)

// target is a queue model: slots, a bounded queue and faults.
type target struct {
	region, centre int
	slots          int
	running        int
	waiting        []int32 // attempts
	faults         []Fault
	cold           time.Duration // end of a cold start, 0: none
	paused         time.Duration // end of the present pause

	sends []time.Duration // ordinary requests sent to it
}

const (
	// coldFor is the length of a cold start, and coldFactor the service time
	// at its beginning, over the usual.
	coldFor    = 20 * time.Second
	coldFactor = 5.0
	// own is the share of the variance of the service time that belongs to the
	// request and not to the attempt. With independent attempts a hedge would
	// redraw a long request, and hedging would add capacity.
	own = 0.5
)

// active returns the fault in effect, if any. Warm is added by the world.
func (t *target) active(at time.Duration) *Fault {
	for i := range t.faults {
		f := &t.faults[i]
		if at < f.At || at >= f.At+f.Length {
			continue
		}
		if f.Period > 0 && (at-f.At)%f.Period >= f.Period/2 {
			continue
		}
		return f
	}
	return nil
}

// service draws the time that an attempt takes in its slot.
func (w *world) service(t *target, a *attempt) time.Duration {
	s := &w.scene
	mean := float64(s.Kinds[a.kind].Mean)
	z := math.Sqrt(own)*a.size + math.Sqrt(1-own)*w.noise.NormFloat64()
	took := mean * math.Exp(s.Sigma*z-s.Sigma*s.Sigma/2)
	a.failed = false
	if f := t.active(w.now); f != nil {
		if f.Stall {
			return f.At + f.Length - w.now + time.Duration(took)
		}
		if f.Factor > 0 {
			took *= f.Factor
		}
		a.failed = w.noise.Float64() < f.Errors
	}
	if left := t.cold - w.now; left > 0 {
		took *= 1 + (coldFactor-1)*float64(left)/float64(coldFor)
	}
	if t.paused > w.now {
		took += float64(t.paused - w.now)
	}
	return time.Duration(took)
}

// receive is the arrival of an attempt at its target.
func (w *world) receive(id int32) {
	a := &w.attempts[id]
	t := &w.targets[a.target]
	switch {
	case t.running < t.slots:
		w.start(t, id)
	case len(t.waiting) >= w.scene.Queue:
		a.shed = true
		w.reply(id)
	default:
		a.place = queued
		t.waiting = append(t.waiting, id)
	}
}

func (w *world) start(t *target, id int32) {
	a := &w.attempts[id]
	t.running++
	a.place = running
	w.events.push(event{at: int64(w.now + w.service(t, a)), kind: finished, id: id, gen: a.gen})
}

// finish is the end of an attempt in its slot.
func (w *world) finish(id int32) {
	a := &w.attempts[id]
	w.free(&w.targets[a.target])
	w.reply(id)
}

func (w *world) free(t *target) {
	t.running--
	if len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = slices.Delete(t.waiting, 0, 1)
		w.start(t, next)
	}
}

// reply sends the answer back with the load of the target.
func (w *world) reply(id int32) {
	a := &w.attempts[id]
	t := &w.targets[a.target]
	a.place = replied
	a.load = t.running + len(t.waiting)
	w.events.push(event{at: int64(w.now + w.back(a)), kind: response, id: id, gen: a.gen})
}

// abort is the arrival of a cancellation.
func (w *world) abort(id int32) {
	a := &w.attempts[id]
	t := &w.targets[a.target]
	switch a.place {
	case running:
		w.free(t)
	case queued:
		t.waiting = slices.DeleteFunc(t.waiting, func(o int32) bool { return o == id })
	case travelling, replied:
	}
	w.release(id)
}
