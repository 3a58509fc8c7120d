package trial

import (
	"time"

	"github.com/galenalock/galenalock/core/health"
	"github.com/galenalock/galenalock/core/limit"
	"github.com/galenalock/galenalock/core/retry"
	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	requestBytes  = 512
	responseBytes = 2048
	maxAttempts   = 3
)

type request struct {
	gen      uint32
	entry    int
	kind     int
	born     time.Duration
	size     float64 // its own part of the service time, standard normal
	attempts int
	live     []int32
	tried    int // target of the first attempt
	ticket   *limit.Ticket
}

type attempt struct {
	gen      uint32
	request  int32
	entry    int
	kind     int
	size     float64
	target   int
	place    place
	sent     time.Duration
	load     int
	failed   bool
	shed     bool
	probe    bool
	orphan   bool // its request has ended, a cancellation is on its way
	call     health.Call
	endpoint *route.Endpoint
}

// ending is how an attempt ended, as its entry sees it.
type ending int

const (
	answered ending = iota
	broken
	shed
	abandoned
)

// entry is one instance. The function fields are the seam between the naive
// and the real variant.
type entry struct {
	world          *world
	id             int
	region, centre int

	ask   func(id int32) // admits a request, now or later
	pick  func(r *request) (target int, probe bool)
	began func(a *attempt)
	ended func(a *attempt, how ending)
	again func(r *request, reason retry.Reason) bool
	delay func(r *request) (time.Duration, bool) // of a hedge
	done  func(r *request, ok bool)
	tick  func()
	holds func(target int) bool
	obey  func(o wire.Orders)
}

func (w *world) arrive() {
	x, kind := w.arrivals.Float64(), 0
	for kind < len(w.scene.Kinds)-1 && x >= w.scene.Kinds[kind].Share {
		x -= w.scene.Kinds[kind].Share
		kind++
	}
	at := w.arrivals.IntN(len(w.entries))
	var id int32
	if n := len(w.idleReqs); n > 0 {
		id = w.idleReqs[n-1]
		w.idleReqs = w.idleReqs[:n-1]
	} else {
		id = int32(len(w.requests))
		w.requests = append(w.requests, request{})
	}
	r := &w.requests[id]
	*r = request{gen: r.gen + 1, entry: at, kind: kind, born: w.now, size: w.arrivals.NormFloat64(), live: r.live[:0], tried: -1}
	w.measure.offer(w, r)
	w.events.push(event{at: int64(w.now + w.scene.Kinds[kind].Timeout), kind: timeout, id: id, gen: r.gen})
	w.entries[at].ask(id)
}

// dispatch sends an attempt of an admitted request.
func (w *world) dispatch(id int32) bool {
	r := &w.requests[id]
	e := w.entries[r.entry]
	to, probe := e.pick(r)
	if to < 0 {
		return false
	}
	var at int32
	if n := len(w.idleAtts); n > 0 {
		at = w.idleAtts[n-1]
		w.idleAtts = w.idleAtts[:n-1]
	} else {
		at = int32(len(w.attempts))
		w.attempts = append(w.attempts, attempt{})
	}
	a := &w.attempts[at]
	*a = attempt{gen: a.gen + 1, request: id, entry: r.entry, kind: r.kind, size: r.size, target: to, sent: w.now, probe: probe}
	r.attempts++
	r.live = append(r.live, at)
	if r.tried < 0 {
		r.tried = to
	}
	w.measure.send(w, r, a)
	e.began(a)
	w.events.push(event{at: int64(w.now + w.out(a)), kind: delivery, id: at, gen: a.gen})
	if r.attempts == 1 && w.scene.Kinds[r.kind].Repeat {
		if d, ok := e.delay(r); ok {
			w.events.push(event{at: int64(w.now + d), kind: hedge, id: id, gen: r.gen})
		}
	}
	return true
}

// answer is the arrival of a response at the entry.
func (w *world) answer(at int32) {
	a := &w.attempts[at]
	if a.orphan {
		return
	}
	id := a.request
	r := &w.requests[id]
	e := w.entries[a.entry]
	how, reason := answered, retry.TargetFailed
	switch {
	case a.shed:
		how, reason = shed, retry.Shed
	case a.failed:
		how = broken
	}
	e.ended(a, how)
	w.detach(r, at)
	w.release(at)
	if how == answered {
		w.end(id, true)
		return
	}
	if len(r.live) > 0 {
		return
	}
	repeatable := w.scene.Kinds[r.kind].Repeat || how == shed
	if repeatable && e.again(r, reason) {
		w.measure.retry(w)
		if w.dispatch(id) {
			return
		}
	}
	w.end(id, false)
}

func (w *world) detach(r *request, at int32) {
	for i, o := range r.live {
		if o == at {
			r.live = append(r.live[:i], r.live[i+1:]...)
			return
		}
	}
}

func (w *world) release(at int32) {
	w.attempts[at].gen++
	w.idleAtts = append(w.idleAtts, at)
}

// hedge sends a second attempt when the first is late.
func (w *world) hedge(id int32) {
	r := &w.requests[id]
	if len(r.live) != 1 || r.attempts != 1 {
		return
	}
	if w.entries[r.entry].again(r, retry.Hedging) {
		w.measure.retry(w)
		w.dispatch(id)
	}
}

// expire is the deadline of a request.
func (w *world) expire(id int32) { w.end(id, false) }

// end finishes a request and cancels its attempts.
func (w *world) end(id int32, ok bool) {
	r := &w.requests[id]
	e := w.entries[r.entry]
	for _, at := range r.live {
		a := &w.attempts[at]
		e.ended(a, abandoned)
		a.orphan = true
		w.events.push(event{at: int64(w.now + w.out(a)), kind: cancel, id: at, gen: a.gen})
	}
	r.live = r.live[:0]
	w.measure.finish(w, r, ok)
	// The request is void before the gate admits others in its place.
	ended := *r
	r.gen++
	r.ticket = nil
	e.done(&ended, ok)
	w.idleReqs = append(w.idleReqs, id)
}
