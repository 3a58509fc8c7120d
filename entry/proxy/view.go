package proxy

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/poison"
	"github.com/galenalock/galenalock/core/quota"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/spec"
)

// View is an immutable snapshot of the configuration, published by the control
// goroutine.
type View struct {
	Text     *spec.Text
	Revision uint64
	Ready    bool // the revision in force is confirmed
	Draining bool // responses carry Connection: close, so that callers reconnect elsewhere
}

// usable reports whether the view can match requests.
func (v *View) usable() bool { return v != nil && v.Ready && v.Text != nil }

// Target describes the target selected for one attempt.
type Target struct {
	Name        string // identity that the target verifies, may be empty
	Address     netip.AddrPort
	Region      string
	DataCentre  string
	Slots       int
	Connections int
	Incarnation time.Time
	Relay       bool // another entry, to which the request is passed on
	Handle      any  // opaque to the proxy, passed back to the Begin and End hooks
}

// String returns the name of the target, or its address if it has no name.
func (t Target) String() string {
	switch {
	case t.Name != "":
		return t.Name
	case t.Address.IsValid():
		return t.Address.String()
	}
	return ""
}

// Request describes a request to the hooks.
type Request struct {
	ID        string
	View      *View
	Service   *spec.Service
	Kind      *spec.Kind
	Workspace string
	Start     time.Time
	Deadline  time.Time
	Admission Admission
	Print     func() poison.Print // identifies the request for targets; nil before the body is known

	Path        Path   // the way that the request may take
	RelayedFrom string // entry that passed the request on, empty if the caller sent it
}

// Admission is the permission to run a request.
type Admission struct {
	Handle any // opaque to the proxy, passed back in the Request of each attempt
	Token  any // like Handle
	// Send is called before the first byte of each attempt; may be nil. An error stops
	// the attempt, must be a *refuse.Error and is allowed only while no attempt may have
	// run the request.
	Send    func() error
	Release func(answered bool) // ends the admission; may be nil
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
	// Streamed is set if the body is forwarded while it arrives. Until it has, the target
	// waits for the caller.
	Streamed bool
}

// Summary describes how a request ended.
type Summary struct {
	Request    Request // without service and kind when no route matched
	Route      string  // name of the route, may be empty
	Attempts   int
	Target     string // name or address of the last target
	Status     int    // of the response, 0 if the caller got none
	Refusal    *refuse.Error
	CallerGone bool // the caller left
	Duration   time.Duration
}

// Class classifies how an attempt ended.
type Class string

// Classes of outcomes.
const (
	Answered Class = "answered" // complete response with a status below 500
	Faulty   Class = "faulty"   // complete response with a status of 500 or above
	Refused  Class = "refused"  // the target declared that it did not run the request
	// Declined means that another entry refused to pass the request on to a target.
	Declined Class = "declined"
	// Misdirected means that a different target answered at the address.
	Misdirected Class = "misdirected"
	Dial        Class = "dial"      // no connection could be opened
	Failed      Class = "failed"    // the connection failed, or the response was truncated or malformed
	Overdue     Class = "overdue"   // the deadline passed before the response was complete
	Silenced    Class = "silenced"  // an old connection did not respond while a new one to the same target did
	Cancelled   Class = "cancelled" // stopped by the entry: the caller left, or another attempt won
)

// Outcome describes how an attempt ended.
type Outcome struct {
	Class    Class
	Status   int // 0 without a response
	Load     Load
	HasLoad  bool          // the response reported Load
	Limit    quota.Report  // what the response says about the limit of the target
	HasLimit bool          // there is a verified response and its Limit is well-formed
	Pause    time.Duration // for which the target wants no request from this entry
	Leaving  bool          // the target leaves
	// LeavingTarget and LeavingStart identify the target that leaves if another entry
	// sent it the request.
	LeavingTarget netip.AddrPort
	LeavingStart  time.Time
	HeaderLatency time.Duration // from the start to the response header, 0 without a response
	End           time.Time
	Reused        bool          // the connection had carried a request before
	ConnectTime   time.Duration // of a connection opened for the attempt, 0 without a response
	BytesReceived int64         // of the response body
	BytesSent     int64         // of the request body
	Stalled       bool          // the caller did not go on with the body
	Lost          bool          // the target or its host closed the connection before the response was complete
	Err           error         // why the attempt failed
}
