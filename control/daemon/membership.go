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
	// memberEvery paces the looks at the membership.
	memberEvery = 200 * time.Millisecond
	// memberTimeout bounds one change of the membership.
	memberTimeout = 2 * time.Second
	// outsideAfter is how long a member hears no leader before it takes itself
	// for removed and asks to join again. It is longer than an election.
	outsideAfter = 2500 * time.Millisecond
)

// unsettledError refuses changes while the group is too small to keep them.
type unsettledError struct{}

func (*unsettledError) Error() string { return "the control group is still forming" }

// relayGroup reaches the group that open puts in place.
func (d *Daemon) relayGroup() relay.Group {
	p := d.parts
	return relay.Group{
		Propose: func(ctx context.Context, command []byte) ([]byte, error) {
			if !d.settled() {
				return nil, &unsettledError{}
			}
			return p.group.Propose(ctx, command)
		},
		Read: func(ctx context.Context) error { return p.group.Read(ctx) },
		View: p.machine.view.Load,
	}
}

// settled reports whether this replica may take changes to the log as leader. A
// group that has taken one stays settled while voters come and go. It bears the
// tolerated losses, unless it began below its size after waiting in vain.
func (d *Daemon) settled() bool {
	status := d.parts.group.Status()
	if len(d.settings.Seeds) == 0 || status.Leader != status.ID || d.parts.machine.view.Load().Index > 0 {
		return true
	}
	d.settleLock.Lock()
	defer d.settleLock.Unlock()
	return d.settle.Ready(d.settings.Clock(), status)
}

// members lists the addresses of the control replicas.
func (d *Daemon) members() []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range d.parts.group.Status().Members {
		if m.Addr.IsValid() {
			out = append(out, m.Addr)
		}
	}
	return out
}

// outside reports whether this replica has to ask for its membership.
func (d *Daemon) outside(s group.Status) bool {
	_, member := s.Members.Find(d.settings.replica())
	return !member || s.Staleness > outsideAfter
}

// memberships lets this replica join and, as leader, keeps the number of voters.
func (d *Daemon) memberships(ctx context.Context) {
	pace.Every(ctx, memberEvery, func() {
		status := d.parts.group.Status()
		switch {
		case status.Leader == status.ID:
			d.settled() // notes since when the group has its size
			d.shape(ctx, quorum.Decide(d.settings.Clock(), status, quorum.VotersFor(d.settings.Tolerance)))
		case d.outside(status):
			d.ask(ctx)
		}
	})
}

// shape carries out one change of the membership.
func (d *Daemon) shape(ctx context.Context, change quorum.Change) {
	if change.Action == quorum.None {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
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
	log.Info("membership")
}

// ask asks some replica to let this one join.
func (d *Daemon) ask(ctx context.Context) {
	c := d.parts.links.Any()
	if c == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	err := c.Call(ctx, wire.KindJoin, wire.Join{Replica: d.settings.replica(), Address: d.Peer()}, nil)
	if err != nil {
		d.parts.log.WithField("peer", c.Peer().Instance).WithField(logs.FieldError, err.Error()).Info("not joined")
		return
	}
	d.parts.log.WithField("peer", c.Peer().Instance).Info("joined")
}

// join lets a replica join as a learner. A replica that does not lead passes the
// question on once.
func (d *Daemon) join(in wire.Join) error {
	p := d.parts
	ctx, cancel := context.WithTimeout(context.Background(), memberTimeout)
	defer cancel()
	status := p.group.Status()
	if status.Leader != status.ID {
		c := p.links.To(status.Leader)
		if in.Passed || status.Leader == 0 || c == nil {
			return &wire.FaultError{Code: "noquorum", Detail: "no leader is linked"}
		}
		in.Passed = true
		return c.Call(ctx, wire.KindJoin, in, nil)
	}
	if m, ok := status.Members.Find(in.Replica); ok && m.Addr == in.Address {
		return nil
	}
	if err := p.group.AddLearner(ctx, in.Replica, in.Address); err != nil {
		return &wire.FaultError{Code: "noquorum", Detail: err.Error()}
	}
	p.log.WithField("replica", in.Address.String()).Info("replica joins")
	return nil
}
