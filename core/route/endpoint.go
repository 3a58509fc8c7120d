package route

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/galenalock/galenalock/core/quota"
	"github.com/galenalock/galenalock/core/susp"
)

const (
	// reportLifetime is the age at which a load report no longer has any effect.
	reportLifetime = time.Second
	// latencyShift sets the weight of one latency sample, 1/2^4.
	latencyShift = 4
	// maxSampleRatio bounds one sample in multiples of the average. Otherwise a
	// single stalled request would keep traffic off a target for dozens of picks.
	maxSampleRatio = 4
	// maxAssumedUse bounds the load, as a share of the slots, that is assumed for
	// a target without a recent report. A higher assumption would keep requests,
	// and with them new reports, away from the target.
	maxAssumedUse = 0.5
	// reportShift sets the weight of one load report in the long-term average,
	// 1/2^3.
	reportShift = 3
)

// Endpoint holds the state of one target that the traffic goroutines share. All
// methods are safe for concurrent use.
type Endpoint struct {
	address      netip.AddrPort
	start        time.Time
	region       string
	crossRegion  bool
	tag          any
	epoch        time.Time
	countTraffic func(region string, sent, received int64)

	suspicion      *susp.Target  // nil: the target is never avoided
	quota          *quota.Target // nil: the target is never limited
	serviceLatency *atomic.Int64 // average latency of all endpoints of the router
	place          *place        // its data centre

	freshUntil time.Time // zero for targets that were known when the entry started
	used       atomic.Bool

	connectionLimit atomic.Int64
	inflight        atomic.Int64
	latency         atomic.Int64  // moving average in nanoseconds, 0 if unknown
	lastReport      atomic.Uint64 // requests of others<<48 | limit<<32 | milliseconds since epoch
	averageOthers   atomic.Uint64 // float64 bits: long-term average of the requests of other instances
}

// Address returns the address of the target.
func (e *Endpoint) Address() netip.AddrPort { return e.address }

// Start returns the start time of the target, which identifies its incarnation.
func (e *Endpoint) Start() time.Time { return e.start }

// Tag returns the Tag of the target from which the endpoint was created.
func (e *Endpoint) Tag() any { return e.tag }

// Region returns the region of the target.
func (e *Endpoint) Region() string { return e.region }

// Limit returns the number of connections that this instance may hold to the
// target. It is chosen so that all instances together stay within the number
// that the target accepts.
func (e *Endpoint) Limit() int { return int(e.connectionLimit.Load()) }

// Inflight returns the number of attempts of this instance that have not ended.
func (e *Endpoint) Inflight() int { return int(e.inflight.Load()) }

// Begin records the start of an attempt.
func (e *Endpoint) Begin() {
	e.inflight.Add(1)
	e.used.Store(true)
}

// End records the end of an attempt. A latency of zero or less is ignored; pass
// zero for attempts that failed or were cancelled.
func (e *Endpoint) End(latency time.Duration) {
	e.inflight.Add(-1)
	if latency <= 0 {
		return
	}
	updateAverage(e.serviceLatency, latency)
	// A single sample is a poor estimate, so the endpoint starts at the average
	// of all endpoints.
	e.latency.CompareAndSwap(0, e.serviceLatency.Load())
	updateAverage(&e.latency, latency)
}

// updateAverage adds a sample to a moving average. A concurrent update may be
// lost, which costs one sample.
func updateAverage(avg *atomic.Int64, latency time.Duration) {
	old := avg.Load()
	if old == 0 {
		avg.Store(int64(latency))
		return
	}
	sample := min(int64(latency), old*maxSampleRatio)
	avg.Store(max(1, old+(sample-old)>>latencyShift))
}

// RecordLoad records the load that the target reported in a response to this
// instance: its requests in flight and its current limit.
func (e *Endpoint) RecordLoad(now time.Time, inflight, limit int) {
	others := max(0, inflight-e.Inflight())
	others, limit = min(others, math.MaxUint16), min(max(limit, 0), math.MaxUint16)
	reportMs := uint32(now.Sub(e.epoch).Milliseconds())
	e.lastReport.Store(uint64(others)<<48 | uint64(limit)<<32 | uint64(reportMs))
	if limit > 0 {
		e.place.recordUse(reportMs, float64(others)/float64(limit))
	}
	averageOthers := math.Float64frombits(e.averageOthers.Load())
	averageOthers += (float64(others) - averageOthers) / (1 << reportShift)
	e.averageOthers.Store(math.Float64bits(averageOthers))
}

// RecordBytes reports the bytes of an attempt to the hook of WithTrafficCounter
// if the target is in another region.
func (e *Endpoint) RecordBytes(sent, received int64) {
	if e.crossRegion && e.countTraffic != nil {
		e.countTraffic(e.region, sent, received)
	}
}

// estimateLoad estimates the requests in flight at the target and returns its
// limit. As the last report ages, the requests of other instances move from the
// reported value to the long-term average. Those of this instance are known
// exactly.
func (e *Endpoint) estimateLoad(nowMs uint32, slots float64) (float64, float64) {
	ownRequests := float64(max(0, e.inflight.Load()))
	report := e.lastReport.Load()
	if report == 0 {
		return ownRequests, slots
	}
	others := float64(report >> 48)
	if limit := report >> 32 & math.MaxUint16; limit > 0 {
		slots = float64(limit)
	}
	// The difference is negative for a report that arrived after the time of the choice.
	age := float64(int32(nowMs-uint32(report))) / float64(reportLifetime/time.Millisecond)
	if age > 0 {
		age = min(age, 1)
		averageOthers := min(math.Float64frombits(e.averageOthers.Load()), slots*maxAssumedUse)
		others += (averageOthers - others) * age
	}
	return ownRequests + others, slots
}
