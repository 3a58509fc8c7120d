package health

import "math"

// Policy determines how much evidence an ejection requires.
type Policy string

// The policies of a service.
const (
	Fast    Policy = "fast"    // favours detection time
	Careful Policy = "careful" // favours retained capacity
)

const (
	// healthyRate is the share of a healthy target's requests that exceed the
	// 90th percentile of its peers.
	healthyRate = 0.1
	// unhealthyRate is the share from which a target counts as unhealthy.
	unhealthyRate = 0.6
	// commonRate bounds the peers' exceedance rate in the test. A target with a
	// higher recent rate counts as unhealthy in the self-check.
	commonRate = 0.5

	fastThreshold    = 18.0
	carefulThreshold = 28.0
)

// Threshold returns the cumulative sum of pooled evidence from which a target may
// be ejected.
func (p Policy) Threshold() float64 {
	if p == Fast {
		return fastThreshold
	}
	return carefulThreshold
}

// LogRatios returns the log-likelihood ratios of one bad and one good observation
// when the peers exceed their own percentile at the given rate.
func LogRatios(peers float64) (bad, good float64) {
	p0 := min(max(peers, healthyRate), commonRate)
	p1 := min(max(unhealthyRate, p0+(unhealthyRate-healthyRate)), 0.95)
	return math.Log(p1 / p0), math.Log((1 - p1) / (1 - p0))
}
