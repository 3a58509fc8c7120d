package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of recorded latencies.
const (
	lowest  = int64(time.Microsecond)
	highest = int64(10 * time.Minute)
	digits  = 3
)

// Count is what became of the requests of one kind.
type Count struct {
	Sent      int `json:"sent"`
	Answered  int `json:"answered"`  // complete answer of class 2xx
	Refused   int `json:"refused"`   // complete answer of another class
	Broken    int `json:"broken"`    // no answer or an incomplete one
	Corrupted int `json:"corrupted"` // complete answer that does not match the request
	Dropped   int `json:"dropped"`   // not sent because too many were outstanding
}

// Result is the outcome of one run.
type Result struct {
	Counts map[Kind]Count
	Lag    time.Duration // longest delay between intended and actual start

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
}

func newResult() *Result {
	return &Result{Counts: map[Kind]Count{}, latencies: hdrhistogram.New(lowest, highest, digits)}
}

func (r *Result) change(kind Kind, f func(*Count)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := r.Counts[kind]
	f(&count)
	r.Counts[kind] = count
}

func (r *Result) record(latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.latencies.RecordValue(min(max(int64(latency), lowest), highest)) // always in range
}

// Quantile returns the latency that the given share of answered requests does
// not exceed, from the intended start on.
func (r *Result) Quantile(share float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latencies.ValueAtQuantile(100 * share))
}

// Merge adds another result of the same kind of run.
func (r *Result) Merge(other *Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latencies.Merge(other.latencies)
	r.Lag = max(r.Lag, other.Lag)
	for kind, c := range other.Counts {
		sum := r.Counts[kind]
		sum.Sent += c.Sent
		sum.Answered += c.Answered
		sum.Refused += c.Refused
		sum.Broken += c.Broken
		sum.Corrupted += c.Corrupted
		sum.Dropped += c.Dropped
		r.Counts[kind] = sum
	}
}

// Summary is the machine-readable form of a result. Times are in milliseconds.
type Summary struct {
	Counts map[Kind]Count `json:"counts"`
	P50    float64        `json:"p50"`
	P90    float64        `json:"p90"`
	P99    float64        `json:"p99"`
	P999   float64        `json:"p999"`
	Lag    float64        `json:"lag"`
}

// Milliseconds converts a duration.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Summary returns the machine-readable form.
func (r *Result) Summary() Summary {
	return Summary{
		Counts: r.Counts,
		P50:    Milliseconds(r.Quantile(0.5)),
		P90:    Milliseconds(r.Quantile(0.9)),
		P99:    Milliseconds(r.Quantile(0.99)),
		P999:   Milliseconds(r.Quantile(0.999)),
		Lag:    Milliseconds(r.Lag),
	}
}
