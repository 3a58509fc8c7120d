package daemon

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/control/admin"
	"github.com/galenalock/galenalock/control/fleet"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/quorum"
	"github.com/galenalock/galenalock/core/serve"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

// Hooks connect the overlay and the decisions about ejections to a replica. Set
// them before Run. Each may be nil.
type Hooks struct {
	fleet.Hooks
	ReceiveGossip func(c *link.Conn, body []byte) error             // receives a gossip message, called by the goroutine of the link
	OverlayOpened func(c *link.Conn)                                // is called before the first message of an overlay link
	OverlayClosed func(c *link.Conn)                                // is called when an overlay link has closed
	Targets       func(v *state.View, now time.Time) []admin.Target // returns the targets for the administration interface
	Run           func(ctx context.Context)                         // runs until its context is done
}

// Daemon is a control replica. Create it with New.
type Daemon struct {
	Hooks    Hooks
	settings Settings
	start    time.Time
	parts    *parts
	registry *registry
	dataOpen atomic.Bool // the data directory is open and Services can be used

	formationMu   sync.Mutex
	formationGate *quorum.FormationGate

	seeds atomic.Pointer[[]netip.AddrPort]
}

// New validates the settings, creates a replica and binds its addresses. Run
// starts it.
func New(s Settings) (*Daemon, error) {
	s.setDefaults()
	if fault := s.validate(); fault != nil {
		fault.File = "settings"
		return nil, fault
	}
	d := &Daemon{settings: s, start: s.Clock()}
	d.seeds.Store(&s.Seeds)
	d.formationGate = quorum.NewFormationGate(quorum.VotersFor(s.Tolerance))
	if err := d.assemble(); err != nil {
		return nil, err
	}
	if err := d.parts.peer.Listen(s.Peer); err != nil {
		return nil, err
	}
	d.settings.Peer = d.parts.peer.Addr() // the kernel may have chosen the port
	if err := d.parts.admin.Listen(s.Admin); err != nil {
		d.parts.peer.Close()
		return nil, err
	}
	if s.Metrics.IsValid() {
		d.parts.metrics = serve.NewMetricsServer(d.parts.meter.Handler(), d.parts.serverOpts...)
		if err := d.parts.metrics.Listen(s.Metrics); err != nil {
			d.close()
			return nil, err
		}
	}
	if len(s.Seeds) > 0 {
		return d, nil
	}
	if err := d.joinOverlay(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// Peer returns the bound address for links of other instances.
func (d *Daemon) Peer() netip.AddrPort { return d.parts.peer.Addr() }

// Admin returns the bound address of the administration interface.
func (d *Daemon) Admin() netip.AddrPort { return d.parts.admin.Addr() }

func (d *Daemon) hello() wire.Hello {
	s := &d.settings
	return wire.Hello{
		Fleet: s.Fleet, Instance: s.Instance, Role: wire.RoleControl, Region: s.Region, DataCentre: s.DataCentre,
		PeerAddress: d.Peer(), Start: d.start, Replica: s.replicaNumber(),
	}
}

// Run opens the data directory and serves until ctx ends. It then transfers
// leadership and stops. It returns the first error that stops the replica, such as
// a failed disk.
func (d *Daemon) Run(ctx context.Context) error {
	p := d.parts
	defer d.close()
	if err := p.openGroup(&d.settings); err != nil {
		return err
	}
	d.dataOpen.Store(true)
	// The tasks continue after ctx ends, until leadership has been transferred.
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	tasks := newTasks(stop)
	tasks.start("group", func() error { return p.group.Run(inner) })
	tasks.start("fleet", func() error { p.fleet.Run(inner); return nil })
	tasks.start("peer", p.peer.Serve)
	tasks.start("admin", p.admin.Serve)
	if p.metrics != nil {
		tasks.start("metrics", p.metrics.Serve)
	}
	tasks.start("links", func() error { d.maintainLinks(inner); return nil })
	tasks.start("periodic", func() error { d.runPeriodic(inner); return nil })
	tasks.start("load", func() error { d.watchLoad(inner); return nil })
	tasks.start("registry", func() error { d.registry.run(inner); return nil })
	if len(d.settings.Seeds) > 0 {
		tasks.start("membership", func() error { d.maintainMembership(inner); return nil })
	}
	if d.Hooks.Run != nil {
		tasks.start("watch targets", func() error { d.Hooks.Run(inner); return nil })
	}
	addresses := logrus.Fields{"peer": d.Peer().String(), "admin": d.Admin().String()}
	if p.metrics != nil {
		addresses["metrics"] = p.metrics.Addr().String()
	}
	p.log.WithFields(addresses).Info("ready")
	select {
	case <-ctx.Done():
		d.shutDown()
	case <-inner.Done():
	}
	stop()
	d.close()
	err := tasks.wait()
	p.log.Info("stopped")
	if b, ok := d.settings.Log.(*logs.RateLimitedWriter); ok {
		b.Close()
	}
	return err
}

// shutDown refuses new requests, transfers leadership and waits for requests in
// flight, all within Settings.Grace.
func (d *Daemon) shutDown() {
	p := d.parts
	p.stopping.Store(true)
	p.log.Info("stopping")
	ctx, cancel := context.WithTimeout(context.Background(), max(d.settings.Grace, time.Millisecond))
	defer cancel()
	if s := p.group.Status(); s.Leader == s.ID && s.Members.Voters() > 1 {
		// If the transfer fails, the others elect a leader after the election
		// timeout.
		if err := p.group.Transfer(ctx); err != nil {
			p.log.WithField("error", err.Error()).Warn("leadership not transferred")
		}
	}
	if err := p.admin.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		p.log.WithField("error", err.Error()).Warn("administration interface not shut down")
	}
}

func (d *Daemon) close() {
	d.parts.server.Close()
	d.parts.peer.Close()
	d.parts.admin.Close()
	if d.parts.metrics != nil {
		d.parts.metrics.Close()
	}
}

// snapshotState returns a snapshot of the replicated state for an operator.
func (p *parts) snapshotState() ([]byte, error) {
	data, err := p.machine.snapshot()
	return data, eris.Wrap(err, "snapshot")
}
