package proxy

import (
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// Offsets in a W3C traceparent: version, 32 digits of the trace identifier, 16 of
// the parent identifier, flags.
const (
	traceLength = 55
	traceStart  = 3
	traceEnd    = 35
	parentEnd   = 52
)

// traceparent returns the trace context for targets and the identifier of the
// request. A valid context is forwarded unchanged, since an entry records no
// spans; otherwise a new one that is not sampled is generated.
func traceparent(header string, random func() uint64) (trace, id string) {
	if validTrace(header) {
		return header, header[traceStart:traceEnd] + "-" + header[traceEnd+1:parentEnd]
	}
	var b [24]byte
	binary.BigEndian.PutUint64(b[0:], random())
	binary.BigEndian.PutUint64(b[8:], random())
	binary.BigEndian.PutUint64(b[16:], random()|1) // an identifier of zero is invalid
	b[0] |= 1
	digits := hex.EncodeToString(b[:])
	return "00-" + digits[:32] + "-" + digits[32:] + "-00", digits[:32] + "-" + digits[32:]
}

func validTrace(s string) bool {
	if len(s) < traceLength || s[2] != '-' || s[traceEnd] != '-' || s[parentEnd] != '-' || s[:2] == "ff" {
		return false
	}
	if len(s) > traceLength && (s[:2] == "00" || s[traceLength] != '-') {
		return false
	}
	for i := range traceLength {
		if s[i] != '-' && !strings.ContainsRune("0123456789abcdef", rune(s[i])) {
			return false
		}
	}
	return strings.Trim(s[traceStart:traceEnd], "0") != "" && strings.Trim(s[traceEnd+1:parentEnd], "0") != ""
}
