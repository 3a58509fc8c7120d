package daemon

import (
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.uber.org/dig"

	"github.com/galenalock/galenalock/control/admin"
	"github.com/galenalock/galenalock/control/fleet"
	"github.com/galenalock/galenalock/control/relay"
	"github.com/galenalock/galenalock/control/tokens"
	"github.com/galenalock/galenalock/core/auth"
	"github.com/galenalock/galenalock/core/certs"
	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/meter"
	"github.com/galenalock/galenalock/core/serve"
	"github.com/galenalock/galenalock/core/wire"
)

// parts are the components of a replica.
type parts struct {
	log       *logrus.Entry
	meter     *meter.Meter
	auth      *auth.Auth
	certs     *certs.Certs // nil without TLS
	machine   *machine
	links     *relay.Links
	relay     *relay.Relay
	tokens    *tokens.Server
	fleet     *fleet.Fleet
	group     *group.Group // opened by Run
	server    *link.Server
	dialer    *link.Dialer
	peer      *serve.Server
	admin     *serve.Server
	metrics   *serve.Server // nil without an address for metrics
	claims    *meter.Counter
	syncs     *meter.Counter
	linkBytes *meter.Counter
	stopping  atomic.Bool

	serverOpts []serve.Option // of the servers that operators and targets reach
}

// counters are the metrics that a replica counts.
type counters struct {
	dig.Out
	Claims        *meter.Counter `name:"claims"`
	Commits       *meter.Counter `name:"commits"`
	Syncs         *meter.Counter `name:"syncs"`
	LinkByteCount *meter.Counter `name:"bytes"`
	Dropped       *meter.Counter `name:"dropped"`
}

// components are the components that connectParts connects.
type components struct {
	dig.In
	Log           *logrus.Entry
	Meter         *meter.Meter
	Auth          *auth.Auth
	Certs         *certs.Certs
	Machine       *machine
	Links         *relay.Links
	Claims        *meter.Counter `name:"claims"`
	Syncs         *meter.Counter `name:"syncs"`
	LinkByteCount *meter.Counter `name:"bytes"`
	Dropped       *meter.Counter `name:"dropped"`
}

// assemble creates the components that use neither disk nor network.
func (d *Daemon) assemble() error {
	container := dig.New()
	providers := []any{
		d.newLog, meter.New, d.newAuth, d.newCerts, newCounters, relay.NewLinks,
		func(in struct {
			dig.In
			Commits *meter.Counter `name:"commits"`
		}) *machine {
			return newMachine(in.Commits)
		},
	}
	for _, provider := range providers {
		if err := container.Provide(provider); err != nil {
			return eris.Wrap(err, "assemble control replica")
		}
	}
	return eris.Wrap(dig.RootCause(container.Invoke(d.connectParts)), "assemble control replica")
}

func (d *Daemon) newLog() (*logrus.Entry, error) {
	s := &d.settings
	return logs.New(s.Log, s.Level, map[string]string{
		logs.FieldInstance: s.Instance, logs.FieldRegion: s.Region, logs.FieldDataCentre: s.DataCentre,
	})
}

func (d *Daemon) newAuth() (*auth.Auth, error) { return auth.New(d.settings.Tokens) }

func (d *Daemon) newCerts() (*certs.Certs, error) {
	s := &d.settings
	if s.Cert == "" {
		return nil, nil
	}
	return certs.New(certs.Files{Cert: s.Cert, Key: s.Key, Authority: s.Authority})
}

func newCounters(m *meter.Meter) (counters, error) {
	var c counters
	for _, item := range []struct {
		name meter.Name
		into **meter.Counter
	}{
		{meter.Claims, &c.Claims}, {meter.Commits, &c.Commits}, {meter.Fsyncs, &c.Syncs}, {meter.LinkBytes, &c.LinkByteCount},
		{meter.DroppedMessages, &c.Dropped},
	} {
		counter, err := m.Counter(item.name)
		if err != nil {
			return c, err
		}
		*item.into = counter
	}
	return c, nil
}

// connectParts creates the remaining components and connects all of them.
func (d *Daemon) connectParts(in components) error {
	s := &d.settings
	p := &parts{
		log: in.Log, meter: in.Meter, auth: in.Auth, certs: in.Certs, machine: in.Machine, links: in.Links,
		claims: in.Claims, syncs: in.Syncs, linkBytes: in.LinkByteCount,
	}
	d.parts = p
	p.relay = relay.New(d.localReplica(), p.links, s.Clock)
	p.tokens = d.newTokens()
	p.fleet = fleet.New(fleet.Dependencies{
		View:             p.machine.view.Load,
		IsLeader:         func() bool { status := p.group.Status(); return status.Leader == status.ID },
		Propose:          p.relay.Propose,
		ReplicaAddresses: d.replicaAddresses,
		SendNotices:      p.sendNotices,
		SendReport:       func(r wire.Report) { p.links.Broadcast(wire.KindReport, r) },
		SendWatchList:    func(o wire.Orders) { p.links.Broadcast(wire.KindOrders, o) },
		CountDropped:     func() { in.Dropped.Add(1, "reports") },
		Clock:            s.Clock,
		Log:              p.log,
		Hooks:            func() fleet.Hooks { return d.Hooks.Hooks },
	})
	p.machine.onChange = p.fleet.ViewChanged
	d.registry = d.newRegistry()
	if err := d.guardCallers(); err != nil {
		return err
	}
	d.connectLinks(in.LinkByteCount)
	d.connectAdmin()
	if b, ok := d.settings.Log.(*logs.RateLimitedWriter); ok {
		if err := p.meter.Gauge(meter.DroppedLogLines, func() float64 { return float64(b.Dropped()) }); err != nil {
			return err
		}
	}
	return p.registerGauges()
}

// sendNotices sends notices to the other replicas of a region, or to all if it is
// empty.
func (p *parts) sendNotices(region string, kind wire.Kind, body any) {
	if region == "" {
		p.links.Broadcast(kind, body)
		return
	}
	p.links.SendToRegion(region, kind, body)
}

func (p *parts) registerGauges() error {
	err := p.meter.Gauge(meter.ActiveRevision, func() float64 { return float64(p.machine.view.Load().Newest().Number) })
	if err != nil {
		return err
	}
	return p.meter.Gauge(meter.Links, func() float64 {
		open := 0
		for _, i := range p.fleet.Instances() {
			if i.Linked {
				open++
			}
		}
		return float64(open)
	})
}

func (d *Daemon) connectLinks(linkBytes *meter.Counter) {
	p := d.parts
	opts := []link.Option{
		link.WithHello(d.hello), link.WithHandler(d.handleMessage),
		link.WithOpenHook(d.linkOpened), link.WithCloseHook(d.linkClosed),
		link.WithPanicHook(link.LogPanics(p.log)), link.WithControlPing(link.ControlPing),
		link.WithByteCounter(func(direction string, n int) { linkBytes.Add(int64(n), direction) }),
	}
	serverOpts := append(slices.Clone(p.serverOpts), serve.WithErrorLog(connLog{p.log}))
	dialOpts := opts
	if p.certs != nil {
		dialOpts = append(dialOpts, link.WithTLS(p.certs.ClientConfig()))
		serverOpts = append(serverOpts, serve.WithTLS(p.certs.ServerConfig()))
	}
	p.server = link.NewServer(opts...)
	p.dialer = link.NewDialer(dialOpts...)
	mux := http.NewServeMux()
	mux.Handle(link.Path, p.server)
	if peerHandler := d.settings.PeerHandler; peerHandler != nil {
		mux.Handle("/", peerHandler(d.services()))
	}
	p.peer = serve.New(append(serverOpts, serve.WithHandler(mux))...)
}

func (d *Daemon) linkOpened(c *link.Conn) {
	if c.Peer().Use == wire.UseOverlay {
		if d.Hooks.OverlayOpened != nil {
			d.Hooks.OverlayOpened(c)
		}
		return
	}
	peer := c.Peer()
	if peer.Replica == d.settings.replicaNumber() && peer.Instance != d.settings.Instance {
		d.parts.log.WithField("peer", peer.Instance).Error("replica number is used by another instance")
		c.Close("replica number is used twice")
	} else if peer.Role == wire.RoleControl && peer.Replica != 0 {
		d.parts.links.Add(c)
	}
	d.parts.fleet.LinkOpened(c)
}

func (d *Daemon) linkClosed(c *link.Conn) {
	if c.Peer().Use == wire.UseOverlay {
		if d.Hooks.OverlayClosed != nil {
			d.Hooks.OverlayClosed(c)
		}
		return
	}
	d.parts.fleet.LinkClosed(c)
	d.parts.links.Remove(c)
}

func (d *Daemon) connectAdmin() {
	p, s := d.parts, &d.settings
	handler := admin.New(admin.Dependencies{
		Propose: p.relay.Propose, CatchUp: p.relay.CatchUp, View: p.machine.view.Load,
		Status:    func() group.Status { return p.group.Status() },
		Instances: p.fleet.Instances,
		Targets: func() []admin.Target {
			if d.Hooks.Targets != nil {
				return d.Hooks.Targets(p.machine.view.Load(), s.Clock())
			}
			return admin.LeasedTargets(p.machine.view.Load(), s.Clock())
		},
		AddReplica:    p.addReplica,
		RemoveReplica: p.removeReplica,
		Snapshot:      p.snapshotState,
		Stopping:      p.stopping.Load,
		Metrics:       p.meter.Handler(),
		Clock:         s.Clock, Auth: p.auth, Log: p.log,
	})
	opts := append(slices.Clone(p.serverOpts), serve.WithHandler(handler), serve.WithErrorLog(connLog{p.log}))
	if p.certs != nil {
		opts = append(opts, serve.WithTLS(p.certs.PublicServerConfig()))
	}
	p.admin = serve.New(opts...)
}
