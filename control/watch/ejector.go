package watch

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/core/eject"
	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/health"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/value"
	"github.com/galenalock/galenalock/core/wire"
)

// ejector decides ejections while the replica leads.
type ejector struct {
	log  *logrus.Entry
	note func(event string)

	leader   *eject.Leader // nil while another replica leads
	revision uint64
	targets  uint64 // version of the snapshot that the leader knows
	drains   value.Set[string]
	known    map[targetKey]eject.Target
	services value.Set[string]
}

type targetKey struct {
	service string
	address netip.AddrPort
}

// Evidence takes evidence of an entry.
func (w *Watch) Evidence(now time.Time, e wire.Evidence) {
	if w.ejector.leader != nil {
		w.ejector.leader.AddEvidence(now, e)
	}
}

// Watched returns the watch list.
func (w *Watch) Watched(now time.Time) []wire.Watched {
	if w.ejector.leader == nil {
		return nil
	}
	return w.ejector.leader.Orders(now).Watch
}

// Decide returns the sets of grants to propose.
func (w *Watch) Decide(now time.Time, leads bool, v *state.View) []state.Command {
	e := &w.ejector
	if !leads {
		e.leader = nil
		return nil
	}
	if e.leader == nil && !e.takeOver(now, v, w.Targets()) {
		return nil
	}
	e.follow(now, v, w.Targets())
	var out []state.Command
	for _, set := range e.leader.Step(now) {
		out = append(out, state.Command{Grant: grant(set, v)})
	}
	return out
}

func grant(set eject.GrantSet, v *state.View) *state.Grant {
	g := &state.Grant{Service: set.Service, Set: v.Sets[set.Service], Lease: eject.LeaseDuration}
	for _, one := range set.Grants {
		g.Targets = append(g.Targets, state.Target{Address: one.Target, Start: one.Start, Score: one.Score})
	}
	return g
}

// Decided takes what became of a proposed set.
func (w *Watch) Decided(_ time.Time, c state.Command, result state.Result, err error) {
	leader := w.ejector.leader
	if leader == nil || c.Grant == nil {
		return
	}
	if err != nil || result.Granted == nil || !result.Granted.Applied {
		leader.ProposalFailed(c.Grant.Service)
		return
	}
	leader.ProposalApplied(0, c.Grant.Service)
}

// takeOver begins the decisions of a replica that has become leader.
func (e *ejector) takeOver(now time.Time, v *state.View, targets *roster.Snapshot) bool {
	leader, err := eject.New(now, v.Index, eject.WithEventHook(func(event string, t eject.Target, score float64) {
		if e.note != nil {
			e.note(event)
		}
		e.log.WithFields(logrus.Fields{
			"service": t.Service, "target": t.Address.String(), "score": score, "change": event,
		}).Info("target")
	}))
	if err != nil {
		e.log.WithField(logs.FieldError, err.Error()).Error("life cycle of targets")
		return false
	}
	e.leader, e.revision, e.targets = leader, 0, 0
	e.drains, e.services = value.NewSet[string](), value.NewSet[string]()
	e.known = map[targetKey]eject.Target{}
	e.follow(now, v, targets)
	sets := map[string]*eject.GrantSet{}
	for _, l := range v.Leases {
		if !l.Current {
			continue
		}
		if sets[l.Service] == nil {
			sets[l.Service] = &eject.GrantSet{Service: l.Service}
		}
		s := sets[l.Service]
		s.Grants = append(s.Grants, wire.Grant{
			Service: l.Service, Target: l.Target.Address, Start: l.Target.Start, Left: l.Expires.Sub(now), Score: l.Target.Score,
		})
	}
	for _, s := range sets {
		leader.Restore(now, *s)
	}
	return true
}

// follow tells the leader what has changed in the text, the drains and the
// targets.
func (e *ejector) follow(now time.Time, v *state.View, targets *roster.Snapshot) {
	newest := v.Newest().Number
	changed := newest != e.revision
	if changed {
		e.revision = newest
		e.readText(v)
	}
	drains := value.NewSet[string]()
	for _, d := range v.Drains {
		drains.Add(d.Name)
		changed = changed || !e.drains.Has(d.Name)
	}
	changed = changed || len(drains) != len(e.drains) || targets.Version() != e.targets
	if !changed {
		return
	}
	e.drains, e.targets = drains, targets.Version()
	present := map[targetKey]bool{}
	for service := range e.services {
		for _, t := range targets.Targets(service) {
			key := targetKey{service: service, address: t.Address}
			present[key] = true
			e.tell(now, key, eject.Target{
				Service: service, Address: t.Address, Start: t.Start, Slots: t.Slots,
				State: stateOf(t.State, drains.Has(t.Address.String())),
			})
		}
	}
	for key, t := range e.known {
		if !present[key] {
			t.State = eject.Gone
			e.leader.UpdateTarget(now, t)
			delete(e.known, key)
		}
	}
}

func (e *ejector) tell(now time.Time, key targetKey, t eject.Target) {
	if e.known[key] == t {
		return
	}
	e.known[key] = t
	e.leader.UpdateTarget(now, t)
}

func stateOf(s gossip.State, drained bool) eject.State {
	switch {
	case drained || s == gossip.StateDraining || s == gossip.StateLeaving:
		return eject.Draining
	case s == gossip.StateCold:
		return eject.Cold
	}
	return eject.Ready
}

// readText takes the services of the newest text.
func (e *ejector) readText(v *state.View) {
	source, ok := v.Text(e.revision)
	if !ok {
		return
	}
	text, err := spec.Parse(source)
	if err != nil {
		e.log.WithField(logs.FieldError, err.Error()).Error("service text")
		return
	}
	services := value.NewSet[string]()
	for _, s := range text.Services {
		policy := health.Careful
		if s.Policy == spec.Fast {
			policy = health.Fast
		}
		services.Add(s.Name)
		e.leader.SetService(s.Name, eject.Floor{Share: s.Floor.Share, Slots: s.Floor.Slots}, policy)
	}
	for name := range e.services {
		if !services.Has(name) {
			e.leader.RemoveService(name)
		}
	}
	e.services = services
}
