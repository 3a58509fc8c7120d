package agent

import (
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/mesh"
	"github.com/galenalock/galenalock/core/wire"
)

// Settings describe the instance.
type Settings struct {
	Fleet      string
	Instance   string
	Region     string
	DataCentre string
	Peer       netip.AddrPort   // address that other instances dial
	Control    []netip.AddrPort // control replicas to hold links to
	Seeds      []netip.AddrPort // peer addresses of other instances
	Data       string           // folder for a copy of the configuration, empty: none
	Ramp       time.Duration    // slow start of a target
	Wait       time.Duration    // from the start, for which requests wait for the configuration
	Attach     []netip.AddrPort // seeds of the control group; with them, targets come from control and there is no overlay
	Links      int              // links to control replicas, with Attach
	Retry      Retry
	Inflight   int       // requests of a service that the gate always admits
	Start      time.Time // incarnation
}

func (s *Settings) hello() wire.Hello {
	return wire.Hello{
		Fleet: s.Fleet, Instance: s.Instance, Role: wire.RoleEntry,
		Region: s.Region, DataCentre: s.DataCentre, Peer: s.Peer, Start: s.Start,
	}
}

// Retry bounds the further attempts of a service over the whole fleet. A window
// of 0 leaves the budget of package retry as it is.
type Retry struct {
	Window time.Duration
	Share  float64 // of the requests
	Slack  float64 // attempts in a window, of all entries together
}

// Hooks are what the agent needs of the process around it.
type Hooks struct {
	Mesh     func(opts ...mesh.Option) *mesh.Mesh // opens the mesh with the process's TLS and counters
	Drain    func(on bool)                        // an operator drains the instance, or ends that
	Retried  func(reason, verdict string)         // a further attempt was wanted
	Crossing func(sent, received int64)           // bytes exchanged with targets in other regions
	Inflight func() int                           // requests in flight
}

// conns is the set of links kept to control replicas.
type conns []*link.Conn
