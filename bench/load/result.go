package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the recorded latencies.
const (
	minLatency        = int64(time.Microsecond)
	maxLatency        = int64(10 * time.Minute)
	significantDigits = 3
)

// Count holds the outcomes of the requests of one kind.
type Count struct {
	Sent      int `json:"sent"`
	Answered  int `json:"answered"`  // complete answer with a 2xx status
	Refused   int `json:"refused"`   // complete answer with another status
	Broken    int `json:"broken"`    // no answer or an incomplete one
	Corrupted int `json:"corrupted"` // complete answer that does not match the request
	Dropped   int `json:"dropped"`   // not sent because too many requests were in flight
}

// Result holds the counts and the latencies of one run.
type Result struct {
	Counts map[Kind]Count
	MaxLag time.Duration // largest delay from the intended to the actual start

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
}

func newResult() *Result {
	return &Result{Counts: map[Kind]Count{}, latencies: hdrhistogram.New(minLatency, maxLatency, significantDigits)}
}

func (r *Result) update(kind Kind, f func(*Count)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := r.Counts[kind]
	f(&count)
	r.Counts[kind] = count
}

func (r *Result) record(latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.latencies.RecordValue(min(max(int64(latency), minLatency), maxLatency)) // the value is in range
}

// Quantile returns the latency, measured from the intended start, that the given
// share of the answered requests does not exceed.
func (r *Result) Quantile(share float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latencies.ValueAtQuantile(100 * share))
}

// Merge adds the counts and latencies of another result.
func (r *Result) Merge(other *Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latencies.Merge(other.latencies)
	r.MaxLag = max(r.MaxLag, other.MaxLag)
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

// Summary is the JSON form of a Result. Times are in milliseconds.
type Summary struct {
	Counts map[Kind]Count `json:"counts"`
	P50    float64        `json:"p50"`
	P90    float64        `json:"p90"`
	P99    float64        `json:"p99"`
	P999   float64        `json:"p999"`
	Lag    float64        `json:"lag"`
}

// Milliseconds returns a duration as a number of milliseconds.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Summary returns the JSON form of the result.
func (r *Result) Summary() Summary {
	return Summary{
		Counts: r.Counts,
		P50:    Milliseconds(r.Quantile(0.5)),
		P90:    Milliseconds(r.Quantile(0.9)),
		P99:    Milliseconds(r.Quantile(0.99)),
		P999:   Milliseconds(r.Quantile(0.999)),
		Lag:    Milliseconds(r.MaxLag),
	}
}
