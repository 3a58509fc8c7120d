package route

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/galenalock/galenalock/core/susp"
)

const (
	// fresh is the age at which a reported load has lost its whole influence.
	fresh = time.Second
	// latencyShift is the weight of one latency sample, 1/2^4.
	latencyShift = 4
	// latencyCap bounds one sample in multiples of the average, so that a
	// single stalled request does not push a target away for dozens of picks.
	latencyCap = 4
	// assumed bounds the use, as a share of the slots, that is assumed of a
	// target without a fresh report; a higher one would keep requests, and so
	// fresh reports, away from it.
	assumed = 0.5
	// reportShift is the weight of one load report in the long average, 1/2^3.
	reportShift = 3
)

// Endpoint is a target as the traffic goroutines use it. All methods are safe
// for concurrent use.
type Endpoint struct {
	address  netip.AddrPort
	start    time.Time
	region   string
	crossing bool
	tag      any
	epoch    time.Time
	meter    func(region string, sent, received int64)

	suspicion *susp.Target  // nil: never suspect
	service   *atomic.Int64 // average latency of all endpoints of the router

	limit    atomic.Int64
	inflight atomic.Int64
	latency  atomic.Int64  // average in nanoseconds, 0: none yet
	report   atomic.Uint64 // others<<48 | limit<<32 | milliseconds since epoch
	usual    atomic.Uint64 // float64 bits: long average of the others' requests
}

// Address returns the address of the target.
func (e *Endpoint) Address() netip.AddrPort { return e.address }

// Start returns the incarnation of the target.
func (e *Endpoint) Start() time.Time { return e.start }

// Tag returns the reference that the target had when the endpoint was made.
func (e *Endpoint) Tag() any { return e.tag }

// Region returns the region of the target.
func (e *Endpoint) Region() string { return e.region }

// Limit returns how many connections this instance may hold to the target, so
// that all instances together stay within what the target accepts.
func (e *Endpoint) Limit() int { return int(e.limit.Load()) }

// Inflight returns the attempts of this instance that have not ended.
func (e *Endpoint) Inflight() int { return int(e.inflight.Load()) }

// Begin counts an attempt.
func (e *Endpoint) Begin() { e.inflight.Add(1) }

// End ends an attempt. A latency of zero or less is not counted; pass zero for
// attempts that failed or were cancelled.
func (e *Endpoint) End(latency time.Duration) {
	e.inflight.Add(-1)
	if latency <= 0 {
		return
	}
	average(e.service, latency)
	// One sample says little of an endpoint; it begins at the average of all.
	e.latency.CompareAndSwap(0, e.service.Load())
	average(&e.latency, latency)
}

// average takes a sample into a running average. A lost update under contention
// costs one sample.
func average(into *atomic.Int64, latency time.Duration) {
	old := into.Load()
	if old == 0 {
		into.Store(int64(latency))
		return
	}
	sample := min(int64(latency), old*latencyCap)
	into.Store(max(1, old+(sample-old)>>latencyShift))
}

// Load records the load that the target reported in a response to this
// instance: requests in flight there and its current limit.
func (e *Endpoint) Load(now time.Time, inflight, limit int) {
	others := max(0, inflight-e.Inflight())
	others, limit = min(others, math.MaxUint16), min(max(limit, 0), math.MaxUint16)
	ms := uint32(now.Sub(e.epoch).Milliseconds())
	e.report.Store(uint64(others)<<48 | uint64(limit)<<32 | uint64(ms))
	usual := math.Float64frombits(e.usual.Load())
	usual += (float64(others) - usual) / (1 << reportShift)
	e.usual.Store(math.Float64bits(usual))
}

// Bytes counts the bytes of an attempt. Traffic with another region goes to
// the metering hook.
func (e *Endpoint) Bytes(sent, received int64) {
	if e.crossing && e.meter != nil {
		e.meter(e.region, sent, received)
	}
}

// load estimates the requests in flight at the target and its limit. The last
// report fades into the long average with its age, and the requests that this
// instance has sent since are known exactly.
func (e *Endpoint) load(nowMs uint32, slots float64) (float64, float64) {
	own := float64(max(0, e.inflight.Load()))
	report := e.report.Load()
	if report == 0 {
		return own, slots
	}
	others := float64(report >> 48)
	if limit := report >> 32 & math.MaxUint16; limit > 0 {
		slots = float64(limit)
	}
	age := float64(nowMs-uint32(report)) / float64(fresh/time.Millisecond)
	if age > 0 {
		age = min(age, 1)
		usual := min(math.Float64frombits(e.usual.Load()), slots*assumed)
		others += (usual - others) * age
	}
	return own + others, slots
}
