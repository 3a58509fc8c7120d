package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/galenalock/galenalock/control/census"
	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/pace"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// heardInterval is the interval at which the leader is told which targets
	// announced themselves.
	heardInterval = time.Second
	// maxStartAhead is how far the start of a target may lie in the future. Targets
	// whose clock is wrong by days must be usable.
	maxStartAhead = 365 * 24 * time.Hour
	// silenceTimeout limits the commit of a list of silent targets.
	silenceTimeout = 2 * time.Second
)

// StaleError reports an announcement of an earlier incarnation, or one that
// arrived after a later one.
type StaleError struct{ Name string }

// Error returns a message with the name of the target.
func (e *StaleError) Error() string {
	return fmt.Sprintf("announcement of %s: a later incarnation or announcement is known", e.Name)
}

// registry receives the announcements of targets.
type registry struct {
	daemon *Daemon

	mu     sync.Mutex
	census *census.Tracker
}

func (d *Daemon) newRegistry() *registry {
	return &registry{daemon: d, census: census.New(d.settings.Life)}
}

// announce returns when the announcement has been committed. A renewal that changes
// nothing is answered without the log, even if there is no majority. The end of a target
// is not: this replica may not know yet that the target is registered.
func (r *registry) announce(ctx context.Context, a enrol.Announcement) error {
	if err := a.Check(); err != nil {
		return err
	}
	// Checked here and not by the state machine, which has to give the same result in
	// all builds.
	if a.Start.After(r.daemon.settings.Clock().Add(maxStartAhead)) {
		return &enrol.Error{Field: "start", Reason: "lies in the future"}
	}
	p := r.daemon.parts
	targets := p.machine.view.Load().Targets
	effect := targets.Evaluate(a)
	if effect == enrol.Changed || a.State == enrol.Gone {
		var err error
		if effect, err = r.commit(ctx, a); err != nil {
			return err
		}
		p.log.WithFields(map[string]any{
			"target": a.Name, "service": a.Service, "address": a.Address.String(), "datacentre": a.DataCentre,
			"start": a.Start.UnixMilli(), "seq": a.Seq, "state": string(a.State), "verdict": string(effect),
		}).Info("announcement committed")
	}
	if effect == enrol.Stale {
		p.log.WithField("target", a.Name).WithField("start", a.Start.UnixMilli()).WithField("seq", a.Seq).Info("stale announcement refused")
		return &StaleError{Name: a.Name}
	}
	if a.State != enrol.Gone {
		r.mu.Lock()
		r.census.Record(r.daemon.settings.Clock(), a.Name, a.Start, a.Seq)
		r.mu.Unlock()
	}
	return nil
}

// commit proposes an announcement and returns its effect.
func (r *registry) commit(ctx context.Context, a enrol.Announcement) (enrol.Effect, error) {
	if a.State == enrol.Gone {
		return r.commitEnd(ctx, a)
	}
	result, err := r.daemon.parts.relay.Propose(ctx, state.Command{Announce: &a})
	return result.Effect, err
}

// run calls tick periodically until ctx is done.
func (r *registry) run(ctx context.Context) {
	pace.Every(ctx, heardInterval, func() { r.tick(ctx) })
}

// tick tells the leader which targets announced themselves. On the leader it marks
// targets that have not announced themselves as silent.
func (r *registry) tick(ctx context.Context) {
	p := r.daemon.parts
	status := p.group.Status()
	isLeader := status.Leader == status.ID
	view := p.machine.view.Load()
	r.mu.Lock()
	batch := r.census.TakeBatch()
	r.census.Prune(view.Targets)
	silent := r.census.Silent(r.daemon.settings.Clock(), isLeader, view.Targets)
	r.mu.Unlock()
	if c := p.links.Get(status.Leader); !isLeader && c != nil && len(batch.Targets) > 0 {
		_ = c.Send(wire.KindHeard, batch) // a failed send closes the link; the targets announce themselves again
	}
	if !isLeader {
		return
	}
	silent, left := splitPlaceholders(view.Targets, silent)
	if len(left) > 0 {
		r.endPlaceholders(ctx, left)
	}
	if len(silent) == 0 {
		return
	}
	proposeCtx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	_, err := p.relay.Propose(proposeCtx, state.Command{Silence: &state.Silence{Targets: silent}})
	log := p.log.WithField("targets", len(silent)).WithField("first", silent[0].Name)
	if err != nil {
		log.WithField(logs.FieldError, err.Error()).Warn("silent targets not marked")
		return
	}
	log.Info("silent targets marked")
}

// handleRegistry handles messages about targets, their suspects and the members of
// the group.
func (d *Daemon) handleRegistry(c *link.Conn, m wire.Message, fromReplica bool) (any, error) {
	p := d.parts
	switch m.Kind {
	case wire.KindJoin:
		var in wire.Join
		if err := decodeFromReplica(fromReplica, m, &in); err != nil {
			return nil, err
		}
		return nil, d.handleJoin(in)
	case wire.KindHeard:
		var in wire.Heard
		if err := decodeFromReplica(fromReplica, m, &in); err != nil {
			return nil, err
		}
		d.registry.mu.Lock()
		d.registry.census.Merge(d.settings.Clock(), in)
		d.registry.mu.Unlock()
		return nil, nil
	case wire.KindSuspects:
		return wire.Deliver(m, func(in wire.Suspects) { p.fleet.ReceiveSuspects(c, in, !fromReplica) })
	case wire.KindLimits:
		return wire.Deliver(m, func(in wire.List[wire.Limit]) { p.fleet.ReceiveLimits(c, in.List, !fromReplica) })
	case wire.KindDemands:
		return wire.Deliver(m, func(in wire.List[wire.Demand]) { p.fleet.ReceiveDemands(c, in.List, !fromReplica) })
	case wire.KindCrashes:
		return wire.Deliver(m, func(in wire.List[wire.Crash]) { p.fleet.ReceiveCrashes(c, in.List, !fromReplica) })
	}
	var in wire.Follow
	if err := wire.Decode(m.Body, &in); err != nil {
		return nil, err
	}
	if m.Kind == wire.KindTargets {
		targets := p.machine.view.Load().Targets
		return targets.Since(in.Have), nil
	}
	p.fleet.ReceiveFollow(c, in)
	return nil, nil
}
