package relay

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/galenalock/galenalock/control/turns"
	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// retryInterval is the pause between attempts. It is short against an
	// election, which takes a second or more.
	retryInterval = turns.DefaultInterval
	// attemptTimeout limits one attempt, so that a leader that has gone silent
	// does not use up the caller's whole deadline.
	attemptTimeout = 2 * time.Second
)

// Codes of wire.FaultError in responses between replicas.
const (
	codeNotLeader = "notleader"
	codeUnknown   = "unknown"
)

// LocalReplica gives access to the local replica of the control group.
type LocalReplica struct {
	Propose func(ctx context.Context, command []byte) ([]byte, error)
	Read    func(ctx context.Context) error
	View    func() *state.View
}

// Relay forwards commands and read confirmations to the leader. It is safe for
// concurrent use.
type Relay struct {
	replica LocalReplica
	links   *Links
	clock   func() time.Time
	confirm *confirmations // for entries
	served  *confirmations // for other replicas
	line    *line
}

// New returns a relay for the local replica. It uses links to reach the leader and
// clock for the time of commands.
func New(local LocalReplica, links *Links, clock func() time.Time) *Relay {
	r := &Relay{replica: local, links: links, clock: clock, line: newLine()}
	r.confirm = newConfirmations(r.confirmOnce, true)
	r.served = newConfirmations(r.confirmLocal, false)
	return r
}

// LeaderChanged notifies the relay that the local replica has learned of another
// leader or has lost its leader. It does not block.
func (r *Relay) LeaderChanged() {
	r.confirm.restart()
	r.served.restart()
	r.line.reset()
}

// Propose sets the time of a command, proposes it to the leader and returns its
// result. It retries until ctx ends, unless the error is permanent. A command
// whose outcome is unknown or whose result cannot be decoded is retried too,
// unless it is a grant: all others give the same result when they are applied
// again. While attempts fail, the callers of a replica try one at a time. The errors
// are *UnknownError, *NoQuorumError, *StoppedError, *SizeError and *MalformedError.
func (r *Relay) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	maybeApplied := false
	fail := func(result state.Result, err error) (state.Result, error) {
		if maybeApplied {
			return result, &UnknownError{Reason: err.Error()}
		}
		return result, err
	}
	turn, err := r.line.join()
	if err != nil {
		return state.Result{}, err
	}
	defer r.line.leave(turn)
	for {
		if err := r.line.wait(ctx, turn); err != nil {
			return fail(state.Result{}, err)
		}
		result, err := r.proposeOnce(ctx, c)
		var unknown *UnknownError
		switch {
		case err == nil && result.Fault != "":
			r.line.succeed(turn)
			return result, &MalformedError{Reason: result.Fault}
		case err == nil:
			r.line.succeed(turn)
			return result, nil
		case isPermanent(err):
			return fail(result, err)
		case errors.As(err, &unknown):
			if c.Grant != nil {
				return result, err
			}
			maybeApplied = true
		}
		if ctx.Err() != nil {
			// Not recorded as a failure: that the caller gave up tells nothing about the leader.
			return fail(result, &NoQuorumError{Reason: err.Error()})
		}
		r.line.fail(turn, err)
	}
}

// Waiting returns the number of commands that wait for their turn to be proposed.
func (r *Relay) Waiting() int { return r.line.waiting() }

// isPermanent reports whether every further attempt would fail in the same way.
func isPermanent(err error) bool {
	var tooLarge *SizeError
	var stopped *StoppedError
	var malformed *MalformedError
	return errors.As(err, &tooLarge) || errors.As(err, &stopped) || errors.As(err, &malformed)
}

func (r *Relay) proposeOnce(ctx context.Context, c state.Command) (state.Result, error) {
	c.Time = r.clock()
	var result state.Result
	data, err := wire.Encode(c)
	if err != nil {
		return result, &MalformedError{Reason: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err := r.proposeLocal(ctx, data)
	var notLeader *notLeaderError
	if errors.As(err, &notLeader) {
		response, err = r.forward(ctx, notLeader, data)
	}
	if err != nil {
		return result, err
	}
	if err := wire.Decode(response, &result); err != nil {
		return state.Result{}, &UnknownError{Reason: "result of the command: " + err.Error()}
	}
	return result, nil
}

func (r *Relay) proposeLocal(ctx context.Context, command []byte) ([]byte, error) {
	response, err := r.replica.Propose(ctx, command)
	return response, fromGroupError(err)
}

// fromGroupError converts errors of the group to those of the relay. All but
// *group.UnknownError mean that the command was not applied.
func fromGroupError(err error) error {
	var notLeader *group.NotLeaderError
	var unknown *group.UnknownError
	var tooLarge *group.SizeError
	var shutdown *group.ShutdownError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &notLeader):
		return &notLeaderError{leader: notLeader.Leader}
	case errors.As(err, &unknown):
		return &UnknownError{Reason: unknown.Error()}
	case errors.As(err, &tooLarge):
		return &SizeError{Size: tooLarge.Size, Max: tooLarge.Max}
	case errors.As(err, &shutdown):
		return &StoppedError{}
	default:
		return &NoQuorumError{Reason: err.Error()}
	}
}

func (r *Relay) forward(ctx context.Context, redirect *notLeaderError, command []byte) ([]byte, error) {
	c := r.links.Get(redirect.leader)
	if redirect.leader == 0 || c == nil {
		return nil, redirect
	}
	var response wire.Proposed
	if err := c.Call(ctx, wire.KindPropose, wire.Propose{Command: command}, &response); err != nil {
		return nil, fromFault(err)
	}
	return response.Result, nil
}

// fromFault converts the error of a call to another replica. Without a response
// of that replica the command may have been applied.
func fromFault(err error) error {
	var fault *wire.FaultError
	if !errors.As(err, &fault) {
		return &UnknownError{Reason: err.Error()}
	}
	switch fault.Code {
	case codeNotLeader:
		leader, err := strconv.ParseUint(fault.Detail, 10, 64)
		if err != nil {
			leader = 0
		}
		return &notLeaderError{leader: leader}
	case codeUnknown:
		return &UnknownError{Reason: fault.Detail}
	}
	return &NoQuorumError{Reason: fault.Error()}
}

func toFault(err error) error {
	var notLeader *notLeaderError
	var unknown *UnknownError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &notLeader):
		return &wire.FaultError{Code: codeNotLeader, Detail: strconv.FormatUint(notLeader.leader, 10)}
	case errors.As(err, &unknown):
		return &wire.FaultError{Code: codeUnknown, Detail: unknown.Reason}
	default:
		return &wire.FaultError{Code: "noquorum", Detail: err.Error()}
	}
}

// ServePropose proposes a command forwarded by another replica. It does not
// forward it again, so that a command cannot loop between replicas. It replaces
// the time of the command by that of this replica's clock: if the clock of any
// one replica could advance the time of the state, one fast clock would end
// retention early.
func (r *Relay) ServePropose(ctx context.Context, p wire.Propose) (wire.Proposed, error) {
	var c state.Command
	if err := wire.Decode(p.Command, &c); err != nil {
		return wire.Proposed{}, err
	}
	c.Time = r.clock()
	command, err := wire.Encode(c)
	if err != nil {
		return wire.Proposed{}, err
	}
	response, err := r.proposeLocal(ctx, command)
	return wire.Proposed{Result: response}, toFault(err)
}

// CatchUp waits until the local state contains every revision that was accepted
// before the call. Its error is a *NoQuorumError.
func (r *Relay) CatchUp(ctx context.Context) error {
	confirmed, err := r.Confirm(ctx)
	if err != nil {
		return err
	}
	for r.replica.View().Newest().Number < confirmed.Number {
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return &NoQuorumError{Reason: "this replica lags behind the leader"}
		}
	}
	return nil
}
