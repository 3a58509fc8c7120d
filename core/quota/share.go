package quota

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

const (
	// burstSeconds and minBurst set the burst of the fleet. Larger ones spread the
	// limit over more entries, smaller ones follow it more closely.
	burstSeconds = 1.5
	minBurst     = 4
	// maxBurst bounds the burst for absurd rates.
	maxBurst = 1 << 20
	// remoteWeight is the weight of the demand in other regions. It lets them use
	// the target if its own region has little demand.
	remoteWeight = 0.05
)

// Burst returns the number of requests that all entries together may send at once
// to a target that accepts the given rate in requests a second.
func Burst(rate float64) int {
	return int(math.Ceil(min(burstSeconds*rate, maxBurst))) + minBurst
}

// Place identifies a target for the distribution of its limit.
type Place struct {
	Address netip.AddrPort
	Region  string
}

// Share returns how many of burst tokens of a target the entry self gets. The sum
// over all entries in demands, which are sorted by entry, is burst if they have any
// demand at all.
//
// The demands are laid end to end and cut at burst evenly spaced points, whose
// offset depends on the target. An entry gets a token for each point that falls on
// its demand. So the rounding favours different entries at different targets.
func Share(demands []Demand, self uint64, target Place, burst int) int {
	total := 0.0
	for i := range demands {
		total += demands[i].weight(target.Region)
	}
	if total == 0 || math.IsInf(total, 0) || math.IsNaN(total) {
		return 0
	}
	offset, before := place01(target.Address), 0.0
	for i := range demands {
		width := demands[i].weight(target.Region) / total * float64(burst)
		if demands[i].Entry == self {
			return int(math.Floor(before+width+offset) - math.Floor(before+offset))
		}
		before += width
	}
	return 0
}

// place01 maps an address to the interval [0, 1).
func place01(address netip.AddrPort) float64 {
	b := address.Addr().As16()
	return float64(xxhash.Sum64(binary.BigEndian.AppendUint16(b[:], address.Port()))>>11) / (1 << 53)
}
