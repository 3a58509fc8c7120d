package health

import (
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pendingSlots bounds the attempts per target whose age is checked while they
	// are pending. Any others count when they end. It is a power of two.
	pendingSlots = 64
	// severeFactor is the multiple of the percentile above which the latency of a
	// single attempt is severe, so that its target is reported. With log-normal
	// latencies of sigma 1, healthy targets exceed it in about 0.1% of the
	// requests, and a target that is ten times slower in a fifth.
	severeFactor = 4
)

// Target holds the evidence about one incarnation of a target.
type Target struct {
	Address    netip.AddrPort
	Started    time.Time // identifies the incarnation
	Region     string
	DataCentre string

	epoch        time.Time
	latencyBound atomic.Int64 // 90th percentile of the peers, 0: unknown
	pending      [pendingSlots]atomic.Int64
	inFlight     atomic.Int64
	good         atomic.Int64
	slow         atomic.Int64
	failed       atomic.Int64
	severe       atomic.Int64
	load         atomic.Uint64 // last report: requests, slots, time in ms; 0: none
	counts       counts

	mu    sync.Mutex // guards conns; held for list operations only
	conns []*Conn

	state state
}

// recordLatency counts an attempt as good or slow, and as severe where it is.
func (t *Target) recordLatency(latency time.Duration) {
	limit := time.Duration(t.latencyBound.Load())
	if limit == 0 || latency <= limit {
		t.good.Add(1)
		return
	}
	t.slow.Add(1)
	if latency > severeFactor*limit {
		t.severe.Add(1)
	}
}

// countPending counts the pending attempts that have exceeded the percentile.
func (t *Target) countPending(now time.Time) {
	limit := t.latencyBound.Load()
	if limit == 0 || t.inFlight.Load() == 0 {
		return
	}
	at := int64(now.Sub(t.epoch))
	for i := range t.pending {
		v := t.pending[i].Load()
		if v == 0 {
			continue
		}
		age, flags := at-v>>flagBits, int64(0)
		if age > limit {
			flags |= flagSlow
		}
		if age > severeFactor*limit {
			flags |= flagSevere
		}
		// A failed swap means that the attempt has just ended and was counted.
		if v|flags == v || !t.pending[i].CompareAndSwap(v, v|flags) {
			continue
		}
		if flags&^v&flagSlow != 0 {
			t.slow.Add(1)
		}
		if flags&^v&flagSevere != 0 {
			t.severe.Add(1)
		}
	}
}

// RecordLoad records the load that the target reported in a response: the requests
// in flight at the target and its slots. A report without slots is ignored.
func (t *Target) RecordLoad(now time.Time, inflight, slots int) {
	if slots <= 0 {
		return
	}
	ms := uint64(uint32(now.Sub(t.epoch).Milliseconds()))
	t.load.Store(uint64(max(0, min(inflight, math.MaxUint16)))<<48 | uint64(min(slots, math.MaxUint16))<<32 | ms)
}

// reportedLoad returns the slots in use and all slots by the last report, or zeros
// if that is older than recentWindow.
func (t *Target) reportedLoad(now time.Time) (used, slots float64) {
	report := t.load.Load()
	age := uint32(now.Sub(t.epoch).Milliseconds()) - uint32(report)
	if report == 0 || int32(age) > int32(recentWindow.Milliseconds()) {
		return 0, 0
	}
	slots = float64(report >> 32 & math.MaxUint16)
	return min(float64(report>>48), slots), slots
}

// Pending returns the number of attempts in flight.
func (t *Target) Pending() int { return int(t.inFlight.Load()) }

// Percentile returns the 90th percentile of the latencies of the peers, zero while
// it is unknown.
func (t *Target) Percentile() time.Duration { return time.Duration(t.latencyBound.Load()) }

// Weight returns the local weight between 0.05 and 1 after the last Tick. Only
// the control goroutine calls it.
func (t *Target) Weight() float64 { return t.state.weight }

// Score returns the local cumulative sum after the last Tick. Only the control
// goroutine calls it.
func (t *Target) Score() float64 { return t.state.sum }
