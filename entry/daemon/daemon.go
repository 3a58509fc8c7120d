package daemon

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/galenalock/galenalock/core/certs"
	"github.com/galenalock/galenalock/core/drain"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/meter"
	"github.com/galenalock/galenalock/core/serve"
	"github.com/galenalock/galenalock/entry/agent"
	"github.com/galenalock/galenalock/entry/proxy"
)

const (
	// reloadEvery is how often key files are read again.
	reloadEvery = 10 * time.Second
	// leaveTimeout bounds the announcement of the stop to the fleet.
	leaveTimeout = 2 * time.Second
	// flushTimeout bounds the end of responses that have been written and of
	// records of claims. It comes on top of the time limit of a stop, and is a
	// part of it where the limit is short: connections that were opened and carry
	// no request are not worth more.
	flushTimeout = 10 * time.Second
	flushShare   = 8
)

// Daemon is one entry.
type Daemon struct {
	settings     Settings
	start        time.Time
	log          *logrus.Entry
	meter        *meter.Meter
	counts       *counts
	certs        *certs.Certs // nil without TLS between instances
	public       *certs.Certs // nil without TLS towards callers
	agent        *agent.Agent
	proxy        *proxy.Proxy
	traffic      *serve.Server
	peer         *serve.Server
	admin        *serve.Server
	announce     *serve.Server // nil without an address of its own
	metrics      *serve.Server // nil without an address of their own
	inflightCore *drain.Core
	stopping     atomic.Bool
	drained      atomic.Bool // by an operator
	hurry        chan struct{}
}

// New binds the addresses. Run serves.
func New(s Settings) (*Daemon, error) {
	s.defaults()
	if fault := s.check(); fault != nil {
		fault.File = "settings"
		return nil, fault
	}
	d := &Daemon{settings: s, start: time.Now(), hurry: make(chan struct{}, 1)}
	d.inflightCore = drain.New(drain.WithTimes(s.Grace, s.Limit))
	if err := d.assemble(); err != nil {
		return nil, err
	}
	return d, nil
}

// Traffic returns the bound address for callers.
func (d *Daemon) Traffic() netip.AddrPort { return d.traffic.Addr() }

// Peer returns the bound address for other instances and for announcements.
func (d *Daemon) Peer() netip.AddrPort { return d.peer.Addr() }

// Admin returns the bound address of health, metrics and status.
func (d *Daemon) Admin() netip.AddrPort { return d.admin.Addr() }

// Ready reports whether the entry takes requests.
func (d *Daemon) Ready() bool {
	return d.agent.View().Ready && !d.stopping.Load() && !d.drained.Load()
}

// Hurry ends the wait for requests in flight during a stop.
func (d *Daemon) Hurry() {
	select {
	case d.hurry <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends and then stops gracefully.
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
	d.reload(inner)
	addresses := logrus.Fields{"traffic": d.Traffic().String(), "peer": d.Peer().String(), "admin": d.Admin().String()}
	if d.announce != nil {
		addresses["announce"] = d.announce.Addr().String()
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
	if b, ok := d.settings.Log.(*logs.Bound); ok {
		b.Close()
	}
	return err
}

// drain ends the service without cutting off a request. Readiness goes first,
// so that the balancer sends new callers elsewhere before the listener closes.
func (d *Daemon) drain() {
	d.stopping.Store(true)
	d.log.WithField("inflight", d.inflight()).Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	// The data path now asks callers to reconnect elsewhere with each response.
	// Idle connections stay open until the end of the grace time: closing them
	// here would cut off a request that is on its way on one of them.
	d.agent.Leave(ctx)
	d.inflightCore.Stop(time.Now())
	d.awaitInflight()
	for _, r := range d.inflightCore.Cut() {
		d.log.WithFields(logrus.Fields{
			logs.FieldRequest: r.ID, "service": r.Service, "kind": r.Kind, "age": time.Since(r.Start).String(),
		}).Warn("request cut off")
		d.counts.cut.Add(1, r.Service)
	}
	ctx, cancel = context.WithTimeout(context.Background(), min(flushTimeout, d.settings.Limit/flushShare))
	defer cancel()
	if len(d.inflightCore.Cut()) == 0 {
		if err := d.traffic.Shutdown(ctx); err != nil {
			d.log.WithField(logs.FieldError, err.Error()).Warn("connections closed")
		}
	}
	for _, a := range d.proxy.Settle(ctx) {
		d.log.WithField("service", a.Service).Warn("outcome of a claim not recorded")
	}
}

// awaitInflight waits until no request is in flight, the time limit has passed
// or a second signal ends the wait.
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
		case <-d.hurry:
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

// reload reads key files again while the entry runs.
func (d *Daemon) reload(ctx context.Context) {
	for _, c := range []*certs.Certs{d.certs, d.public} {
		if c == nil {
			continue
		}
		go c.Watch(ctx, reloadEvery, func(err error) {
			d.log.WithField(logs.FieldError, err.Error()).Warn("certificates")
		})
	}
}
