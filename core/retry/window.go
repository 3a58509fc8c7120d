package retry

import (
	"sync"
	"time"
)

const (
	// bucketCount is the number of buckets in a window.
	bucketCount = 10
	// usableShare is the share of the budget that is used. The rest covers entries
	// that have just started and have no record of earlier attempts, and entries
	// that are not counted yet.
	usableShare = 0.86
	// fewEntries is the number of entries up to which limits are rounded down.
	fewEntries = 4
)

// window counts requests and extra attempts in a sliding window. Each entry uses
// the share of its own requests and an equal part of the slack, so that the sum
// over all entries stays within the share and the slack of the whole fleet.
type window struct {
	span     time.Duration
	share    float64
	slack    float64 // of the whole fleet in one span
	rounding float64 // added before the limit of this entry is rounded down

	mu      sync.Mutex
	entries int
	buckets [bucketCount + 1]bucket // extra attempts of the oldest bucket are counted in full
}

// bucket holds the counts of one part of the span.
type bucket struct {
	index    int64 // position in time, counted from the epoch
	requests int
	extra    int
}

func newWindow(span time.Duration, share, slack float64) *window {
	return &window{span: span, share: share, slack: slack, entries: 1}
}

// bucketAt returns the bucket of the given time. The caller holds w.mu.
func (w *window) bucketAt(sinceEpoch time.Duration) *bucket {
	index := int64(sinceEpoch / (w.span / bucketCount))
	b := &w.buckets[index%int64(len(w.buckets))]
	if b.index != index {
		*b = bucket{index: index}
	}
	return b
}

func (w *window) addRequest(sinceEpoch time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bucketAt(sinceEpoch).requests++
}

// allow counts an extra attempt and reports true if the window has room for it and for
// a reserve in proportion to the requests.
func (w *window) allow(sinceEpoch time.Duration, reserve float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.bucketAt(sinceEpoch)
	requests, extra := 0, 0
	for i := range w.buckets {
		if b := &w.buckets[i]; current.index-b.index <= bucketCount {
			extra += b.extra
			// Requests in the oldest bucket may lie outside the span.
			if current.index-b.index < bucketCount {
				requests += b.requests
			}
		}
	}
	limit := usableShare * (w.share*float64(requests) + w.slack/float64(w.entries))
	// Among few entries, the rounding of one is not made up for by that of others.
	rounding := w.rounding * max(0, 1-fewEntries/float64(w.entries))
	if float64(extra+1)+reserve*float64(requests) > limit+rounding {
		return false
	}
	current.extra++
	return true
}

func (w *window) setEntries(entries int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = max(1, entries)
}
