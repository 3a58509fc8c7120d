package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// floorWindow is the time in which the floor of a service is looked at, and
	// after which a target that failed by itself counts as sound again. Source: the
	// rule FLOOR of the platform.
	floorWindow = 2 * time.Second
	// idleShare is the share of the sound targets of a region that may go without a
	// request, and idleLeast the number that may in a region of any size. The floor
	// allows 0.3 of the service; the rest is for targets that get none by chance, and
	// for looks at those targets only that happen to run nothing. Tests of the last
	// idle target of a small region cost more requests than they are worth.
	idleShare = 0.04
	idleLeast = 1.4
	// mostTests bounds the share of the requests that test avoided targets.
	mostTests = 0.25
	// testBias is how much the probability that a target fails counts against its
	// test: a difference of 1/testBias makes it e times less likely.
	testBias = 10
	// paceShift is the weight of one interval between requests, 1/2^3.
	paceShift = 3
)

// pace estimates the time between two requests of this entry.
type pace struct {
	last atomic.Int64 // nanoseconds since the epoch of the router
	mean atomic.Int64 // nanoseconds, 0: not known yet
}

// note counts a request. A lost update under contention costs one sample.
func (p *pace) note(age time.Duration) {
	last := p.last.Swap(int64(age))
	if last == 0 || int64(age) <= last {
		return
	}
	interval, mean := int64(age)-last, p.mean.Load()
	if mean == 0 {
		p.mean.Store(interval)
		return
	}
	p.mean.Store(max(1, mean+(interval-mean)>>paceShift))
}

// census is what a choice counts of the targets of its region, and a test that it
// could make.
type census struct {
	sound int // without a failure in the window
	idle  int // of these, avoided for an older failure
	test  *Endpoint
	least float64 // score of the test
}

// add counts an endpoint.
func (c *census) add(e *Endpoint, now time.Time, draw uint64) {
	age, avoided := time.Duration(0), false
	if e.suspicion != nil {
		age, avoided = e.suspicion.Avoided(now)
	}
	if avoided && age < floorWindow {
		return
	}
	c.sound++
	if !avoided {
		return
	}
	c.idle++
	if !e.free() {
		return
	}
	// The most likely ones of the sound targets are tested first.
	score := testBias*e.suspicion.Probability(now) - gumbel(draw)
	if c.test == nil || score < c.least {
		c.test, c.least = e, score
	}
}

// tests returns which share of the requests of the region that should test its
// avoided targets, so that no more of the sound ones than may are expected to go
// without a request for a window.
func (r *Router) tests(s *snapshot, c census) float64 {
	spare := max(idleLeast, idleShare*float64(c.sound))
	mean := float64(r.pace.mean.Load())
	if float64(c.idle) <= spare || mean == 0 {
		return 0
	}
	// Of k idle targets that get n tests at random, k*exp(-n/k) get none.
	tests := float64(c.idle) * math.Log(float64(c.idle)/spare)
	requests := float64(s.peers) * float64(floorWindow) / mean
	return min(mostTests, tests/requests)
}
