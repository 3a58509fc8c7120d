package stub

import (
	"fmt"
	"slices"
	"time"
)

// CutPoint names the point of an answer at which the target ends the connection.
type CutPoint string

// Points at which an answer is cut off.
const (
	CutNone      CutPoint = ""
	CutBefore    CutPoint = "before"    // closed before the first byte of the header
	CutHeader    CutPoint = "header"    // closed in the middle of the header
	CutBody      CutPoint = "body"      // reset in the middle of the body
	CutChunk     CutPoint = "chunk"     // closed without a reset before the last chunk of a chunked body
	CutTruncated CutPoint = "truncated" // closed without a reset after fewer bytes than Content-Length
)

// Fault describes the faults that a target injects. The zero value injects none.
type Fault struct {
	Factor float64  `json:"factor,omitempty" toml:"factor"` // multiplies the latency; 0 and 1 change nothing
	Stall  Duration `json:"stall,omitempty" toml:"stall"`   // added to the latency; the request occupies its slot
	Errors float64  `json:"errors,omitempty" toml:"errors"` // share of requests answered 500 after their execution
	Cut    CutPoint `json:"cut,omitempty" toml:"cut"`       // point at which answers are cut off
	Share  float64  `json:"share,omitempty" toml:"share"`   // share of requests that Cut affects, 0: all
	Silent bool     `json:"silent,omitempty" toml:"silent"` // connections open when the fault is set never answer again
	Idle   bool     `json:"idle,omitempty" toml:"idle"`     // the reported load is always zero
	Period Duration `json:"period,omitempty" toml:"period"` // the fault is active in the first half of each period, 0: always
}

// FaultError reports an invalid value in a Fault.
type FaultError struct {
	Key    string
	Reason string
}

// Error returns the key and the reason.
func (e *FaultError) Error() string { return fmt.Sprintf("fault: %s: %s", e.Key, e.Reason) }

func (f Fault) validate() error {
	cuts := []CutPoint{CutNone, CutBefore, CutHeader, CutBody, CutChunk, CutTruncated}
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

// activeAt returns the fault that is active when the given time has passed since
// it was set.
func (f Fault) activeAt(elapsed time.Duration) Fault {
	if period := time.Duration(f.Period); period > 0 && elapsed%period >= period/2 {
		return Fault{}
	}
	return f
}

// slowed returns a latency with Factor and Stall applied.
func (f Fault) slowed(base time.Duration) time.Duration {
	if f.Factor > 0 {
		base = time.Duration(float64(base) * f.Factor)
	}
	return base + time.Duration(f.Stall)
}
