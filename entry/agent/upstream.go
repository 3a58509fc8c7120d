package agent

import (
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/galenalock/galenalock/core/eject"
	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/health"
	"github.com/galenalock/galenalock/core/limit"
	"github.com/galenalock/galenalock/core/retry"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/susp"
)

// maxPatience spreads the tests of a target that was avoided over the entries of
// a region, so that most of them hear of the first one.
const maxPatience = 0.5

// target is an incarnation of a target as the data path uses it.
type target struct {
	roster.Target
	health    *health.Target
	suspicion *susp.Target
}

// upstream is what the entry holds for one service.
type upstream struct {
	router  *route.Router
	monitor *health.Monitor
	budget  *retry.Budget
	gate    *limit.Gate
	lines   atomic.Pointer[[]line] // for the status
	open    atomic.Int64           // attempts in flight
	active  atomic.Bool            // an attempt began or ended since the last tick
	probed  atomic.Int64           // Unix nanoseconds of the last probe

	// Owned by the control goroutine.
	service  *spec.Service
	dirty    bool
	targets  map[netip.AddrPort]*target
	ramping  bool                         // a target starts slowly or is watched
	out      map[netip.AddrPort]bool      // held out by a grant at the last update, and whether in probation
	returned map[netip.AddrPort]time.Time // when a target came back, for its slow start
	weights  map[netip.AddrPort]float64   // as of the last update
	watched  map[netip.AddrPort]time.Time // since when control watches a target
	updated  time.Time
	moved    time.Time // last move of the gate
	ticked   time.Time // last tick of the monitor
}

func (a *Agent) newUpstream(now time.Time, s *spec.Service) *upstream {
	here := route.Here{Instance: a.settings.Instance, Region: a.settings.Region, DataCentre: a.settings.DataCentre}
	u := &upstream{
		service: s,
		router: route.New(now, here, route.WithRamp(a.settings.Ramp), route.WithMeter(func(_ string, sent, received int64) {
			a.hooks.Crossing(sent, received)
		})),
		monitor:  health.New(now, s.Name, a.settings.Region),
		budget:   a.newBudget(now),
		gate:     limit.New(now, limit.WithLeast(a.settings.Inflight)),
		dirty:    true,
		targets:  map[netip.AddrPort]*target{},
		out:      map[netip.AddrPort]bool{},
		returned: map[netip.AddrPort]time.Time{},
		weights:  map[netip.AddrPort]float64{},
		watched:  map[netip.AddrPort]time.Time{},
	}
	u.lines.Store(&[]line{})
	return u
}

func (a *Agent) newBudget(now time.Time) *retry.Budget {
	opts := []retry.Option{retry.WithCount(func(reason retry.Reason, verdict retry.Verdict) {
		a.hooks.Retried(string(reason), string(verdict))
	})}
	if r := a.settings.Retry; r.Window > 0 {
		opts = append(opts, retry.WithWindow(r.Window, r.Share, r.Slack))
	}
	b := retry.New(now, opts...)
	b.Divide(a.entries())
	return b
}

// updateServices brings the upstreams in line with a new text. The upstream of
// a service that stays keeps its evidence and budgets.
func (a *Agent) updateServices(now time.Time) {
	text := a.update.Text()
	next := make(map[string]*upstream, len(text.Services))
	for _, s := range text.Services {
		u := a.upstreams[s.Name]
		if u == nil {
			u = a.newUpstream(now, s)
		}
		// Traffic goroutines read the service from the view, not from the upstream.
		u.service, u.dirty = s, true
		next[s.Name] = u
		a.keeper.Service(s.Name, eject.Floor{Share: s.Floor.Share, Slots: s.Floor.Slots})
	}
	for name := range a.upstreams {
		if next[name] == nil {
			a.keeper.Drop(name)
		}
	}
	a.upstreams = next
	a.routes.Store(&next)
	a.tellKeeper(now)
	a.rates.set(text, a.entries())
}

// tellKeeper tells the keeper of leases what is known of every target.
func (a *Agent) tellKeeper(now time.Time) {
	for name := range a.upstreams {
		for _, t := range a.known(name) {
			a.keeper.Target(now, a.ejectTarget(t))
		}
	}
}

// ejectTarget describes a target to the keeper. One that an operator drains
// gives no capacity, so it counts towards the floor as a draining one.
func (a *Agent) ejectTarget(t roster.Target) eject.Target {
	state := eject.Ready
	switch t.State {
	case gossip.StateCold:
		state = eject.Cold
	case gossip.StateDraining, gossip.StateLeaving:
		state = eject.Draining
	case gossip.StateGone, gossip.StateLeft:
		state = eject.Gone
	}
	if state == eject.Ready && a.drains.Has(t.Address.String()) {
		state = eject.Draining
	}
	return eject.Target{Service: t.Service, Address: t.Address, Start: t.Start, Slots: t.Slots, State: state}
}

// changed takes in a changed record of a target.
func (a *Agent) changed(now time.Time, record *gossip.Record) {
	t, err := roster.TargetOf(record)
	if err != nil {
		return
	}
	u := a.upstreams[t.Service]
	if u == nil {
		return
	}
	a.keeper.Target(now, a.ejectTarget(t))
	u.dirty = true
}

// updateUpstream gives the router, the monitor and the gate the present targets.
func (a *Agent) updateUpstream(now time.Time, u *upstream) {
	known := a.known(u.service.Name)
	next := make(map[netip.AddrPort]*target, len(known))
	routed := make([]route.Target, 0, len(known))
	lines := make([]line, 0, len(known))
	out := map[netip.AddrPort]bool{}
	for _, standing := range a.keeper.Out(u.service.Name) {
		out[standing.Target] = standing.Probe
	}
	u.ramping = len(u.watched) > 0
	for _, t := range known {
		h := u.targets[t.Address]
		if h == nil || !h.Start.Equal(t.Start) {
			h = &target{
				Target: t, health: u.monitor.Target(now, t.Address, t.Start, t.Region, t.DataCentre), suspicion: &susp.Target{Patience: 1 + maxPatience*rand.Float64()},
			}
		}
		h.suspicion.Silence(t.Silent)
		next[t.Address] = h
		r := a.routed(now, u, t, h, out)
		routed = append(routed, r)
		u.ramping = u.ramping || now.Sub(r.Ready) < a.settings.Ramp
		lines = append(lines, line{Target: t, weight: r.Weight, out: r.Out, probe: r.Probe, drained: a.drains.Has(t.Address.String())})
	}
	for address := range u.targets {
		if next[address] == nil {
			u.monitor.Forget(address)
			delete(u.weights, address)
			delete(u.returned, address)
		}
	}
	u.router.Update(now, routed, a.peers)
	// The gate admits what this entry can send at once: beyond its connections a
	// request would be refused for want of a target instead of waiting.
	slots := 0
	for i := range lines {
		e := u.router.Endpoint(lines[i].Address)
		lines[i].endpoint = e
		if !routed[i].Drained && !routed[i].Out {
			slots += min(lines[i].Slots, e.Limit())
		}
	}
	u.lines.Store(&lines)
	u.targets, u.out, u.dirty, u.updated = next, out, false, now
	wake(u.gate.Capacity(now, float64(slots), a.entries()))
}

// routed describes one target to the router.
func (a *Agent) routed(now time.Time, u *upstream, t roster.Target, h *target, out map[netip.AddrPort]bool) route.Target {
	ready := now.Add(-t.Age(now))
	if a.registry != nil {
		// The clocks of targets are not comparable; the time for which a target
		// is slow is announced.
		ready = t.Since.Add(min(t.Cold, a.settings.Ramp) - a.settings.Ramp)
	}
	probe, held := out[t.Address]
	if _, before := u.out[t.Address]; before && !held {
		u.returned[t.Address] = now
	}
	if back, ok := u.returned[t.Address]; ok && back.After(ready) {
		ready = back
	}
	u.weights[t.Address] = h.health.Weight()
	drained := t.State == gossip.StateDraining || t.State == gossip.StateLeaving
	return route.Target{
		Address: t.Address, Start: t.Start, Region: t.Region, DataCentre: t.DataCentre,
		Slots: t.Slots, Connections: t.Connections, Ready: ready, Weight: h.health.Weight(), Tag: h,
		Suspicion: h.suspicion,
		Out:       held,
		Watched:   u.watched[t.Address],
		Probe:     held && probe,
		Drained:   drained || a.drains.Has(t.Address.String()),
	}
}

// listPeers lists the live entries, which share the targets with this one. It
// decodes every record of an instance, so the list is kept between changes.
func (a *Agent) listPeers() []route.Peer {
	if a.registry != nil {
		return a.registry.peersOf(a.settings.Instance, a.settings.Region)
	}
	var out []route.Peer
	for _, r := range a.gossip.Records(gossip.KindInstance) {
		body, err := r.Instance()
		if err != nil || body.Role != "entry" || r.State.Dead() || r.State == gossip.StateLeaving {
			continue
		}
		out = append(out, route.Peer{Instance: r.Key, Region: body.Region})
	}
	return out
}

func (a *Agent) entries() int { return max(1, len(a.peers)) }
