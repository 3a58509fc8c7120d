package route

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/quota"
	"github.com/galenalock/galenalock/core/susp"
)

// Target describes one target to the Router.
type Target struct {
	Address      netip.AddrPort
	Start        time.Time // identifies the incarnation
	Region       string
	DataCentre   string
	Slots        int       // requests that it runs concurrently
	Connections  int       // connections that it accepts
	ReadySince   time.Time // when it began to take traffic, the beginning of slow start
	Weight       float64   // from core/health, 1 for a healthy target
	OutOfService bool      // taken out of service by a grant
	InProbation  bool      // out of service, but takes a few repeatable requests
	SuspectSince time.Time // when control began to watch it as a suspect, zero if it does not
	Drained      bool      // draining, leaving, gone or drained by an operator
	Tag          any       // opaque value of the caller, fixed for the incarnation

	Suspicion *susp.Target  // of this incarnation; nil: the target is never avoided
	Quota     *quota.Target // of this incarnation; nil: the target is never limited
}

// Location identifies the instance that chooses and its place.
type Location struct {
	Instance   string
	Region     string
	DataCentre string
}

// Peer is an instance that chooses among the same targets.
type Peer struct {
	Instance string
	Region   string
}
