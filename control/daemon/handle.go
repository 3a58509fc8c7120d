package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/galenalock/galenalock/control/relay"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// forwardTimeout ends what another replica has asked for; that replica has
	// given up by then.
	forwardTimeout = 3 * time.Second
	// entryTimeout ends what an entry has asked for. Entries give up on a
	// claim after 2 s.
	entryTimeout = 3 * time.Second
)

// handle receives the messages of all links.
func (d *Daemon) handle(c *link.Conn, m wire.Message) (any, error) {
	p := d.parts
	replica := c.Peer().Role == wire.RoleControl && c.Peer().Replica != 0
	switch m.Kind {
	case wire.KindRaft:
		return nil, d.receiveRaft(c, m, replica)
	case wire.KindPropose:
		var in wire.Propose
		if err := readFrom(replica, m, &in); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
		defer cancel()
		return p.relay.ServePropose(ctx, in)
	case wire.KindConfirm:
		return d.confirm(replica)
	case wire.KindPull:
		var in wire.Pull
		if err := wire.Decode(m.Body, &in); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(context.Background(), entryTimeout)
		defer cancel()
		return p.fleet.Pull(ctx, c, in)
	case wire.KindClaim:
		var in wire.Claim
		if err := wire.Decode(m.Body, &in); err != nil {
			return nil, err
		}
		return d.claimed(state.Command{Claim: &in})
	case wire.KindClose:
		var in wire.Close
		if err := wire.Decode(m.Body, &in); err != nil {
			return nil, err
		}
		return d.claimed(state.Command{Close: &in})
	case wire.KindJoin, wire.KindHeard, wire.KindFollow, wire.KindTargets, wire.KindSuspects:
		return d.handleRegistry(c, m, replica)
	case wire.KindReport, wire.KindEvidence:
		return nil, d.collect(c, m, replica)
	case wire.KindGossip:
		if d.Hooks.Gossip != nil {
			return nil, d.Hooks.Gossip(c, m.Body)
		}
		return nil, nil
	case wire.KindOrders:
		var in wire.Orders
		if err := readFrom(replica, m, &in); err != nil {
			return nil, err
		}
		p.fleet.ReceiveWatchList(in)
		return nil, nil
	case wire.KindRevision:
		return nil, nil // entries announce theirs to all peers; control has its own
	}
	if m.Call == 0 {
		return nil, nil // a newer version may send kinds that are unknown here
	}
	return nil, &wire.FaultError{Code: "unsupported", Detail: string(m.Kind)}
}

func readFrom(replica bool, m wire.Message, into any) error {
	if !replica {
		return &wire.FaultError{Code: "forbidden", Detail: string(m.Kind) + " is for replicas"}
	}
	return wire.Decode(m.Body, into)
}

func (d *Daemon) receiveRaft(c *link.Conn, m wire.Message, replica bool) error {
	var body []byte
	if err := readFrom(replica, m, &body); err != nil {
		return err
	}
	d.parts.group.Receive(c.Peer().Replica, body)
	return nil
}

func (d *Daemon) confirm(replica bool) (any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), entryTimeout)
	defer cancel()
	if replica {
		return d.parts.relay.ServeConfirm(ctx)
	}
	confirmed, err := d.parts.relay.Confirm(ctx)
	return confirmed, fault(err)
}

func (d *Daemon) claimed(c state.Command) (any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), entryTimeout)
	defer cancel()
	result, err := d.parts.relay.Propose(ctx, c)
	if err != nil {
		return nil, fault(err)
	}
	d.parts.claims.Add(1, string(result.Claimed.State))
	return result.Claimed, nil
}

// fault names in one word what an entry needs to know: whether the command may
// have been applied.
func fault(err error) error {
	var unknown *relay.UnknownError
	var malformed *relay.MalformedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		return &wire.FaultError{Code: "unknown", Detail: unknown.Reason}
	case errors.As(err, &malformed):
		return &wire.FaultError{Code: "malformed", Detail: malformed.Reason}
	default:
		return &wire.FaultError{Code: "noquorum", Detail: err.Error()}
	}
}

// collect takes reports and evidence. Evidence is for the leader and passed on
// to it once.
func (d *Daemon) collect(c *link.Conn, m wire.Message, replica bool) error {
	p := d.parts
	if m.Kind == wire.KindReport {
		var in wire.Report
		if err := wire.Decode(m.Body, &in); err != nil {
			return err
		}
		if !replica && in.Instance != c.Peer().Instance {
			return &wire.FaultError{Code: "forbidden", Detail: "report of another instance"}
		}
		p.fleet.ReceiveReport(in, !replica)
		return nil
	}
	var in wire.Evidence
	if err := wire.Decode(m.Body, &in); err != nil {
		return err
	}
	s := p.group.Status()
	if s.Leader == s.ID {
		p.fleet.ReceiveEvidence(in)
		return nil
	}
	if leader := p.links.To(s.Leader); leader != nil && !replica {
		return leader.Send(wire.KindEvidence, in)
	}
	return nil
}
