package trial

import (
	"time"

	"github.com/galenalock/galenalock/core/retry"
)

const (
	// naiveSlow is the fixed threshold above which an answer counts as bad.
	naiveSlow = 250 * time.Millisecond
	// naiveBad is the number of bad answers in a row that take a target out.
	naiveBad = 5
	// naiveOut is how long.
	naiveOut = 30 * time.Second
)

// naive is round robin with a fixed threshold and retries on failure.
type naive struct {
	next  int
	bad   []int
	until []time.Duration
}

func newNaive(e *entry) {
	w := e.world
	n := &naive{next: e.id, bad: make([]int, len(w.targets)), until: make([]time.Duration, len(w.targets))}
	e.ask = func(id int32) {
		if !w.dispatch(id) {
			w.end(id, false)
		}
	}
	e.pick = func(*request) (int, bool) {
		for range w.targets {
			n.next = (n.next + 1) % len(w.targets)
			if n.until[n.next] <= w.now {
				return n.next, false
			}
		}
		return -1, false
	}
	e.began = func(*attempt) {}
	e.ended = func(a *attempt, how ending) {
		switch {
		case how == answered && w.now-a.sent <= naiveSlow:
			n.bad[a.target] = 0
			return
		case how == abandoned && w.now-a.sent <= naiveSlow:
			return
		}
		n.bad[a.target]++
		if n.bad[a.target] >= naiveBad {
			n.bad[a.target] = 0
			n.until[a.target] = w.now + naiveOut
			w.measure.eject(w, a.target)
		}
	}
	e.again = func(r *request, _ retry.Reason) bool { return r.attempts < maxAttempts }
	e.delay = func(*request) (time.Duration, bool) { return 0, false }
	e.done = func(*request, bool) {}
	e.tick = func() {}
	e.holds = func(t int) bool { return n.until[t] > w.now }
}
