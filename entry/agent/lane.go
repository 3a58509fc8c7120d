package agent

import (
	"math/rand/v2"
	"net/netip"
	"slices"
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
)

// target is an incarnation of a target as the data path uses it.
type target struct {
	roster.Target
	health *health.Target
}

// lane is what the entry holds for one service.
type lane struct {
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

func (a *Agent) newLane(now time.Time, s *spec.Service) *lane {
	here := route.Here{Instance: a.settings.Instance, Region: a.settings.Region, DataCentre: a.settings.DataCentre}
	l := &lane{
		service: s,
		router: route.New(now, here, route.WithRamp(a.settings.Ramp), route.WithMeter(func(_ string, sent, received int64) {
			a.hooks.Crossing(sent, received)
		})),
		monitor: health.New(now, s.Name, a.settings.Region),
		budget: retry.New(now, retry.WithCount(func(reason retry.Reason, verdict retry.Verdict) {
			a.hooks.Retried(string(reason), string(verdict))
		})),
		gate:     limit.New(now),
		dirty:    true,
		targets:  map[netip.AddrPort]*target{},
		out:      map[netip.AddrPort]bool{},
		returned: map[netip.AddrPort]time.Time{},
		weights:  map[netip.AddrPort]float64{},
		watched:  map[netip.AddrPort]time.Time{},
	}
	l.lines.Store(&[]line{})
	return l
}

// relane brings the lanes in line with a new text. A lane of a service that
// stays keeps its evidence and budgets.
func (a *Agent) relane(now time.Time) {
	text := a.update.Text()
	next := make(map[string]*lane, len(text.Services))
	for _, s := range text.Services {
		l := a.lanes[s.Name]
		if l == nil {
			l = a.newLane(now, s)
		}
		// Traffic goroutines read the service from the view, not from the lane.
		l.service, l.dirty = s, true
		next[s.Name] = l
		a.keeper.Service(s.Name, eject.Floor{Share: s.Floor.Share, Slots: s.Floor.Slots})
	}
	for name := range a.lanes {
		if next[name] == nil {
			a.keeper.Drop(name)
		}
	}
	a.lanes = next
	a.routes.Store(&next)
	a.tellKeeper(now)
	a.rates.set(text, a.entries())
}

// tellKeeper tells the keeper of leases what is known of every target.
func (a *Agent) tellKeeper(now time.Time) {
	for name := range a.lanes {
		for _, t := range a.roster.Snapshot().Targets(name) {
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
	l := a.lanes[t.Service]
	if l == nil {
		return
	}
	a.keeper.Target(now, a.ejectTarget(t))
	l.dirty = true
}

// updateLane gives the router, the monitor and the gate the present targets.
func (a *Agent) updateLane(now time.Time, l *lane) {
	known := a.roster.Snapshot().Targets(l.service.Name)
	next := make(map[netip.AddrPort]*target, len(known))
	routed := make([]route.Target, 0, len(known))
	lines := make([]line, 0, len(known))
	out := map[netip.AddrPort]bool{}
	for _, standing := range a.keeper.Out(l.service.Name) {
		out[standing.Target] = standing.Probe
	}
	l.ramping = len(l.watched) > 0
	for _, t := range known {
		h := l.targets[t.Address]
		if h == nil || !h.Start.Equal(t.Start) {
			h = &target{Target: t, health: l.monitor.Target(now, t.Address, t.Start, t.Region, t.DataCentre)}
		}
		next[t.Address] = h
		r := a.routed(now, l, t, h, out)
		routed = append(routed, r)
		l.ramping = l.ramping || now.Sub(r.Ready) < a.settings.Ramp
		lines = append(lines, line{Target: t, weight: r.Weight, out: r.Out, probe: r.Probe, drained: a.drains.Has(t.Address.String())})
	}
	for address := range l.targets {
		if next[address] == nil {
			l.monitor.Forget(address)
			delete(l.weights, address)
			delete(l.returned, address)
		}
	}
	l.router.Update(now, routed, a.peers)
	// The gate admits what this entry can send at once: beyond its connections a
	// request would be refused for want of a target instead of waiting.
	slots := 0
	for i := range lines {
		e := l.router.Endpoint(lines[i].Address)
		lines[i].endpoint = e
		if !routed[i].Drained && !routed[i].Out {
			slots += min(lines[i].Slots, e.Limit())
		}
	}
	l.lines.Store(&lines)
	l.targets, l.out, l.dirty, l.updated = next, out, false, now
	wake(l.gate.Capacity(now, float64(slots), a.entries()))
}

// routed describes one target to the router.
func (a *Agent) routed(now time.Time, l *lane, t roster.Target, h *target, out map[netip.AddrPort]bool) route.Target {
	ready := now.Add(-t.Age(now))
	probe, held := out[t.Address]
	if _, before := l.out[t.Address]; before && !held {
		l.returned[t.Address] = now
	}
	if back, ok := l.returned[t.Address]; ok && back.After(ready) {
		ready = back
	}
	l.weights[t.Address] = h.health.Weight()
	drained := t.State == gossip.StateDraining || t.State == gossip.StateLeaving
	return route.Target{
		Address: t.Address, Start: t.Start, Region: t.Region, DataCentre: t.DataCentre,
		Slots: t.Slots, Connections: t.Connections, Ready: ready, Weight: h.health.Weight(), Tag: h,
		Out:     held,
		Watched: l.watched[t.Address],
		Probe:   held && probe,
		Drained: drained || a.drains.Has(t.Address.String()),
	}
}

// listPeers lists the live entries, which share the targets with this one. It
// decodes every record of an instance, so the list is kept between changes.
func (a *Agent) listPeers() []route.Peer {
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

// pick selects a target outside exclude.
func (l *lane) pick(now time.Time, repeat bool, exclude []netip.AddrPort) *route.Endpoint {
	const draws = 4
	draw := rand.Uint64()
	if repeat && len(exclude) == 0 {
		if e := l.probe(now, draw); e != nil {
			return e
		}
	}
	var avoid *route.Endpoint
	for range draws {
		e := l.router.Pick(now, draw, avoid)
		if e == nil {
			return nil
		}
		if !slices.Contains(exclude, e.Address()) {
			return e
		}
		avoid, draw = e, rand.Uint64()
	}
	return nil
}

// probeEvery is the time between two requests of this entry to a target in
// probation; each may be slow or fail.
const probeEvery = 500 * time.Millisecond

// probe returns a target that needs evidence and may take a repeatable request:
// one in probation, or a suspect that control has begun to watch.
func (l *lane) probe(now time.Time, draw uint64) *route.Endpoint {
	last := l.probed.Load()
	if now.UnixNano()-last >= int64(probeEvery) {
		if e := l.router.Probe(draw); e != nil && l.probed.CompareAndSwap(last, now.UnixNano()) {
			return e
		}
	}
	return l.router.Sample(now, draw)
}
