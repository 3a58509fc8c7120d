package daemon

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/galenalock/galenalock/core/budget"
	"github.com/galenalock/galenalock/core/certs"
	"github.com/galenalock/galenalock/core/drain"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/meter"
	"github.com/galenalock/galenalock/core/serve"
	"github.com/galenalock/galenalock/entry/agent"
	"github.com/galenalock/galenalock/entry/proxy"
)

const (
	// certReloadInterval is the interval at which certificate files are read again.
	certReloadInterval = 10 * time.Second
	// leaveTimeout limits the announcement of the shutdown to the fleet.
	leaveTimeout = 2 * time.Second
	// flushTimeout limits the time to send buffered responses and to record the
	// outcomes of claims. It is added to the time limit of a shutdown. With a short
	// limit only limit/flushDivisor is added, since open connections that carry no
	// request are not worth a longer wait.
	flushTimeout = 10 * time.Second
	flushDivisor = 8
)

// Daemon is a running entry.
type Daemon struct {
	settings     Settings
	start        time.Time
	log          *logrus.Entry
	meter        *meter.Meter
	counters     *counters
	peerCerts    *certs.Certs // nil without TLS between instances
	trafficCerts *certs.Certs // nil without TLS for callers
	agent        *agent.Agent
	proxy        *proxy.Proxy
	traffic      *serve.Server
	peer         *serve.Server
	admin        *serve.Server
	announce     *serve.Server // nil without an address for announcements
	metrics      *serve.Server // nil without an address for metrics
	inflightCore *drain.Core
	stopping     atomic.Bool
	drained      atomic.Bool // drained by an operator
	skipDrain    chan struct{}
	budget       *budget.Budget // memory for callers, nil without a bound
	connections  *serve.Connections
}

// New creates an entry and binds its addresses. Run serves them.
func New(s Settings) (*Daemon, error) {
	s.setDefaults()
	if fault := s.validate(); fault != nil {
		fault.File = "settings"
		return nil, fault
	}
	d := &Daemon{settings: s, start: time.Now(), skipDrain: make(chan struct{}, 1)}
	d.budget = budget.OfInstance(int64(s.Memory) << 20)
	d.connections = serve.NewConnections(s.Connections)
	d.inflightCore = drain.New(drain.WithTimeouts(s.StopTimes()))
	if err := d.assemble(); err != nil {
		return nil, err
	}
	return d, nil
}

// Traffic returns the bound address for callers.
func (d *Daemon) Traffic() netip.AddrPort { return d.traffic.Addr() }

// Peer returns the bound address for links of other instances and for
// announcements.
func (d *Daemon) Peer() netip.AddrPort { return d.peer.Addr() }

// Admin returns the bound address for health checks, metrics and status.
func (d *Daemon) Admin() netip.AddrPort { return d.admin.Addr() }

// Ready reports whether the entry accepts requests.
func (d *Daemon) Ready() bool {
	return d.agent.View().Ready && !d.stopping.Load() && !d.drained.Load() && !d.agent.YieldsCallers(time.Now()) && !d.agent.IsStale(time.Now())
}

// SkipDrain ends the wait for requests in flight during a shutdown.
func (d *Daemon) SkipDrain() {
	select {
	case d.skipDrain <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, inner := errgroup.WithContext(inner)
	group.Go(func() error { return d.agent.Run(inner) })
	group.Go(d.traffic.Serve)
	group.Go(d.peer.Serve)
	group.Go(d.admin.Serve)
	for _, s := range []*serve.Server{d.announce, d.metrics} {
		if s != nil {
			group.Go(s.Serve)
		}
	}
	d.watchCerts(inner)
	addresses := logrus.Fields{"traffic": d.Traffic().String(), "peer": d.Peer().String(), "admin": d.Admin().String()}
	if d.announce != nil {
		addresses["announce"] = d.announce.Addr().String()
	}
	if d.metrics != nil {
		addresses["metrics"] = d.metrics.Addr().String()
	}
	d.log.WithFields(addresses).Info("ready")
	select {
	case <-ctx.Done():
		d.drain()
	case <-inner.Done():
	}
	stop()
	d.close()
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	d.log.Info("stopped")
	if b, ok := d.settings.Log.(*logs.RateLimitedWriter); ok {
		b.Close()
	}
	return err
}

// drain shuts the entry down without cutting off requests, unless the time limit
// passes. It ends readiness first, so that the load balancer directs new callers
// elsewhere before the listener closes.
func (d *Daemon) drain() {
	d.stopping.Store(true)
	d.log.WithField("inflight", d.inflight()).Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	// From now on each response asks the caller to connect elsewhere. Idle
	// connections stay open until the end of the grace period, because closing one
	// could cut off a request that is already on its way.
	d.agent.Leave(ctx)
	d.inflightCore.Stop(time.Now())
	d.awaitInflight()
	for _, r := range d.inflightCore.Interrupted() {
		d.log.WithFields(logrus.Fields{
			logs.FieldRequest: r.ID, "service": r.Service, "kind": r.Kind, "age": time.Since(r.Start).String(),
		}).Warn("request cut off")
		d.counters.requestsCut.Add(1, r.Service)
	}
	_, limit := d.settings.StopTimes()
	ctx, cancel = context.WithTimeout(context.Background(), min(flushTimeout, limit/flushDivisor))
	defer cancel()
	for _, s := range []*serve.Server{d.traffic, d.peer} { // the peer server takes relayed requests
		if err := s.Shutdown(ctx); err != nil {
			d.log.WithField(logs.FieldError, err.Error()).Warn("connections closed before shutdown was complete")
		}
	}
	for _, a := range d.proxy.Settle(ctx) {
		d.log.WithField("service", a.Service).Warn("outcome of a claim not recorded")
	}
}

// awaitInflight waits until no request is in flight, the time limit has passed or
// SkipDrain is called.
func (d *Daemon) awaitInflight() {
	for {
		phase, next := d.inflightCore.Step(time.Now())
		if phase == drain.Ended {
			return
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-timer.C:
		case <-d.inflightCore.Done():
		case <-d.skipDrain:
			d.inflightCore.Stop(time.Now())
		}
		timer.Stop()
	}
}

func (d *Daemon) close() {
	d.proxy.Close()
	d.traffic.Close()
	d.peer.Close()
	d.admin.Close()
	for _, s := range []*serve.Server{d.announce, d.metrics} {
		if s != nil {
			s.Close()
		}
	}
}

// watchCerts reads certificate files again while the entry runs.
func (d *Daemon) watchCerts(ctx context.Context) {
	for _, c := range []*certs.Certs{d.peerCerts, d.trafficCerts} {
		if c == nil {
			continue
		}
		go c.Watch(ctx, certReloadInterval, func(err error) {
			d.log.WithField(logs.FieldError, err.Error()).Warn("certificates not reloaded")
		})
	}
}
