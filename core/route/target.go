package route

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/susp"
)

// Target is what the control goroutine knows of one target.
type Target struct {
	Address     netip.AddrPort
	Start       time.Time // incarnation
	Region      string
	DataCentre  string
	Slots       int       // requests that it runs at once
	Connections int       // connections that it accepts
	Ready       time.Time // since when it takes traffic; slow start counts from here
	Weight      float64   // from core/health, 1 for a healthy target
	Out         bool      // a grant holds it out of service
	Probe       bool      // held out, but takes a few repeatable requests
	Watched     time.Time // since when control watches it as a suspect, zero: not
	Drained     bool      // draining, leaving, gone or drained by an operator
	Tag         any       // the caller's own reference, kept for the life of the incarnation

	Suspicion *susp.Target // of this incarnation; nil: never suspect
}

// Here is the place of the instance that chooses.
type Here struct {
	Instance   string
	Region     string
	DataCentre string
}

// Peer is an instance that chooses among the same targets.
type Peer struct {
	Instance string
	Region   string
}
