package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/control/relay"
	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/pace"
	"github.com/galenalock/galenalock/core/quorum"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// membershipInterval is the interval at which the membership is checked.
	membershipInterval = 200 * time.Millisecond
	// membershipTimeout limits one change of the membership.
	membershipTimeout = 2 * time.Second
	// assumeRemovedAfter is how long a member hears from no leader before it assumes
	// that it was removed and asks to join again. It is longer than an election.
	assumeRemovedAfter = 2500 * time.Millisecond
)

// formingError refuses a change while the new group is too small for the tolerated
// losses.
type formingError struct{}

func (*formingError) Error() string { return "the control group is still forming" }

// localReplica returns the access of the relay to the group, which openGroup sets
// later.
func (d *Daemon) localReplica() relay.LocalReplica {
	p := d.parts
	return relay.LocalReplica{
		Propose: func(ctx context.Context, command []byte) ([]byte, error) {
			if !d.acceptsChanges() {
				return nil, &formingError{}
			}
			return p.group.Propose(ctx, command)
		},
		Read: func(ctx context.Context) error { return p.group.Read(ctx) },
		View: p.machine.view.Load,
	}
}

// acceptsChanges reports whether this replica may append changes to the log. A
// leader of a new group waits until the group survives the tolerated losses, or
// until it has waited for further voters in vain. Once a change has been
// applied, changes are accepted while voters come and go.
func (d *Daemon) acceptsChanges() bool {
	status := d.parts.group.Status()
	if len(d.settings.Seeds) == 0 || status.Leader != status.ID || d.parts.machine.view.Load().Index > 0 {
		return true
	}
	d.formationMu.Lock()
	defer d.formationMu.Unlock()
	return d.formationGate.Ready(d.settings.Clock(), status)
}

// replicaAddresses returns the addresses of the members of the group.
func (d *Daemon) replicaAddresses() []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range d.parts.group.Status().Members {
		if m.Addr.IsValid() {
			out = append(out, m.Addr)
		}
	}
	return out
}

// mustJoin reports whether this replica has to ask to join the group.
func (d *Daemon) mustJoin(s group.Status) bool {
	_, member := s.Members.Find(d.settings.replicaNumber())
	return !member || s.Staleness > assumeRemovedAfter
}

// maintainMembership joins the group if this replica is not a member and, as
// leader, changes members until the group has the wanted number of voters.
func (d *Daemon) maintainMembership(ctx context.Context) {
	pace.Every(ctx, membershipInterval, func() {
		status := d.parts.group.Status()
		switch {
		case status.Leader == status.ID:
			d.acceptsChanges() // records since when the group has its size
			d.applyChange(ctx, quorum.Decide(d.settings.Clock(), status, quorum.VotersFor(d.settings.Tolerance)))
		case d.mustJoin(status):
			d.requestJoin(ctx)
		}
	})
}

// applyChange executes one change of the membership.
func (d *Daemon) applyChange(ctx context.Context, change quorum.Change) {
	if change.Action == quorum.None {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	var err error
	if change.Action == quorum.Promote {
		err = d.parts.group.Add(ctx, change.Member.ID, change.Member.Addr)
	} else {
		err = d.parts.group.Remove(ctx, change.Member.ID)
	}
	log := d.parts.log.WithField("step", string(change.Action)).WithField("reason", change.Reason).
		WithField("replica", change.Member.Addr.String())
	if err != nil {
		log.WithField(logs.FieldError, err.Error()).Warn("membership not changed")
		return
	}
	log.Info("membership changed")
}

// requestJoin asks a linked replica to add this one to the group.
func (d *Daemon) requestJoin(ctx context.Context) {
	c := d.parts.links.Any()
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	err := c.Call(ctx, wire.KindJoin, wire.Join{Replica: d.settings.replicaNumber(), Address: d.Peer()}, nil)
	if err != nil {
		d.parts.log.WithField("peer", c.Peer().Instance).WithField(logs.FieldError, err.Error()).Info("join request failed")
		return
	}
	d.parts.log.WithField("peer", c.Peer().Instance).Info("join request accepted")
}

// handleJoin adds a replica to the group as a learner. A replica that is not the
// leader forwards the request to the leader, unless it was forwarded already.
func (d *Daemon) handleJoin(in wire.Join) error {
	p := d.parts
	ctx, cancel := context.WithTimeout(context.Background(), membershipTimeout)
	defer cancel()
	status := p.group.Status()
	if status.Leader != status.ID {
		c := p.links.Get(status.Leader)
		if in.Forwarded || status.Leader == 0 || c == nil {
			return &wire.FaultError{Code: "noquorum", Detail: "no leader is linked"}
		}
		in.Forwarded = true
		return c.Call(ctx, wire.KindJoin, in, nil)
	}
	if m, ok := status.Members.Find(in.Replica); ok && m.Addr == in.Address {
		return nil
	}
	if err := p.group.AddLearner(ctx, in.Replica, in.Address); err != nil {
		return &wire.FaultError{Code: "noquorum", Detail: err.Error()}
	}
	p.log.WithField("replica", in.Address.String()).Info("replica added as learner")
	return nil
}
