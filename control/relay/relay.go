package relay

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// retryPause lies between attempts while there is no leader; elections
	// take a second or more.
	retryPause = 20 * time.Millisecond
	// attemptTimeout bounds one attempt, so that a leader that has gone silent
	// does not take all of a caller's time.
	attemptTimeout = 2 * time.Second
)

// Codes of the faults between replicas.
const (
	codeNotLeader = "notleader"
	codeUnknown   = "unknown"
)

// Group is the local replica.
type Group struct {
	Propose func(ctx context.Context, command []byte) ([]byte, error)
	Read    func(ctx context.Context) error
	View    func() *state.View
}

// Relay is safe for concurrent use.
type Relay struct {
	group Group
	links *Links
	clock func() time.Time
}

// New returns a relay.
func New(g Group, links *Links, clock func() time.Time) *Relay {
	return &Relay{group: g, links: links, clock: clock}
}

// Propose stamps the time into a command and has it applied. Commands that
// give the same answer when they are applied again are repeated until ctx ends.
// The errors are *UnknownError, *NoQuorumError, *StoppedError, *SizeError and
// *MalformedError.
func (r *Relay) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	maybe := false
	for {
		result, err := r.attempt(ctx, c)
		var unknown *UnknownError
		switch {
		case err == nil && result.Fault != "":
			return result, &MalformedError{Reason: result.Fault}
		case err == nil:
			return result, nil
		case errors.As(err, &unknown):
			if c.Grant != nil {
				return result, err
			}
			maybe = true
		case final(err):
			if maybe {
				return result, &UnknownError{Reason: err.Error()}
			}
			return result, err
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			if maybe {
				return result, &UnknownError{Reason: err.Error()}
			}
			return result, &NoQuorumError{Reason: err.Error()}
		}
	}
}

// final reports whether another attempt would fail in the same way.
func final(err error) bool {
	var size *SizeError
	var stopped *StoppedError
	return errors.As(err, &size) || errors.As(err, &stopped)
}

func (r *Relay) attempt(ctx context.Context, c state.Command) (state.Result, error) {
	c.Time = r.clock()
	var result state.Result
	data, err := wire.Encode(c)
	if err != nil {
		return result, err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	answer, err := r.local(ctx, data)
	var elsewhere *notLeaderError
	if errors.As(err, &elsewhere) {
		answer, err = r.remote(ctx, elsewhere, data)
	}
	if err != nil {
		return result, err
	}
	return result, wire.Decode(answer, &result)
}

func (r *Relay) local(ctx context.Context, command []byte) ([]byte, error) {
	answer, err := r.group.Propose(ctx, command)
	return answer, translate(err)
}

// translate turns the errors of the group into those of the relay. All but
// *group.UnknownError mean that the command is not applied.
func translate(err error) error {
	var elsewhere *group.NotLeaderError
	var unknown *group.UnknownError
	var size *group.SizeError
	var stopped *group.ShutdownError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &elsewhere):
		return &notLeaderError{leader: elsewhere.Leader}
	case errors.As(err, &unknown):
		return &UnknownError{Reason: unknown.Error()}
	case errors.As(err, &size):
		return &SizeError{Size: size.Size, Max: size.Max}
	case errors.As(err, &stopped):
		return &StoppedError{}
	default:
		return &NoQuorumError{Reason: err.Error()}
	}
}

func (r *Relay) remote(ctx context.Context, to *notLeaderError, command []byte) ([]byte, error) {
	c := r.links.To(to.leader)
	if to.leader == 0 || c == nil {
		return nil, to
	}
	var answer wire.Proposed
	if err := c.Call(ctx, wire.KindPropose, wire.Propose{Command: command}, &answer); err != nil {
		return nil, fromFault(err)
	}
	return answer.Result, nil
}

// fromFault reads the answer of another replica. Without one the command may
// have been applied.
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
	var elsewhere *notLeaderError
	var unknown *UnknownError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &elsewhere):
		return &wire.FaultError{Code: codeNotLeader, Detail: strconv.FormatUint(elsewhere.leader, 10)}
	case errors.As(err, &unknown):
		return &wire.FaultError{Code: codeUnknown, Detail: unknown.Reason}
	default:
		return &wire.FaultError{Code: "noquorum", Detail: err.Error()}
	}
}

// ServePropose answers a command forwarded by another replica. It does not
// forward it again, so that a command cannot circle. The command gets the time
// of this replica: retention would end early if the clock of any one replica
// could move the time of the state ahead.
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
	answer, err := r.local(ctx, command)
	return wire.Proposed{Result: answer}, toFault(err)
}

// ServeConfirm answers a Confirm forwarded by another replica.
func (r *Relay) ServeConfirm(ctx context.Context) (wire.Confirmed, error) {
	confirmed, err := r.confirmLocal(ctx)
	return confirmed, toFault(err)
}

func (r *Relay) confirmLocal(ctx context.Context) (wire.Confirmed, error) {
	if err := translate(r.group.Read(ctx)); err != nil {
		return wire.Confirmed{}, err
	}
	newest := r.group.View().Newest()
	return wire.Confirmed{Number: newest.Number, Sum: newest.Sum}, nil
}

// Confirm returns the revision that a majority confirms as the newest one
// accepted before the call. Its error is a *NoQuorumError.
func (r *Relay) Confirm(ctx context.Context) (wire.Confirmed, error) {
	for {
		confirmed, err := r.confirm(ctx)
		if err == nil {
			return confirmed, nil
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return confirmed, &NoQuorumError{Reason: err.Error()}
		}
	}
}

func (r *Relay) confirm(ctx context.Context) (wire.Confirmed, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	confirmed, err := r.confirmLocal(ctx)
	var elsewhere *notLeaderError
	if !errors.As(err, &elsewhere) {
		return confirmed, err
	}
	var c *link.Conn
	if elsewhere.leader != 0 {
		c = r.links.To(elsewhere.leader)
	}
	if c == nil {
		return confirmed, err
	}
	err = c.Call(ctx, wire.KindConfirm, wire.Confirm{}, &confirmed)
	return confirmed, err
}

// Fresh returns when the local state holds every revision that was accepted
// before the call. Its error is a *NoQuorumError.
func (r *Relay) Fresh(ctx context.Context) error {
	confirmed, err := r.Confirm(ctx)
	if err != nil {
		return err
	}
	for r.group.View().Newest().Number < confirmed.Number {
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return &NoQuorumError{Reason: "this replica lags behind the leader"}
		}
	}
	return nil
}
