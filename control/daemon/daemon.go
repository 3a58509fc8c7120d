package daemon

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/control/admin"
	"github.com/galenalock/galenalock/control/fleet"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/quorum"
	"github.com/galenalock/galenalock/core/serve"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

// Hooks are the parts of a replica that other packages decide. Set them before
// Run; each may be nil.
type Hooks struct {
	fleet.Hooks
	Gossip  func(c *link.Conn, body []byte) error             // a gossip message, called from the link's goroutine
	Opened  func(c *link.Conn)                                // an overlay link, called before its first message
	Closed  func(c *link.Conn)                                // the end of an overlay link
	Targets func(v *state.View, now time.Time) []admin.Target // for the administration interface
	Run     func(ctx context.Context)                         // works while the replica runs
}

// Daemon is one control replica.
type Daemon struct {
	Hooks    Hooks
	settings Settings
	start    time.Time
	parts    *parts
	registry *registry
	serving  atomic.Bool // the data folder is open, services can be used

	settleLock sync.Mutex
	settle     *quorum.FormationGate

	seeds atomic.Pointer[[]netip.AddrPort]
}

// New checks the settings, assembles the replica and binds its addresses.
func New(s Settings) (*Daemon, error) {
	s.defaults()
	if fault := s.check(); fault != nil {
		fault.File = "settings"
		return nil, fault
	}
	d := &Daemon{settings: s, start: s.Clock()}
	d.seeds.Store(&s.Seeds)
	d.settle = quorum.NewFormationGate(quorum.VotersFor(s.Tolerance))
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
		d.parts.metrics = serve.NewMetrics(d.parts.meter.Handler())
		if err := d.parts.metrics.Listen(s.Metrics); err != nil {
			d.close()
			return nil, err
		}
	}
	if len(s.Seeds) > 0 {
		return d, nil
	}
	if err := d.observe(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// Peer returns the bound address for links.
func (d *Daemon) Peer() netip.AddrPort { return d.parts.peer.Addr() }

// Admin returns the bound address of the administration interface.
func (d *Daemon) Admin() netip.AddrPort { return d.parts.admin.Addr() }

func (d *Daemon) hello() wire.Hello {
	s := &d.settings
	return wire.Hello{
		Fleet: s.Fleet, Instance: s.Instance, Role: wire.RoleControl, Region: s.Region, DataCentre: s.DataCentre,
		Peer: d.Peer(), Start: d.start, Replica: s.replica(),
	}
}

// Run opens the data folder and works until ctx ends, then hands leadership
// over and stops. An error means that the replica cannot go on, such as a disk
// that fails.
func (d *Daemon) Run(ctx context.Context) error {
	p := d.parts
	defer d.close()
	if err := p.open(&d.settings); err != nil {
		return err
	}
	d.serving.Store(true)
	// The parts go on after ctx ends, until leadership has been handed over.
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	tasks := newTasks(stop)
	tasks.start("group", func() error { return p.group.Run(inner) })
	tasks.start("fleet", func() error { p.fleet.Run(inner); return nil })
	tasks.start("peer", p.peer.Serve)
	tasks.start("admin", p.admin.Serve)
	if p.metrics != nil {
		tasks.start("metrics", p.metrics.Serve)
	}
	tasks.start("dial", func() error { d.dialAll(inner); return nil })
	tasks.start("watch", func() error { d.watch(inner); return nil })
	tasks.start("registry", func() error { d.registry.run(inner); return nil })
	if len(d.settings.Seeds) > 0 {
		tasks.start("membership", func() error { d.memberships(inner); return nil })
	}
	if d.Hooks.Run != nil {
		tasks.start("watch targets", func() error { d.Hooks.Run(inner); return nil })
	}
	p.log.WithField("peer", d.Peer().String()).WithField("admin", d.Admin().String()).Info("ready")
	select {
	case <-ctx.Done():
		d.handOver()
	case <-inner.Done():
	}
	stop()
	d.close()
	err := tasks.wait()
	p.log.Info("stopped")
	if b, ok := d.settings.Log.(*logs.Bound); ok {
		b.Close()
	}
	return err
}

// handOver stops new requests, lets those in flight end and transfers
// leadership, within the grace.
func (d *Daemon) handOver() {
	p := d.parts
	p.stopping.Store(true)
	p.log.Info("stopping")
	ctx, cancel := context.WithTimeout(context.Background(), max(d.settings.Grace, time.Millisecond))
	defer cancel()
	if s := p.group.Status(); s.Leader == s.ID && s.Members.Voters() > 1 {
		// Without a replica that can take over, the others elect one after the
		// election timeout.
		if err := p.group.Transfer(ctx); err != nil {
			p.log.WithField("error", err.Error()).Warn("transfer")
		}
	}
	if err := p.admin.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		p.log.WithField("error", err.Error()).Warn("shutdown")
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

// Snapshot returns the state as an operator may save it.
func (p *parts) snapshotNow() ([]byte, error) {
	data, err := p.machine.snapshot()
	return data, eris.Wrap(err, "snapshot")
}
