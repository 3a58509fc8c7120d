package spec

import (
	"math"
	"strconv"
	"strings"
)

// Floor is the minimum capacity that must stay in service: a share of the capacity
// that the targets announce, or a number of slots.
type Floor struct {
	Share float64 // 0 to 1
	Slots int
}

// ForCapacity returns the floor in slots for an announced capacity in slots.
func (f Floor) ForCapacity(capacity int) int {
	if f.Slots > 0 {
		return min(f.Slots, capacity)
	}
	return int(math.Ceil(f.Share*float64(capacity) - 1e-9))
}

// String returns the floor as written in a service text.
func (f Floor) String() string {
	if f.Slots > 0 {
		return strconv.Itoa(f.Slots)
	}
	return strconv.FormatFloat(f.Share*100, 'f', -1, 64) + "%"
}

func parseFloor(s string) (Floor, string) {
	if digits, ok := strings.CutSuffix(s, "%"); ok {
		percent, err := strconv.ParseFloat(digits, 64)
		if err != nil || math.IsNaN(percent) {
			return Floor{}, "is no percentage"
		}
		if percent < 0 || percent > 100 {
			return Floor{}, "lies outside 0% to 100%"
		}
		return Floor{Share: percent / 100}, ""
	}
	slots, err := strconv.Atoi(s)
	if err != nil {
		return Floor{}, `is neither a share such as "80%" nor a number of slots`
	}
	if slots < 0 {
		return Floor{}, "is negative"
	}
	return Floor{Slots: slots}, ""
}
