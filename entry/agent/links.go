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

// handle receives the messages of all links, on the goroutines of the links.
func (a *Agent) handle(c *link.Conn, m wire.Message) (any, error) {
	switch m.Kind {
	case wire.KindRevision:
		return deliver(m, func(r wire.Revision) {
			a.post(func(now time.Time) { a.revision(now, c, r) })
		})
	case wire.KindPull:
		return a.answerPull(m)
	case wire.KindGossip:
		message, err := gossip.Decode(m.Body)
		if err != nil {
			return nil, err
		}
		a.post(func(now time.Time) { a.perform(now, a.gossip.Receive(now, c.Peer().Instance, message)) })
		return nil, nil
	case wire.KindRenew:
		if m.Call != 0 {
			return a.answerAsk(m)
		}
		return deliver(m, func(r wire.Renew) {
			a.post(func(now time.Time) { a.performRoster(now, a.roster.Renew(now, r)) })
		})
	case wire.KindTargets:
		return deliver(m, func(u enrol.Update) { a.registered(func(now time.Time) { a.targets(now, c, u) }) })
	case wire.KindReplicas:
		return deliver(m, func(r wire.Replicas) { a.registered(func(now time.Time) { a.replicas(now, r) }) })
	case wire.KindEntries:
		return deliver(m, func(e wire.Entries) { a.registered(func(time.Time) { a.countEntries(e) }) })
	case wire.KindSuspects:
		return deliver(m, func(s wire.Suspects) { a.registered(func(now time.Time) { a.hearSuspects(now, s) }) })
	case wire.KindOrders:
		return deliver(m, func(o wire.Orders) {
			a.post(func(now time.Time) { a.orders(now, c, o) })
		})
	}
	if m.Call == 0 {
		return nil, nil // a newer version may send kinds that are unknown here
	}
	return nil, &wire.FaultError{Code: "unsupported", Detail: string(m.Kind)}
}

// registered posts an event that has a meaning only with a registry.
func (a *Agent) registered(e event) {
	if a.registry != nil {
		a.post(e)
	}
}

func deliver[T any](m wire.Message, take func(T)) (any, error) {
	var body T
	if err := wire.Decode(m.Body, &body); err != nil {
		return nil, err
	}
	take(body)
	return nil, nil
}

func (a *Agent) answerPull(m wire.Message) (any, error) {
	var question wire.Pull
	if err := wire.Decode(m.Body, &question); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	var answer wire.Revision
	var err error
	if !a.await(ctx, func(time.Time) { answer, err = a.update.Answer(question) }) {
		return nil, &wire.FaultError{Code: "busy"}
	}
	return answer, err
}

func (a *Agent) linked(name string, dialed bool) {
	a.post(func(now time.Time) {
		a.perform(now, a.gossip.Linked(now, name, dialed))
		if c := a.mesh.Neighbour(name); c != nil && !a.update.Ready(now) {
			a.pull(c, a.update.Pull(now, name))
		}
	})
}

func (a *Agent) unlinked(name string) {
	a.post(func(now time.Time) {
		a.update.Lost(name)
		a.perform(now, a.gossip.Unlinked(now, name))
	})
}

// keptLink follows the links to control replicas. Those of the own region come
// first, since claims take the first one.
func (a *Agent) keptLink(c *link.Conn, open bool) {
	a.post(func(now time.Time) {
		if a.registry != nil {
			a.attached(now, c, open)
			return
		}
		next := slices.DeleteFunc(slices.Clone(*a.control.Load()), func(o *link.Conn) bool { return o == c })
		switch {
		case open && c.Peer().Region == a.settings.Region:
			next = slices.Insert(next, 0, c)
		case open:
			next = append(next, c)
		default:
			a.update.Lost(c.Peer().Instance)
		}
		a.control.Store(&next)
		if open {
			a.reportDue = true
			a.pull(c, a.update.Pull(now, c.Peer().Instance))
		}
	})
}

func (a *Agent) linkFailed(use wire.Use, err error) {
	a.log.WithField("use", string(use)).WithField(logs.FieldError, err.Error()).Debug("link failed")
}

// perform does what the gossip core asks for.
func (a *Agent) perform(now time.Time, actions []gossip.Action) {
	for _, action := range actions {
		switch action.Do {
		case gossip.Send:
			a.mesh.Send(action.To, wire.KindGossip, action.Message)
		case gossip.Dial:
			a.mesh.Dial(action.Address)
		case gossip.Drop:
			a.mesh.Drop(action.To)
		case gossip.Change:
			a.learn(now, action.Record)
		case gossip.Pull:
			if c := a.mesh.Neighbour(action.To); c != nil && action.Number > a.update.Number() {
				a.pull(c, a.update.Pull(now, action.To))
			}
		}
	}
}

// performRoster does what the roster asks for.
func (a *Agent) performRoster(now time.Time, actions []roster.Action) {
	for _, action := range actions {
		switch action.Do {
		case roster.Publish:
			a.perform(now, a.gossip.Put(now, action.Record))
		case roster.Forward:
			a.forward(action)
		case roster.Ask:
			a.askOwner(action)
		}
	}
}

// forward passes a renewal on to an owner of the target. A renewal that does
// not arrive is made good by the next one.
func (a *Agent) forward(action roster.Action) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		c, err := a.mesh.Reach(ctx, action.Address)
		if err == nil {
			err = c.Send(wire.KindRenew, action.Renew)
		}
		if err != nil {
			a.log.WithField("to", action.To).WithField(logs.FieldError, err.Error()).Debug("renewal not forwarded")
		}
	}()
}

// learn takes in a changed record of an instance or target.
func (a *Agent) learn(now time.Time, record *gossip.Record) {
	a.performRoster(now, a.roster.Learn(now, record))
	if record.Kind == gossip.KindInstance {
		a.peersDirty = true
		return
	}
	a.changed(now, record)
}
