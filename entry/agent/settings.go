package agent

import (
	"context"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/limit"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/mesh"
	"github.com/galenalock/galenalock/core/quota"
	"github.com/galenalock/galenalock/core/reach"
	"github.com/galenalock/galenalock/core/wire"
)

// Settings are the settings of an agent.
type Settings struct {
	Fleet        string
	Instance     string
	Region       string
	DataCentre   string
	Peer         netip.AddrPort   // address that other instances dial
	Control      []netip.AddrPort // control replicas to stay linked to
	OverlaySeeds []netip.AddrPort // peer addresses of other instances
	DataDir      string           // directory for a copy of the configuration; empty: none
	SlowStart    time.Duration    // duration of the slow start of a target
	StartupWait  time.Duration    // time after the start in which requests wait for the configuration
	ControlSeeds []netip.AddrPort // peer addresses of a few control replicas; if set, targets come from control and there is no overlay
	ControlLinks int              // number of links to control replicas, with ControlSeeds
	Quarantine   time.Duration    // of a request that crashed targets, see package poison
	Revoke       time.Duration    // time after which a withdrawn key must not let a request run; 0: no bound
	Retry        RetryBudget
	MinInflight  int            // concurrent requests of a service that are always admitted
	Near         bool           // targets are chosen by the measured distance, the volume of requests and open connections
	Pace         bool           // less urgent requests give way while targets queue requests
	Start        time.Time      // start of the process, identifies its incarnation
	Path         *reach.Tracker // state of the path to the targets
}

func (s *Settings) hello() wire.Hello {
	return wire.Hello{
		Fleet: s.Fleet, Instance: s.Instance, Role: wire.RoleEntry,
		Region: s.Region, DataCentre: s.DataCentre, PeerAddress: s.Peer, Start: s.Start,
	}
}

// RetryBudget limits the retries of a service over the whole fleet. With a window
// of 0 the defaults of package retry apply.
type RetryBudget struct {
	Window time.Duration
	Share  float64 // retries per request
	Slack  float64 // additional retries in a window, of all entries together
}

// Hooks connect the agent to the process that runs it.
type Hooks struct {
	OpenMesh         func(opts ...mesh.Option) *mesh.Mesh // creates the mesh with the TLS configuration and counters of the process
	SetDrained       func(on bool)                        // called when an operator starts or ends a drain of the instance
	CountRetry       func(reason, decision string)        // counts a decision of a retry budget
	CountCrossRegion func(sent, received int64)           // counts bytes exchanged with targets in other regions
	CountRoute       func(r Route)                        // counts a complete response; may be nil
	CountLimit       func(event quota.Event)              // counts a change of the limit of a target
	CountCrash       func()                               // counts a request during which its target crashed
	CountPause       func(event string)                   // counts targets that pause or leave
	CountAdmission   func(event limit.Event)              // counts a request that is held or refused because the targets queue requests; may be nil
	CountToken       func(result string)                  // counts a request of a workspace with a limit
	CountRelay       func(result string)                  // counts a request that was passed to another entry
	CloseIdle        func()                               // closes the idle connections to targets
	CountPath        func(state reach.State)              // counts a check of the path to the targets
	Inflight         func() int                           // returns the number of requests in flight
	// HasIdle reports whether there is an idle connection to a target that a request may
	// use. It may be nil.
	HasIdle func(target netip.AddrPort, nonRepeatable bool) bool
	// Connect opens a connection to a target and closes it. The default is a TCP
	// connection.
	Connect func(ctx context.Context, target netip.AddrPort) error
}

// conns are the open links to control replicas, the preferred one first.
type conns []*link.Conn

// hasRegistry reports whether the entry receives its targets and its configuration from
// control only.
func (s *Settings) hasRegistry() bool { return len(s.ControlSeeds) > 0 }

// controlPing returns the ping interval to state on links to control. An entry without a
// registry hears of changes from its neighbours as well and states none.
func (s *Settings) controlPing() time.Duration {
	if s.hasRegistry() {
		return link.ControlPing
	}
	return 0
}
