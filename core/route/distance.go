package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// bytesOtherDataCentre is the volume whose transfer to another data centre of the
	// region costs as much as one typical latency, bytesOtherRegion that of a transfer to
	// another region, which is the most expensive one. A request of 5 kB then costs about
	// as much as waiting for two others, one without a body little.
	bytesOtherDataCentre = 2000
	bytesOtherRegion     = 350
	// headBytes is the volume of the heads of a request and its response.
	headBytes = 500
	// connectShift sets the weight of one connect time in the moving average, 1/2^3,
	// volumeShift that of one volume, 1/2^4.
	connectShift = 3
	volumeShift  = 4
	// distanceTemperature replaces temperature for the choice between tiers. It is lower,
	// because a needless transfer is paid for and the least costs of tiers differ less by
	// chance than those of single endpoints.
	distanceTemperature = 0.1
)

// surcharge returns what is added to the costs of a tier whose least cost lies this
// much above that of the best tier, so that the tier is chosen as seldom as
// distanceTemperature demands. Without a known volume the distance has a constant cost,
// which allows for it.
func (q *costQuery) surcharge(gap float64) float64 {
	if q.req.Bytes == 0 || math.IsInf(gap, 1) {
		return 0
	}
	return gap * (temperature/distanceTemperature - 1)
}

// Volume is a moving average of the bytes that the requests of one kind carry up and
// down. The zero value is an unknown volume. It is safe for concurrent use.
type Volume struct {
	mean atomic.Int64 // with the heads, 0 if unknown
}

// Record adds the bodies of a request and its response. A concurrent update may be
// lost, which costs one sample.
func (v *Volume) Record(sent, received int64) {
	sample, old := headBytes+max(0, sent)+max(0, received), v.mean.Load()
	if old == 0 {
		v.mean.Store(sample)
		return
	}
	v.mean.Store(max(1, old+(sample-old)>>volumeShift))
}

// Mean returns the bytes of one request and its response, 0 if they are unknown.
func (v *Volume) Mean() float64 { return float64(v.mean.Load()) }

// RecordConnect records the time that opening a connection took.
func (e *Endpoint) RecordConnect(d time.Duration) {
	if d <= 0 {
		return
	}
	if old := e.place.connectTime.Load(); old != 0 {
		d = time.Duration(max(1, old+(min(int64(d), old*maxSampleRatio)-old)>>connectShift))
	}
	e.place.connectTime.Store(int64(d))
}

// roundTrip returns the connect time of the endpoint's data centre, or the one that is
// assumed for its tier.
func (e *Endpoint) roundTrip(tierIndex int) float64 {
	if known := e.place.connectTime.Load(); known > 0 {
		return float64(known)
	}
	return float64(assumedLatencies[tierIndex])
}

// distanceCost returns the cost of the endpoint's distance in multiples of the typical
// latency: the additional time and the volume that is transferred. The cost of the volume
// is bounded, so that a large request leaves full targets rather than be refused. As long
// as the latency or the volume is unknown, the cost is a constant.
func (e *Endpoint) distanceCost(typicalLatency, nearRoundTrip float64, tierIndex int, req *Request) float64 {
	if tierIndex == sameDataCentre {
		return 0
	}
	constant, unit := costOtherDataCentre, float64(bytesOtherDataCentre)
	if tierIndex == otherRegion {
		constant, unit = costOtherRegion, bytesOtherRegion
	}
	switch {
	case req.Bytes > 0 && typicalLatency > 0:
		return max(0, e.roundTrip(tierIndex)-nearRoundTrip)/typicalLatency + min(req.Bytes/unit, constant*largeBodyFactor)
	case req.LargeBody:
		return constant * largeBodyFactor
	}
	return constant
}
