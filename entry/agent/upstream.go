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
	"github.com/galenalock/galenalock/core/quota"
	"github.com/galenalock/galenalock/core/retry"
	"github.com/galenalock/galenalock/core/room"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/stall"
	"github.com/galenalock/galenalock/core/susp"
)

// holdFactorSpread is the range of the random part of hold factors. It spreads the
// first requests to an avoided target over the entries of a region, so that most
// entries learn the result of the first one before they send their own.
const holdFactorSpread = 0.5

// target is one incarnation of a target with its health and suspicion.
type target struct {
	roster.Target
	health    *health.Target
	suspicion *susp.Target
	quota     *quota.Target
}

// upstream is the state of one service: its targets, router, budget and gate.
type upstream struct {
	router    *route.Router
	monitor   *health.Monitor
	budget    *retry.Budget
	gate      *limit.Gate
	snapshots atomic.Pointer[[]targetSnapshot] // for Agent.Targets
	pending   atomic.Int64                     // attempts in flight
	active    atomic.Bool                      // an attempt began or ended since the last tick of the monitor
	lastProbe atomic.Int64                     // Unix nanoseconds of the last probe
	meter     quota.Meter                      // demand of this entry
	volumes   volumes
	transfers stall.Table  // bodies that are forwarded while they arrive
	slots     atomic.Int64 // of all targets that take requests, 0 if unknown
	lacksRoom atomic.Bool  // requests wait, or are refused, for lack of room at the targets
	// limitEvents tells the control goroutine that limits of targets have changed.
	limitEvents atomic.Bool

	// Accessed only by the control goroutine.
	service         *spec.Service
	dirty           bool
	targets         map[netip.AddrPort]*target
	limits          limits
	slowStarting    bool                         // a target is in slow start or watched
	ejected         map[netip.AddrPort]bool      // ejected by a grant at the last update; true: in probation
	returnedAt      map[netip.AddrPort]time.Time // end of the last ejection, for the slow start
	weights         map[netip.AddrPort]float64   // at the last update
	watchedSince    map[netip.AddrPort]time.Time // when control began to watch a target
	lastUpdate      time.Time
	lastGateTick    time.Time
	lastMonitorTick time.Time
	overload        overloadLog
}

func (a *Agent) newUpstream(now time.Time, s *spec.Service) *upstream {
	location := route.Location{Instance: a.settings.Instance, Region: a.settings.Region, DataCentre: a.settings.DataCentre}
	hasIdle := a.hooks.HasIdle
	if !a.settings.Near {
		hasIdle = nil
	}
	u := &upstream{
		service: s,
		router: route.New(now, location, route.WithSlowStart(a.settings.SlowStart), route.WithTrafficCounter(func(_ string, sent, received int64) {
			a.hooks.CountCrossRegion(sent, received)
		}), route.WithIdleConnections(hasIdle)),
		monitor:      health.New(now, s.Name, a.settings.Region),
		budget:       a.newBudget(now),
		gate:         a.newGate(now),
		dirty:        true,
		targets:      map[netip.AddrPort]*target{},
		ejected:      map[netip.AddrPort]bool{},
		returnedAt:   map[netip.AddrPort]time.Time{},
		weights:      map[netip.AddrPort]float64{},
		watchedSince: map[netip.AddrPort]time.Time{},
	}
	u.snapshots.Store(&[]targetSnapshot{})
	return u
}

func (a *Agent) newGate(now time.Time) *limit.Gate {
	opts := []limit.Option{limit.WithMinLimit(a.settings.MinInflight), limit.WithEventHook(a.hooks.CountAdmission)}
	if !a.settings.Pace {
		opts = append(opts, limit.WithoutPacing())
	}
	return limit.New(now, opts...)
}

func (a *Agent) newBudget(now time.Time) *retry.Budget {
	opts := []retry.Option{retry.WithDecisionHook(func(reason retry.Reason, decision retry.Decision) {
		a.hooks.CountRetry(string(reason), string(decision))
	})}
	if r := a.settings.Retry; r.Window > 0 {
		opts = append(opts, retry.WithWindow(r.Window, r.Share, r.Slack), retry.WithRounding(rand.Float64()))
	}
	b := retry.New(now, opts...)
	b.SetEntries(a.entryCount())
	return b
}

// updateServices updates the upstreams for a new service text. Services that remain
// keep their evidence and budgets.
func (a *Agent) updateServices(now time.Time) {
	text := a.update.Text()
	next := make(map[string]*upstream, len(text.Services))
	for _, s := range text.Services {
		u := a.upstreams[s.Name]
		if u == nil {
			u = a.newUpstream(now, s)
		}
		// Of a service the router uses only the connections of its targets.
		u.dirty = u.dirty || u.service.MaxConnections != s.MaxConnections
		u.service = s // no data race: traffic goroutines read the service from the view
		next[s.Name] = u
		a.leaseTable.SetFloor(s.Name, eject.Floor{Share: s.Floor.Share, Slots: s.Floor.Slots})
	}
	for name := range a.upstreams {
		if next[name] == nil {
			a.leaseTable.RemoveService(name)
		}
	}
	a.upstreams = next
	a.upstreamSnapshot.Store(&next)
	a.updateLeaseTable(now)
	a.rates.setLimits(text, a.entryCount())
	a.tokens.setText(text)
}

// updateLeaseTable updates all targets of the lease table.
func (a *Agent) updateLeaseTable(now time.Time) {
	for name := range a.upstreams {
		for _, t := range a.knownTargets(name) {
			a.leaseTable.UpdateTarget(now, a.ejectTarget(t))
		}
	}
}

// ejectTarget describes a target to the lease table. A target that an operator
// drains provides no capacity, so for the floor it counts as draining.
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

// targetChanged applies a changed gossip record of a target.
func (a *Agent) targetChanged(now time.Time, record *gossip.Record) {
	t, err := roster.ParseTarget(record)
	if err != nil {
		return
	}
	u := a.upstreams[t.Service]
	if u == nil {
		return
	}
	a.leaseTable.UpdateTarget(now, a.ejectTarget(t))
	u.dirty = true
}

// updateUpstream passes the current targets to the router, the monitor and the
// gate.
func (a *Agent) updateUpstream(now time.Time, u *upstream) {
	known := a.knownTargets(u.service.Name)
	next := make(map[netip.AddrPort]*target, len(known))
	routeTargets := make([]route.Target, 0, len(known))
	snapshots := make([]targetSnapshot, 0, len(known))
	ejected := map[netip.AddrPort]bool{}
	for _, lease := range a.leaseTable.Ejected(u.service.Name) {
		ejected[lease.Target] = lease.Probe
	}
	u.slowStarting = len(u.watchedSince) > 0
	for _, t := range known {
		h := u.targets[t.Address]
		if h == nil || !h.Start.Equal(t.Start) {
			h = &target{
				Target: t, health: u.monitor.Target(now, t.Address, t.Start, t.Region, t.DataCentre),
				suspicion: &susp.Target{HoldFactor: 1 + holdFactorSpread*rand.Float64()}, quota: &quota.Target{},
			}
		}
		h.suspicion.SetSilent(t.Silent)
		next[t.Address] = h
		r := a.routeTarget(now, u, t, h, ejected)
		routeTargets = append(routeTargets, r)
		u.slowStarting = u.slowStarting || now.Sub(r.ReadySince) < a.settings.SlowStart
		snapshots = append(snapshots, targetSnapshot{Target: t, quota: h.quota, weight: r.Weight, ejected: r.OutOfService, probation: r.InProbation, drained: a.drains.Has(t.Address.String())})
	}
	for address := range u.targets {
		if next[address] == nil {
			u.monitor.Forget(address)
			delete(u.weights, address)
			delete(u.returnedAt, address)
		}
	}
	u.router.Update(now, routeTargets, a.peers)
	// The gate admits no more requests than this entry has connections for. Further
	// ones would find no target and be refused instead of waiting.
	slots, tiers := 0, map[room.Tier]bool{}
	for i := range snapshots {
		e := u.router.Endpoint(snapshots[i].Address)
		snapshots[i].endpoint = e
		if !routeTargets[i].Drained && !routeTargets[i].OutOfService {
			slots += min(snapshots[i].Slots, e.Limit())
			tiers[a.tierOf(snapshots[i].Region, snapshots[i].DataCentre)] = true
		}
	}
	u.snapshots.Store(&snapshots)
	u.targets, u.ejected, u.dirty, u.lastUpdate = next, ejected, false, now
	a.confirmRestarts(now, u)
	u.slots.Store(int64(slots))
	u.gate.SetTiers(tiers)
	deliverDecisions(u.gate.SetCapacity(now, float64(slots), a.entryCount()))
}

// routeTarget describes a target to the router.
func (a *Agent) routeTarget(now time.Time, u *upstream, t roster.Target, h *target, ejected map[netip.AddrPort]bool) route.Target {
	ready := now.Add(-t.Age(now))
	if a.registry != nil {
		// The clocks of targets are not comparable, so targets announce the duration
		// of their cold phase.
		ready = t.Since.Add(min(t.ColdRemaining, a.settings.SlowStart) - a.settings.SlowStart)
	}
	probe, ejectedNow := ejected[t.Address]
	if _, before := u.ejected[t.Address]; before && !ejectedNow {
		u.returnedAt[t.Address] = now
	}
	if back, ok := u.returnedAt[t.Address]; ok && back.After(ready) {
		ready = back
	}
	u.weights[t.Address] = h.health.Weight()
	drained := t.State == gossip.StateDraining || t.State == gossip.StateLeaving
	return route.Target{
		Address: t.Address, Start: t.Start, Region: t.Region, DataCentre: t.DataCentre,
		Slots: t.Slots, Connections: t.Connections, ReadySince: ready, Weight: h.health.Weight(), Tag: h,
		Suspicion:    h.suspicion,
		Quota:        h.quota,
		OutOfService: ejectedNow,
		SuspectSince: u.watchedSince[t.Address],
		InProbation:  ejectedNow && probe,
		Drained:      drained || a.drains.Has(t.Address.String()),
	}
}

// listPeers returns the live entries, which share the targets. It decodes the
// records of all instances, so its result is cached until one of them changes.
func (a *Agent) listPeers() []route.Peer {
	if a.registry != nil {
		return a.registry.placeholderPeers(a.settings.Instance, a.settings.Region)
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

func (a *Agent) entryCount() int { return max(1, len(a.peers)) }
