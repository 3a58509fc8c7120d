package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.uber.org/dig"

	"github.com/galenalock/galenalock/core/certs"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/mesh"
	"github.com/galenalock/galenalock/core/meter"
	"github.com/galenalock/galenalock/core/pool"
	"github.com/galenalock/galenalock/core/reach"
	"github.com/galenalock/galenalock/core/serve"
	"github.com/galenalock/galenalock/entry/agent"
	"github.com/galenalock/galenalock/entry/proxy"
)

// assemble creates the components of the entry.
func (d *Daemon) assemble() error {
	container := dig.New()
	for _, provider := range []any{
		d.newLog, meter.New, newCounters, reach.New, d.newCerts, d.newPeer, d.newAgent, d.newProxy,
	} {
		if err := container.Provide(provider); err != nil {
			return eris.Wrap(err, "assemble entry")
		}
	}
	return dig.RootCause(container.Invoke(d.listen))
}

// certSet holds the certificates of links between instances and of the listener
// for callers. Each is nil without TLS.
type certSet struct {
	peer   *certs.Certs
	public *certs.Certs
}

func (d *Daemon) newLog() (*logrus.Entry, error) {
	s := &d.settings
	return logs.New(s.Log, s.Level, map[string]string{
		logs.FieldInstance: s.Instance, logs.FieldRegion: s.Region, logs.FieldDataCentre: s.DataCentre,
	})
}

func (d *Daemon) newCerts() (certSet, error) {
	s := &d.settings
	var k certSet
	var err error
	if s.Cert != "" {
		if k.peer, err = certs.New(certs.Files{Cert: s.Cert, Key: s.Key, Authority: s.Authority}); err != nil {
			return k, err
		}
	}
	if s.TrafficCert != "" {
		k.public, err = certs.New(certs.Files{Cert: s.TrafficCert, Key: s.TrafficKey})
	}
	return k, err
}

// peerServer is the server for links and announcements. It is bound before the
// agent is created, because the agent announces its address.
type peerServer struct {
	server  *serve.Server
	handler *deferredHandler
}

// deferredHandler is a handler that is set after the server has been created and
// before it serves.
type deferredHandler struct{ http.Handler }

func (d *Daemon) newPeer(c *counters, k certSet) (peerServer, error) {
	handler := &deferredHandler{}
	limits := serve.DefaultLimits()
	limits.MaxRequestBodyBytes = int64(d.settings.Body) << 20 // of relayed requests
	opts := d.callerLimits(c, limits, serve.WithHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r)
	})))
	if k.peer != nil {
		opts = append(opts, serve.WithTLS(k.peer.ServerConfig()))
	}
	server := serve.New(opts...)
	return peerServer{server: server, handler: handler}, server.Listen(d.settings.Peer)
}

// callerLimits returns the options of a server. All servers of the process share its memory
// for callers and its connections.
func (d *Daemon) callerLimits(c *counters, limits serve.Limits, opts ...serve.Option) []serve.Option {
	return append([]serve.Option{
		serve.WithLimits(limits), serve.WithBudget(d.budget), serve.WithConnections(d.connections), serve.WithCloseHook(c.addClosure),
	}, opts...)
}

func (d *Daemon) newAgent(log *logrus.Entry, c *counters, path *reach.Tracker, k certSet, p peerServer) *agent.Agent {
	s := &d.settings
	return agent.New(agent.Settings{
		Fleet: s.Fleet, Instance: s.Instance, Region: s.Region, DataCentre: s.DataCentre,
		Peer: p.server.Addr(), Control: s.Control, OverlaySeeds: slices.Concat(s.Peers, s.Control),
		DataDir: s.Data, SlowStart: s.Ramp, StartupWait: s.Wait, Start: d.start,
		ControlSeeds: s.Seeds, ControlLinks: s.Links, MinInflight: s.Inflight, Near: s.Near, Pace: s.Pace, Quarantine: s.Quarantine,
		Path:   path,
		Revoke: s.Revoke,
		Retry:  agent.RetryBudget{Window: s.RetryWindow, Share: s.RetryShare, Slack: s.RetrySlack},
	}, agent.Hooks{
		OpenMesh: func(opts ...mesh.Option) *mesh.Mesh {
			opts = append(opts, mesh.WithByteCounter(c.addLinkBytes))
			if k.peer != nil {
				opts = append(opts, mesh.WithTLS(k.peer.ClientConfig()))
			}
			return mesh.New(opts...)
		},
		SetDrained: func(on bool) {
			d.drained.Store(on)
			log.WithField("drained", on).Info("drain state changed")
		},
		CountRetry:       c.addRetry,
		CountCrossRegion: c.addCrossRegion,
		CountLimit:       c.addLimitEvent,
		CountRoute:       c.addRoute,
		CountCrash:       c.addCrash,
		CountPath:        c.addPath,
		CountRelay:       c.addRelay,
		CountPause:       c.addPause,
		CountAdmission:   c.addAdmission,
		CountToken:       c.addToken,
		Inflight:         d.inflight,
		CloseIdle:        func() { d.proxy.CloseIdle() },
		HasIdle:          func(to netip.AddrPort, nonRepeatable bool) bool { return d.proxy.HasIdle(to, nonRepeatable) },
		Connect:          connectWith(s.Dial),
	}, log)
}

// connectWith returns a function that opens a connection with dial and closes it, or
// nil without one.
func connectWith(dial func(context.Context, netip.AddrPort) (net.Conn, error)) func(context.Context, netip.AddrPort) error {
	if dial == nil {
		return nil
	}
	return func(ctx context.Context, target netip.AddrPort) error {
		c, err := dial(ctx, target)
		if err != nil {
			return err
		}
		return c.Close()
	}
}

// relayDialTimeout limits opening a connection to another entry.
const relayDialTimeout = 300 * time.Millisecond

// newRelayPool returns the pool of connections to the peer addresses of other
// entries.
func newRelayPool(k certSet) *pool.Pool {
	dialer := &net.Dialer{Timeout: relayDialTimeout}
	if k.peer == nil {
		return pool.New(pool.WithDialTimeout(relayDialTimeout))
	}
	secure := &tls.Dialer{NetDialer: dialer, Config: k.peer.ClientConfig()}
	return pool.New(pool.WithDial(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return secure.DialContext(ctx, "tcp", to.String())
	}))
}

func (d *Daemon) newProxy(log *logrus.Entry, a *agent.Agent, m *meter.Meter, k certSet) (*proxy.Proxy, error) {
	hooks, err := proxy.Hooks{
		View: a.View, Await: a.Await, Pick: a.Pick, Begin: a.Begin, Sent: a.Sent, Forward: a.Forward, LacksRoom: a.LacksRoom, End: logAttempt(log, a.End), Finished: logRequest(log), Admit: a.Admit,
		Quarantined: a.Quarantined, MayResend: a.MayResend, Unavailable: a.Unavailable, PathLost: a.PathLost,
		RoomAfter: a.RoomAfter,
		Stale:     func() bool { return a.IsStale(time.Now()) },
		Freshness: a.Freshness,
		Claim:     a.Claim, Close: a.Close, Retry: a.Retry, HedgeDelay: a.HedgeDelay, ProbeDelay: a.ProbeDelay,
		Enter: proxy.TrackInflight(d.inflightCore), StopsIn: d.inflightCore.Left,
	}.WithMetrics(m)
	if err != nil {
		return nil, err
	}
	opts := []proxy.Option{proxy.WithOwner(d.settings.Instance, d.start), proxy.WithRelayPool(newRelayPool(k))}
	if dial := d.settings.Dial; dial != nil {
		opts = append(opts, proxy.WithPool(pool.New(pool.WithDial(dial))))
	}
	opts = append(opts, d.settings.Proxy...)
	return proxy.New(hooks, opts...), nil
}

// components are the components that listen connects.
type components struct {
	dig.In
	Log      *logrus.Entry
	Meter    *meter.Meter
	Counters *counters
	CertSet  certSet
	Peer     peerServer
	Agent    *agent.Agent
	Proxy    *proxy.Proxy
}

func (d *Daemon) listen(in components) error {
	d.log, d.meter, d.counters = in.Log, in.Meter, in.Counters
	d.peerCerts, d.trafficCerts = in.CertSet.peer, in.CertSet.public
	d.agent, d.proxy, d.peer = in.Agent, in.Proxy, in.Peer.server

	peers := serve.NewRouter(in.Log)
	peers.Handle(link.Path, in.Agent.Mesh().Handler())
	peers.Post(agent.AnnouncePath, in.Agent.Announce)
	in.Peer.handler.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if proxy.IsRelayed(r) {
			in.Proxy.ServeRelayed(w, r)
			return
		}
		peers.ServeHTTP(w, r)
	})

	s := &d.settings
	limits := serve.DefaultLimits()
	limits.MaxRequestBodyBytes, limits.StallTimeout = int64(s.Body)<<20, s.Stall
	traffic := d.callerLimits(in.Counters, limits, serve.WithHandler(in.Proxy))
	if s.HTTP2 {
		traffic = append(traffic, serve.WithHTTP2())
	}
	if in.CertSet.public != nil {
		traffic = append(traffic, serve.WithTLS(in.CertSet.public.PublicServerConfig()))
	}
	d.traffic = serve.New(traffic...)
	d.admin = serve.New(d.callerLimits(in.Counters, serve.DefaultLimits(), serve.WithHandler(d.adminRouter()), serve.WithBufferedBodies())...)
	if s.Announce.IsValid() {
		d.announce = d.newAnnounce(in)
	}
	if s.Metrics.IsValid() {
		d.metrics = serve.NewMetricsServer(in.Meter.Handler(), d.callerLimits(in.Counters, serve.DefaultLimits())...)
	}
	if err := d.registerGauges(); err != nil {
		return err
	}
	return d.bind()
}

// newAnnounce returns the server for announcements of targets that have no
// certificate of the fleet. It uses the certificate for callers.
func (d *Daemon) newAnnounce(in components) *serve.Server {
	r := serve.NewRouter(in.Log)
	r.Post(agent.AnnouncePath, in.Agent.Announce)
	opts := d.callerLimits(in.Counters, serve.DefaultLimits(), serve.WithHandler(r), serve.WithBufferedBodies())
	if in.CertSet.public != nil {
		opts = append(opts, serve.WithTLS(in.CertSet.public.PublicServerConfig()))
	}
	return serve.New(opts...)
}

// bind binds all addresses except the peer address, which is already bound. If it
// fails, it closes all servers.
func (d *Daemon) bind() error {
	s := &d.settings
	err := d.traffic.Listen(s.Traffic)
	if err == nil {
		err = d.admin.Listen(s.Admin)
	}
	if err == nil && d.announce != nil {
		err = d.announce.Listen(s.Announce)
	}
	if err == nil && d.metrics != nil {
		err = d.metrics.Listen(s.Metrics)
	}
	if err != nil {
		d.close()
	}
	return err
}

// inflight returns the number of requests in flight.
func (d *Daemon) inflight() int {
	n := 0
	for _, count := range d.inflightCore.Inflight() {
		n += count
	}
	return n
}

func (d *Daemon) registerGauges() error {
	if err := d.meter.Gauge(meter.Inflight, func() float64 { return float64(d.inflight()) }); err != nil {
		return err
	}
	err := d.meter.Gauge(meter.ActiveRevision, func() float64 { return float64(d.agent.View().Revision) })
	if err != nil {
		return err
	}
	err = d.meter.Gauge(meter.RevisionLag, func() float64 { return d.agent.RevisionLag(time.Now()).Seconds() })
	if err != nil {
		return err
	}
	if b, ok := d.settings.Log.(*logs.RateLimitedWriter); ok {
		if err := d.meter.Gauge(meter.DroppedLogLines, func() float64 { return float64(b.Dropped()) }); err != nil {
			return err
		}
	}
	if err := d.meter.Gauge(meter.HeldBytes, func() float64 { return float64(d.budget.Used()) }); err != nil {
		return err
	}
	return d.meter.Gauge(meter.Links, func() float64 { return float64(len(d.agent.Mesh().Neighbours())) })
}
