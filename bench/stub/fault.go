package stub

import (
	"fmt"
	"slices"
	"time"
)

// Cut names the point at which the target ends a connection.
type Cut string

// The points.
const (
	CutNone      Cut = ""
	CutBefore    Cut = "before"    // closed before the first byte of the headers
	CutHeader    Cut = "header"    // closed in the middle of the headers
	CutBody      Cut = "body"      // reset in the middle of the body
	CutChunk     Cut = "chunk"     // closed in order before the last chunk of a chunked body
	CutTruncated Cut = "truncated" // closed in order with fewer bytes than Content-Length says
)

// Fault describes how the target misbehaves. The zero value is a healthy target.
type Fault struct {
	Factor float64  `json:"factor,omitempty" toml:"factor"` // multiplies the latency; 0 and 1 change nothing
	Stall  Duration `json:"stall,omitempty" toml:"stall"`   // added to the latency while the slot is held
	Errors float64  `json:"errors,omitempty" toml:"errors"` // share of requests answered 500 after they ran
	Cut    Cut      `json:"cut,omitempty" toml:"cut"`       // point at which connections end
	Share  float64  `json:"share,omitempty" toml:"share"`   // share of requests that Cut hits, 0: all
	Silent bool     `json:"silent,omitempty" toml:"silent"` // connections open at this moment never answer again
	Idle   bool     `json:"idle,omitempty" toml:"idle"`     // the reported load is always zero
	Period Duration `json:"period,omitempty" toml:"period"` // the fault is on in the first half of each period, 0: always
}

// FaultError is a fault that makes no sense.
type FaultError struct {
	Key    string
	Reason string
}

// Error names the key and the reason.
func (e *FaultError) Error() string { return fmt.Sprintf("fault: %s: %s", e.Key, e.Reason) }

func (f Fault) check() error {
	cuts := []Cut{CutNone, CutBefore, CutHeader, CutBody, CutChunk, CutTruncated}
	switch {
	case f.Factor < 0:
		return &FaultError{Key: "factor", Reason: "is negative"}
	case f.Stall < 0:
		return &FaultError{Key: "stall", Reason: "is negative"}
	case f.Errors < 0 || f.Errors > 1:
		return &FaultError{Key: "errors", Reason: "is not between 0 and 1"}
	case f.Share < 0 || f.Share > 1:
		return &FaultError{Key: "share", Reason: "is not between 0 and 1"}
	case f.Period < 0:
		return &FaultError{Key: "period", Reason: "is negative"}
	case !slices.Contains(cuts, f.Cut):
		return &FaultError{Key: "cut", Reason: fmt.Sprintf("%q is not one of %q", f.Cut, cuts[1:])}
	}
	return nil
}

// at returns the fault in force after the given time since it was set.
func (f Fault) at(elapsed time.Duration) Fault {
	if period := time.Duration(f.Period); period > 0 && elapsed%period >= period/2 {
		return Fault{}
	}
	return f
}

func (f Fault) latency(base time.Duration) time.Duration {
	if f.Factor > 0 {
		base = time.Duration(float64(base) * f.Factor)
	}
	return base + time.Duration(f.Stall)
}
