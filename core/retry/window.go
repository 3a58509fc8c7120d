package retry

import (
	"sync"
	"time"
)

const (
	// parts is the number of parts that a window is counted in.
	parts = 10
	// margin is the part of the budget that is used. The rest covers entries
	// that have just started, which know of no attempts before, and entries that
	// are not counted yet.
	margin = 0.92
)

// window counts requests and further attempts over a sliding span. The sum over
// all entries stays within the share of the requests and the slack that the
// whole fleet has, because each entry uses its own part of both only.
type window struct {
	span  time.Duration
	share float64
	slack float64 // of the whole fleet in one span

	mu      sync.Mutex
	entries int
	counts  [parts + 1]count // the oldest part is counted whole
}

// count is one part of the span.
type count struct {
	number   int64 // of the part since the epoch
	requests int
	extra    int
}

func newWindow(span time.Duration, share, slack float64) *window {
	return &window{span: span, share: share, slack: slack, entries: 1}
}

// part returns the counts of the part that now lies in; the lock is held.
func (w *window) part(age time.Duration) *count {
	number := int64(age / (w.span / parts))
	c := &w.counts[number%int64(len(w.counts))]
	if c.number != number {
		*c = count{number: number}
	}
	return c
}

func (w *window) request(age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.part(age).requests++
}

// allow takes a further attempt if the window has room for it.
func (w *window) allow(age time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	present := w.part(age)
	requests, extra := 0, 0
	for i := range w.counts {
		if c := &w.counts[i]; present.number-c.number <= parts {
			extra += c.extra
			// Requests of the oldest part may lie outside the span.
			if present.number-c.number < parts {
				requests += c.requests
			}
		}
	}
	if float64(extra+1) > margin*w.share*float64(requests)+max(1, margin*w.slack/float64(w.entries)) {
		return false
	}
	present.extra++
	return true
}

func (w *window) divide(entries int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = max(1, entries)
}
