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
	log     *logrus.Entry
	onEvent func(event string)

	leader         *eject.Leader // nil while this replica does not lead
	revision       uint64
	targetsVersion uint64 // version of the snapshot that leader was last updated from
	drains         value.Set[string]
	knownTargets   map[targetKey]eject.Target
	services       value.Set[string]
}

type targetKey struct {
	service string
	address netip.AddrPort
}

// RecordEvidence records evidence that an entry has sent. It is ignored while this
// replica does not lead.
func (w *Watcher) RecordEvidence(now time.Time, e wire.Evidence) {
	if w.ejector.leader != nil {
		w.ejector.leader.AddEvidence(now, e)
	}
}

// WatchList returns the targets that entries should watch closely, nil while this
// replica does not lead.
func (w *Watcher) WatchList(now time.Time) []wire.Watched {
	if w.ejector.leader == nil {
		return nil
	}
	return w.ejector.leader.Orders(now).Watch
}

// Decide updates the leader's view of the fleet and returns the sets of grants to
// propose.
func (w *Watcher) Decide(now time.Time, leading bool, v *state.View) []state.Command {
	e := &w.ejector
	if !leading {
		e.leader = nil
		return nil
	}
	if e.leader == nil && !e.takeOver(now, v, w.Targets()) {
		return nil
	}
	e.applyChanges(now, v, w.Targets())
	var out []state.Command
	for _, set := range e.leader.Step(now) {
		out = append(out, state.Command{Grant: grantCommand(set, v)})
	}
	return out
}

func grantCommand(set eject.GrantSet, v *state.View) *state.Grant {
	command := &state.Grant{Service: set.Service, Set: v.Sets[set.Service], Lease: eject.LeaseDuration}
	for _, grant := range set.Grants {
		command.Targets = append(command.Targets, state.Target{Address: grant.Target, Start: grant.Start, Score: grant.Score})
	}
	return command
}

// HandleResult handles the result of a command returned by Decide.
func (w *Watcher) HandleResult(_ time.Time, c state.Command, result state.Result, err error) {
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

// takeOver creates the eject.Leader of a replica that has become leader and
// restores it from the current leases. It reports whether that succeeded.
func (e *ejector) takeOver(now time.Time, v *state.View, targets *roster.Snapshot) bool {
	leader, err := eject.New(now, v.Index, eject.WithEventHook(func(event string, t eject.Target, score float64) {
		if e.onEvent != nil {
			e.onEvent(event)
		}
		e.log.WithFields(logrus.Fields{
			"service": t.Service, "target": t.Address.String(), "score": score, "change": event,
		}).Info("target state changed")
	}))
	if err != nil {
		e.log.WithField(logs.FieldError, err.Error()).Error("starting ejection decisions failed")
		return false
	}
	e.leader, e.revision, e.targetsVersion = leader, 0, 0
	e.drains, e.services = value.NewSet[string](), value.NewSet[string]()
	e.knownTargets = map[targetKey]eject.Target{}
	e.applyChanges(now, v, targets)
	sets := map[string]*eject.GrantSet{}
	for _, lease := range v.Leases {
		if !lease.Current {
			continue
		}
		if sets[lease.Service] == nil {
			sets[lease.Service] = &eject.GrantSet{Service: lease.Service}
		}
		grantSet := sets[lease.Service]
		grantSet.Grants = append(grantSet.Grants, wire.Grant{
			Service: lease.Service, Target: lease.Target.Address, Start: lease.Target.Start, Remaining: lease.Expires.Sub(now), Score: lease.Target.Score,
		})
	}
	for _, grantSet := range sets {
		leader.Restore(now, *grantSet)
	}
	return true
}

// applyChanges updates the leader with what has changed in the service text, the
// drains and the targets.
func (e *ejector) applyChanges(now time.Time, v *state.View, targets *roster.Snapshot) {
	newest := v.Newest().Number
	changed := newest != e.revision
	if changed {
		e.revision = newest
		e.applyText(v)
	}
	drains := value.NewSet[string]()
	for _, d := range v.Drains {
		drains.Add(d.Name)
		changed = changed || !e.drains.Has(d.Name)
	}
	changed = changed || len(drains) != len(e.drains) || targets.Version() != e.targetsVersion
	if !changed {
		return
	}
	e.drains, e.targetsVersion = drains, targets.Version()
	seen := map[targetKey]bool{}
	for service := range e.services {
		for _, t := range targets.Targets(service) {
			key := targetKey{service: service, address: t.Address}
			seen[key] = true
			e.updateTarget(now, key, eject.Target{
				Service: service, Address: t.Address, Start: t.Start, Slots: t.Slots,
				State: ejectState(t.State, drains.Has(t.Address.String())),
			})
		}
	}
	for key, t := range e.knownTargets {
		if !seen[key] {
			t.State = eject.Gone
			e.leader.UpdateTarget(now, t)
			delete(e.knownTargets, key)
		}
	}
}

func (e *ejector) updateTarget(now time.Time, key targetKey, t eject.Target) {
	if e.knownTargets[key] == t {
		return
	}
	e.knownTargets[key] = t
	e.leader.UpdateTarget(now, t)
}

func ejectState(s gossip.State, drained bool) eject.State {
	switch {
	case drained || s == gossip.StateDraining || s == gossip.StateLeaving:
		return eject.Draining
	case s == gossip.StateCold:
		return eject.Cold
	}
	return eject.Ready
}

// applyText updates the leader with the services of the newest service text.
func (e *ejector) applyText(v *state.View) {
	source, ok := v.Text(e.revision)
	if !ok {
		return
	}
	text, err := spec.Parse(source)
	if err != nil {
		e.log.WithField(logs.FieldError, err.Error()).Error("parsing the service text failed")
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
