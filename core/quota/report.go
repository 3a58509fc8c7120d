package quota

import (
	"math"
	"strconv"
	"strings"
)

// Report is what a response says about the limit of its target. The zero value
// means that the target names no limit.
type Report struct {
	Limited bool
	Rate    float64 // requests a second that the target accepts from the whole fleet
}

// closeFactor is the ratio up to which two rates are close.
const closeFactor = 1.1

// IsClose reports whether the reports differ so little that other entries need not
// learn of the change before it is renewed.
func (r Report) IsClose(o Report) bool {
	return r.Limited == o.Limited && r.Rate <= o.Rate*closeFactor && o.Rate <= r.Rate*closeFactor
}

// ParseRate parses a rate in requests a second. It reports false unless the value
// is a decimal number of at least zero.
func ParseRate(value string) (float64, bool) {
	rate, ok := parseDecimal(value)
	if !ok || rate < 0 {
		return 0, false
	}
	return rate, true
}

// parseDecimal parses a finite number in decimal notation.
func parseDecimal(value string) (float64, bool) {
	value = strings.TrimSpace(value)
	if strings.ContainsAny(value, "xXpP_") { // ParseFloat accepts hexadecimal numbers and underscores
		return 0, false
	}
	number, err := strconv.ParseFloat(value, 64)
	return number, err == nil && !math.IsNaN(number) && !math.IsInf(number, 0)
}
