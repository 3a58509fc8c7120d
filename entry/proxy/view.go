package proxy

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/spec"
)

// View is an immutable snapshot of what the control goroutine knows.
type View struct {
	Text     *spec.Text
	Revision uint64
	Ready    bool // the revision in force is confirmed
	Draining bool // keep-alive responses ask callers to reconnect elsewhere
}

// usable reports whether requests can be matched.
func (v *View) usable() bool { return v != nil && v.Ready && v.Text != nil }

// Target is a target picked for one attempt.
type Target struct {
	Name        string // identity that the target checks, may be empty
	Address     netip.AddrPort
	Region      string
	DataCentre  string
	Slots       int
	Connections int
	Incarnation time.Time
	Handle      any // the caller's own reference, returned in Begin and End
}

// String returns the name of the target, or its address without one.
func (t Target) String() string {
	switch {
	case t.Name != "":
		return t.Name
	case t.Address.IsValid():
		return t.Address.String()
	}
	return ""
}

// Request is what hooks learn about a request.
type Request struct {
	ID        string
	View      *View
	Service   *spec.Service
	Kind      *spec.Kind
	Workspace string
	Start     time.Time
	Deadline  time.Time
	Admission Admission
}

// Admission is the right to run a request.
type Admission struct {
	Handle  any                 // the caller's own reference, returned in the requests of attempts
	Release func(answered bool) // gives the right back; may be nil
}

func (a Admission) release(answered bool) {
	if a.Release != nil {
		a.Release(answered)
	}
}

// Attempt is one dispatch of a request to a target.
type Attempt struct {
	Request Request
	Target  Target
	Number  int // 0 for the first attempt
	Start   time.Time
}

// Finish is how a request ended.
type Finish struct {
	Request  Request // without service and kind when no route matched
	Route    string  // name of the route, may be empty
	Attempts int
	Target   string // name or address of the last target
	Status   int    // of the response, 0: the caller got none
	Refusal  *refuse.Error
	Gone     bool // the caller left
	Duration time.Duration
}

// Class says how an attempt ended.
type Class string

// The classes of outcomes.
const (
	Answered Class = "answered" // complete response with a status below 500
	Faulty   Class = "faulty"   // complete response with a status of 500 or above
	Refused  Class = "refused"  // the target declared that it did not run the request
	// Misdirected means that another target answered at the address.
	Misdirected Class = "misdirected"
	Dial        Class = "dial"      // no connection could be opened
	Failed      Class = "failed"    // the connection failed, or the response was truncated or malformed
	Overdue     Class = "overdue"   // the deadline passed first
	Silenced    Class = "silenced"  // an old connection did not respond while a new one to the same target did
	Cancelled   Class = "cancelled" // given up for reasons on this side: the caller left, or another attempt won
)

// Outcome is how an attempt ended.
type Outcome struct {
	Class  Class
	Status int // 0 without a response
	Load   Load
	Loaded bool          // Load was reported
	Head   time.Duration // from the start to the response head, 0 without a response
	End    time.Time
	Reused bool  // the connection had carried a request before
	Bytes  int64 // of the response body
	Sent   int64 // of the request body
	Err    error // why the attempt failed
}
