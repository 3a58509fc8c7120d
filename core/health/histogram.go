package health

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// Eight buckets per octave resolve a percentile to 9%; the range runs from
	// 8 µs to 137 s.
	subBits    = 3
	firstBit   = 13
	octaves    = 24
	numBuckets = octaves << subBits
)

// bucket returns the index of the bucket that holds a latency.
func bucket(d time.Duration) int {
	v := uint64(max(d, 0))
	if v < 1<<firstBit {
		return 0
	}
	octave := bits.Len64(v) - 1
	sub := int(v>>(octave-subBits)) & (1<<subBits - 1)
	return min((octave-firstBit)<<subBits+sub, numBuckets-1)
}

// lowerBound returns the lower bound of a bucket, in nanoseconds.
func lowerBound(i int) float64 {
	octave := i>>subBits + firstBit
	return float64(uint64(1<<subBits|i&(1<<subBits-1)) << (octave - subBits))
}

// counts holds the bucket counts that traffic goroutines increment.
type counts [numBuckets]atomic.Uint32

// histogram is a histogram with decaying counts, used by the control goroutine.
type histogram struct {
	buckets [numBuckets]float32
	total   float32
}

func (h *histogram) scale(f float32) {
	for i := range h.buckets {
		h.buckets[i] *= f
	}
	h.total *= f
}

func (h *histogram) add(o *histogram, sign float32) {
	for i := range h.buckets {
		h.buckets[i] += sign * o.buckets[i]
	}
	h.total += sign * o.total
}

// quantile returns the latency below which the given share of the total lies,
// interpolated within its bucket.
func (h *histogram) quantile(share float32) time.Duration {
	remaining := share * h.total
	for i, n := range h.buckets {
		if n > 0 && remaining <= n {
			low, high := lowerBound(i), lowerBound(i+1)
			return time.Duration(low + (high-low)*float64(remaining/n))
		}
		remaining -= max(n, 0)
	}
	return time.Duration(lowerBound(numBuckets))
}
