package agent

import (
	"context"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/wire"
)

// handle processes the messages of all links. It runs on the goroutines of the
// links.
func (a *Agent) handle(c *link.Conn, m wire.Message) (any, error) {
	switch m.Kind {
	case wire.KindRevision:
		return wire.Deliver(m, func(r wire.Revision) { a.hearRevision(c, r) })
	case wire.KindPull:
		return a.handlePull(m)
	case wire.KindGossip:
		message, err := gossip.Decode(m.Body)
		if err != nil {
			return nil, err
		}
		a.post(func(now time.Time) { a.performGossip(now, a.gossip.Receive(now, c.Peer().Instance, message)) })
		return nil, nil
	case wire.KindRenew:
		if m.Call != 0 {
			return a.handleOwnerQuery(m)
		}
		return wire.Deliver(m, func(r wire.Renew) {
			a.post(func(now time.Time) { a.performRoster(now, a.roster.Renew(now, r)) })
		})
	case wire.KindReach:
		return a.handleReach(m)
	case wire.KindTargets:
		return wire.Deliver(m, func(u enrol.Update) { a.postToRegistry(func(now time.Time) { a.receiveTargets(now, c, u) }) })
	case wire.KindReplicas:
		return wire.Deliver(m, func(r wire.Replicas) { a.postToRegistry(func(now time.Time) { a.receiveReplicas(now, r) }) })
	case wire.KindEntries:
		return wire.Deliver(m, func(e wire.Entries) { a.postToRegistry(func(time.Time) { a.receiveEntryCounts(e) }) })
	case wire.KindSuspects:
		return wire.Deliver(m, func(s wire.Suspects) { a.postToRegistry(func(now time.Time) { a.receiveSuspects(now, s) }) })
	case wire.KindLimits:
		return wire.Deliver(m, func(l wire.List[wire.Limit]) {
			a.post(func(now time.Time) { a.receiveLimits(now, c.Peer().Instance, l) })
		})
	case wire.KindDemands:
		return wire.Deliver(m, func(d wire.List[wire.Demand]) { a.post(func(now time.Time) { a.receiveDemands(now, d) }) })
	case wire.KindCrashes:
		return wire.Deliver(m, func(l wire.List[wire.Crash]) { a.post(func(now time.Time) { a.receiveCrashes(now, l) }) })
	case wire.KindOrders:
		return wire.Deliver(m, func(o wire.Orders) {
			a.post(func(now time.Time) { a.applyOrders(now, c, o) })
		})
	}
	if m.Call == 0 {
		return nil, nil // a newer version may send kinds that this one does not know
	}
	return nil, &wire.FaultError{Code: "unsupported", Detail: string(m.Kind)}
}

// postToRegistry posts an event if the targets come from control, and drops it
// otherwise.
func (a *Agent) postToRegistry(e event) {
	if a.registry != nil {
		a.post(e)
	}
}

func (a *Agent) handlePull(m wire.Message) (any, error) {
	var request wire.Pull
	if err := wire.Decode(m.Body, &request); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	var response wire.Revision
	var err error
	if !a.applyAndWait(ctx, func(time.Time) { response, err = a.update.Answer(request) }) {
		return nil, &wire.FaultError{Code: "busy"}
	}
	return response, err
}

func (a *Agent) overlayLinked(name string, dialed bool) {
	a.post(func(now time.Time) {
		a.performGossip(now, a.gossip.Linked(now, name, dialed))
		if c := a.mesh.Neighbour(name); c != nil && !a.update.Ready(now) {
			a.pullRevision(c, a.update.Pull(now, name))
		}
	})
}

func (a *Agent) overlayUnlinked(name string) {
	a.post(func(now time.Time) {
		a.update.RemovePeer(name)
		a.performGossip(now, a.gossip.Unlinked(now, name))
	})
}

// controlLinkChanged updates the list of links to control replicas. Replicas of
// the same region come first, since claims use the first link.
func (a *Agent) controlLinkChanged(c *link.Conn, open bool) {
	a.post(func(now time.Time) {
		if a.registry != nil {
			a.registryLinkChanged(now, c, open)
			return
		}
		next := slices.DeleteFunc(slices.Clone(*a.controlLinks.Load()), func(o *link.Conn) bool { return o == c })
		switch {
		case open && c.Peer().Region == a.settings.Region:
			next = slices.Insert(next, 0, c)
		case open:
			next = append(next, c)
		default:
			a.update.RemovePeer(c.Peer().Instance)
		}
		a.controlLinks.Store(&next)
		if open {
			a.reportDue = true
			a.pullRevision(c, a.update.Pull(now, c.Peer().Instance))
		}
	})
}

func (a *Agent) linkFailed(use wire.Use, err error) {
	a.log.WithField("use", string(use)).WithField(logs.FieldError, err.Error()).Debug("link failed")
}

// performGossip executes the actions of the gossip core.
func (a *Agent) performGossip(now time.Time, actions []gossip.Action) {
	for _, action := range actions {
		switch action.Type {
		case gossip.Send:
			a.mesh.Send(action.To, wire.KindGossip, action.Message)
		case gossip.Dial:
			a.mesh.Dial(action.Address)
		case gossip.Drop:
			a.mesh.Drop(action.To)
		case gossip.Change:
			a.applyRecord(now, action.Record)
		case gossip.Pull:
			if c := a.mesh.Neighbour(action.To); c != nil && action.RevisionNumber > a.update.Number() {
				a.pullRevision(c, a.update.Pull(now, action.To))
			}
		}
	}
}

// performRoster executes the actions of the roster.
func (a *Agent) performRoster(now time.Time, actions []roster.Action) {
	for _, action := range actions {
		switch action.Type {
		case roster.Publish:
			a.performGossip(now, a.gossip.Put(now, action.Record))
		case roster.Forward:
			a.forwardRenewal(action)
		case roster.Ask:
			a.queryOwner(action)
		}
	}
}

// forwardRenewal sends a renewal to an owner of the target. A lost renewal is
// not sent again, since the next one replaces it.
func (a *Agent) forwardRenewal(action roster.Action) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		c, err := a.mesh.OwnerLink(ctx, action.Address)
		if err == nil {
			err = c.Send(wire.KindRenew, action.Renew)
		}
		if err != nil {
			a.log.WithField("to", action.To).WithField(logs.FieldError, err.Error()).Debug("renewal not forwarded")
		}
	}()
}

// applyRecord applies a changed gossip record of an instance or target.
func (a *Agent) applyRecord(now time.Time, record *gossip.Record) {
	a.performRoster(now, a.roster.Learn(now, record))
	if record.Kind == gossip.KindInstance {
		a.peersDirty = true
		return
	}
	a.targetChanged(now, record)
}
