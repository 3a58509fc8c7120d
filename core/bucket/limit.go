package bucket

import (
	"math"
	"time"
)

// Parts of the permitted excess over a limit, which is 0.1 x (5 s x rate + burst) + 20
// in a window of 5 s. The package comment tells how they add up.
const (
	lifetimeRateShare  = 0.3 // s
	lifetimeBurstShare = 0.1
	lifetimeTokens     = 10
	returnRateShare    = 0.15 // s
	returnTokens       = 5
	depthRateShare     = 0.05 // s
	depthTokens        = 4

	maxLifetime = 4 * time.Second
)

// Limit is the limit of a workspace for the whole fleet.
type Limit struct {
	Rate  float64 // requests a second, above 0
	Burst float64
}

// Lifetime is the time for which a token can be used. It is counted from the time when
// the entry sent the question, so it needs no common clock.
func (l Limit) Lifetime() time.Duration {
	return seconds(lifetimeRateShare + (lifetimeBurstShare*l.Burst+lifetimeTokens)/l.Rate)
}

// returnTime is the age up to which an unused token may return to the bucket.
func (l Limit) returnTime() time.Duration {
	return seconds(returnRateShare + returnTokens/l.Rate)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxLifetime.Seconds()) * float64(time.Second))
}

// depth is the capacity of the bucket. Questions arrive in batches, so with a depth
// below what accrues between two batches a part of the rate could never be granted.
func (l Limit) depth() float64 { return max(l.Burst, 1, depthRateShare*l.Rate+depthTokens) }

// decay returns the factor by which a quantity with a time constant shrinks.
func decay(elapsed, constant time.Duration) float64 {
	return math.Exp(-max(0, elapsed).Seconds() / constant.Seconds())
}
