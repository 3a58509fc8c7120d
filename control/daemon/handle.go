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
	// forwardTimeout limits a command that another replica forwarded. That replica
	// has given up by then.
	forwardTimeout = 3 * time.Second
	// entryTimeout limits a request of an entry. Entries give up on a claim after
	// 2 s.
	entryTimeout = 3 * time.Second
)

// handleMessage handles a message of any link and returns the answer to a call.
func (d *Daemon) handleMessage(c *link.Conn, m wire.Message) (any, error) {
	p := d.parts
	fromReplica := c.Peer().Role == wire.RoleControl && c.Peer().Replica != 0
	switch m.Kind {
	case wire.KindRaft:
		return nil, d.receiveRaft(c, m, fromReplica)
	case wire.KindPropose:
		var in wire.Propose
		if err := decodeFromReplica(fromReplica, m, &in); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
		defer cancel()
		return p.relay.ServePropose(ctx, in)
	case wire.KindConfirm:
		return d.handleConfirm(c, fromReplica)
	case wire.KindPull:
		var in wire.Pull
		if err := wire.Decode(m.Body, &in); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(c.Context(), entryTimeout)
		defer cancel()
		return p.fleet.Pull(ctx, c, in)
	case wire.KindHelpers:
		ctx, cancel := context.WithTimeout(c.Context(), entryTimeout)
		defer cancel()
		return p.fleet.Helpers(ctx, c)
	case wire.KindClaim:
		var in wire.Claim
		if err := wire.Decode(m.Body, &in); err != nil {
			return nil, err
		}
		return d.proposeClaim(state.Command{Claim: &in})
	case wire.KindClose:
		var in wire.Close
		if err := wire.Decode(m.Body, &in); err != nil {
			return nil, err
		}
		return d.proposeClaim(state.Command{Close: &in})
	case wire.KindJoin, wire.KindHeard, wire.KindFollow, wire.KindTargets, wire.KindSuspects, wire.KindLimits, wire.KindDemands, wire.KindCrashes:
		return d.handleRegistry(c, m, fromReplica)
	case wire.KindTokens, wire.KindTokenBatch:
		return d.handleTokens(c, m, fromReplica)
	case wire.KindReport, wire.KindEvidence:
		return nil, d.handleReport(c, m, fromReplica)
	case wire.KindGossip:
		if d.Hooks.ReceiveGossip != nil {
			return nil, d.Hooks.ReceiveGossip(c, m.Body)
		}
		return nil, nil
	case wire.KindOrders:
		var in wire.Orders
		if err := decodeFromReplica(fromReplica, m, &in); err != nil {
			return nil, err
		}
		p.fleet.ReceiveWatchList(in)
		return nil, nil
	case wire.KindRevision:
		return nil, nil // entries announce their revision to all peers; control does not need it
	}
	if m.Call == 0 {
		return nil, nil // a newer version may send kinds that are unknown to this one
	}
	return nil, &wire.FaultError{Code: "unsupported", Detail: string(m.Kind)}
}

// decodeFromReplica decodes a message that only replicas may send.
func decodeFromReplica(fromReplica bool, m wire.Message, out any) error {
	if !fromReplica {
		return &wire.FaultError{Code: "forbidden", Detail: string(m.Kind) + " is for replicas"}
	}
	return wire.Decode(m.Body, out)
}

func (d *Daemon) receiveRaft(c *link.Conn, m wire.Message, fromReplica bool) error {
	var body []byte
	if err := decodeFromReplica(fromReplica, m, &body); err != nil {
		return err
	}
	d.parts.group.Receive(c.Peer().Replica, body)
	return nil
}

func (d *Daemon) handleConfirm(c *link.Conn, fromReplica bool) (any, error) {
	ctx, cancel := context.WithTimeout(c.Context(), entryTimeout)
	defer cancel()
	if fromReplica {
		return d.parts.relay.ServeConfirm(ctx)
	}
	confirmed, err := d.parts.relay.Confirm(ctx)
	return confirmed, toFault(err)
}

// proposeClaim proposes a command that opens or closes a claim.
func (d *Daemon) proposeClaim(c state.Command) (any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), entryTimeout)
	defer cancel()
	if err := d.boundClaims(ctx, &c); err != nil {
		return nil, err
	}
	result, err := d.parts.relay.Propose(ctx, c)
	if err != nil {
		return nil, toFault(err)
	}
	d.parts.claims.Add(1, string(result.Claimed.State))
	return result.Claimed, nil
}

// toFault converts an error to a fault for an entry. Its code tells whether the
// command may have been applied.
func toFault(err error) error {
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

// handleReport handles reports and evidence. Evidence from an entry is forwarded to
// the leader; evidence from a replica is not forwarded again.
func (d *Daemon) handleReport(c *link.Conn, m wire.Message, fromReplica bool) error {
	p := d.parts
	if m.Kind == wire.KindReport {
		var in wire.Report
		if err := wire.Decode(m.Body, &in); err != nil {
			return err
		}
		if !fromReplica && in.Instance != c.Peer().Instance {
			return &wire.FaultError{Code: "forbidden", Detail: "report of another instance"}
		}
		p.fleet.ReceiveReport(in, !fromReplica)
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
	if leader := p.links.Get(s.Leader); leader != nil && !fromReplica {
		return leader.Send(wire.KindEvidence, in)
	}
	return nil
}
