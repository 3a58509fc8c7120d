package daemon

import (
	"net/http"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.uber.org/dig"

	"github.com/galenalock/galenalock/core/certs"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/mesh"
	"github.com/galenalock/galenalock/core/meter"
	"github.com/galenalock/galenalock/core/serve"
	"github.com/galenalock/galenalock/entry/agent"
	"github.com/galenalock/galenalock/entry/proxy"
)

// assemble builds the parts of the entry.
func (d *Daemon) assemble() error {
	container := dig.New()
	for _, provider := range []any{
		d.newLog, meter.New, newCounts, d.newCerts, d.newPeer, d.newAgent, d.newProxy,
	} {
		if err := container.Provide(provider); err != nil {
			return eris.Wrap(err, "assemble")
		}
	}
	return dig.RootCause(container.Invoke(d.listen))
}

// keys are the key files of links and of the traffic address.
type keys struct {
	peer   *certs.Certs
	public *certs.Certs
}

func (d *Daemon) newLog() (*logrus.Entry, error) {
	s := &d.settings
	return logs.New(s.Log, s.Level, map[string]string{
		logs.FieldInstance: s.Instance, logs.FieldRegion: s.Region, logs.FieldDataCentre: s.DataCentre,
	})
}

func (d *Daemon) newCerts() (keys, error) {
	s := &d.settings
	var k keys
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

// peerServer is the server of links and announcements, bound before the agent
// exists, because the agent tells others the address.
type peerServer struct {
	server  *serve.Server
	handler *late
}

// late is a handler that is set after the server was made and before it serves.
type late struct{ http.Handler }

func (d *Daemon) newPeer(k keys) (peerServer, error) {
	handler := &late{}
	opts := []serve.Option{serve.WithHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r)
	}))}
	if k.peer != nil {
		opts = append(opts, serve.WithTLS(k.peer.Server()))
	}
	server := serve.New(opts...)
	return peerServer{server: server, handler: handler}, server.Listen(d.settings.Peer)
}

func (d *Daemon) newAgent(log *logrus.Entry, c *counts, k keys, p peerServer) *agent.Agent {
	s := &d.settings
	return agent.New(agent.Settings{
		Fleet: s.Fleet, Instance: s.Instance, Region: s.Region, DataCentre: s.DataCentre,
		Peer: p.server.Addr(), Control: s.Control, OverlaySeeds: slices.Concat(s.Peers, s.Control),
		DataDir: s.Data, SlowStart: s.Ramp, StartupWait: s.Wait, Start: d.start,
		ControlSeeds: s.Seeds, ControlLinks: s.Links, MinInflight: s.Inflight,
		Retry: agent.RetryBudget{Window: s.RetryWindow, Share: s.RetryShare, Slack: s.RetrySlack},
	}, agent.Hooks{
		OpenMesh: func(opts ...mesh.Option) *mesh.Mesh {
			opts = append(opts, mesh.WithCount(c.linked))
			if k.peer != nil {
				opts = append(opts, mesh.WithTLS(k.peer.Client()))
			}
			return mesh.New(opts...)
		},
		SetDrained: func(on bool) {
			d.drained.Store(on)
			log.WithField("drained", on).Info("drain")
		},
		CountRetry:       c.verdict,
		CountCrossRegion: c.crossed,
		Inflight:         d.inflight,
	}, log)
}

func (d *Daemon) newProxy(log *logrus.Entry, a *agent.Agent, m *meter.Meter) (*proxy.Proxy, error) {
	hooks, err := proxy.Hooks{
		View: a.View, Await: a.Await, Pick: a.Pick, Begin: a.Begin, End: logAttempt(log, a.End), Finished: logRequest(log), Admit: a.Admit,
		Claim: a.Claim, Close: a.Close, Retry: a.Retry, HedgeDelay: a.HedgeDelay, ProbeDelay: a.ProbeDelay,
		Enter: proxy.TrackInflight(d.inflightCore),
	}.WithMetrics(m)
	if err != nil {
		return nil, err
	}
	opts := append([]proxy.Option{proxy.WithOwner(d.settings.Instance, d.start)}, d.settings.Proxy...)
	return proxy.New(hooks, opts...), nil
}

// assembled is what the listeners need.
type assembled struct {
	dig.In
	Log    *logrus.Entry
	Meter  *meter.Meter
	Counts *counts
	Keys   keys
	Peer   peerServer
	Agent  *agent.Agent
	Proxy  *proxy.Proxy
}

func (d *Daemon) listen(in assembled) error {
	d.log, d.meter, d.counts = in.Log, in.Meter, in.Counts
	d.certs, d.public = in.Keys.peer, in.Keys.public
	d.agent, d.proxy, d.peer = in.Agent, in.Proxy, in.Peer.server

	peers := serve.NewRouter(in.Log)
	peers.Handle(link.Path, in.Agent.Mesh().Handler())
	peers.Post(agent.AnnouncePath, in.Agent.Announce)
	in.Peer.handler.Handler = peers

	s := &d.settings
	limits := serve.DefaultLimits()
	limits.Body, limits.Connections = int64(s.Body)<<20, s.Connections
	traffic := []serve.Option{serve.WithHandler(in.Proxy), serve.WithLimits(limits), serve.WithH2C()}
	if in.Keys.public != nil {
		traffic = append(traffic, serve.WithTLS(in.Keys.public.Public()))
	}
	d.traffic = serve.New(traffic...)
	d.admin = serve.New(serve.WithHandler(d.adminRouter()))
	if s.Announce.IsValid() {
		d.announce = d.newAnnounce(in)
	}
	if s.Metrics.IsValid() {
		d.metrics = serve.NewMetrics(in.Meter.Handler())
	}
	if err := d.gauges(); err != nil {
		return err
	}
	return d.bind()
}

// newAnnounce returns the server of announcements for targets that have no
// certificate of the fleet. It presents the certificate for callers.
func (d *Daemon) newAnnounce(in assembled) *serve.Server {
	r := serve.NewRouter(in.Log)
	r.Post(agent.AnnouncePath, in.Agent.Announce)
	opts := []serve.Option{serve.WithHandler(r)}
	if in.Keys.public != nil {
		opts = append(opts, serve.WithTLS(in.Keys.public.Public()))
	}
	return serve.New(opts...)
}

// bind binds the addresses beside the peer address. A failure frees those that
// are bound.
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

// inflight counts the requests in flight.
func (d *Daemon) inflight() int {
	n := 0
	for _, count := range d.inflightCore.Inflight() {
		n += count
	}
	return n
}

func (d *Daemon) gauges() error {
	if err := d.meter.Gauge(meter.Inflight, func() float64 { return float64(d.inflight()) }); err != nil {
		return err
	}
	err := d.meter.Gauge(meter.RevisionNow, func() float64 { return float64(d.agent.View().Revision) })
	if err != nil {
		return err
	}
	if b, ok := d.settings.Log.(*logs.Bound); ok {
		if err := d.meter.Gauge(meter.LinesOut, func() float64 { return float64(b.Dropped()) }); err != nil {
			return err
		}
	}
	return d.meter.Gauge(meter.Links, func() float64 { return float64(len(d.agent.Mesh().Neighbours())) })
}
