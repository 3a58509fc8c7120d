package agent

import (
	"context"
	"errors"
	"time"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/wire"
)

// replicaTimeout limits a call to one control replica, so that time is left to
// try another one if the replica does not respond.
const replicaTimeout = 700 * time.Millisecond

// fullRetryAfter is the time after which a keyed request may be resent for which control
// had no room. Room comes free as keys expire.
const fullRetryAfter = 10 * time.Second

// ControlError reports that no control replica answered a call. The command may
// or may not have been applied.
type ControlError struct{ Err error }

// Error describes the failure of the last replica that was called.
func (e *ControlError) Error() string {
	if e.Err == nil {
		return "no link to control"
	}
	return "control: " + e.Err.Error()
}

// Unwrap returns the failure of the last replica that was called.
func (e *ControlError) Unwrap() error { return e.Err }

// Claim asks control for permission to dispatch a keyed request. Claims are
// idempotent, so another replica is tried if one does not answer.
func (a *Agent) Claim(ctx context.Context, c wire.Claim) (wire.Claimed, error) {
	return a.callControl(ctx, wire.KindClaim, c)
}

// Close records the outcome of a claim.
func (a *Agent) Close(ctx context.Context, c wire.Close) (wire.Claimed, error) {
	return a.callControl(ctx, wire.KindClose, c)
}

func (a *Agent) callControl(ctx context.Context, kind wire.Kind, body any) (wire.Claimed, error) {
	var last error
	for _, c := range *a.controlLinks.Load() {
		response, err := callReplica(ctx, c, kind, body)
		if err == nil {
			return response, nil
		}
		last = err
		var fault *wire.FaultError
		known := errors.As(err, &fault)
		if known && fault.Code == wire.FaultFull {
			return wire.Claimed{}, &refuse.Error{Reason: refuse.Overload, Run: refuse.NotRun, RetryAfter: fullRetryAfter, Err: err}
		}
		if known && fault.Code == "malformed" || ctx.Err() != nil {
			break
		}
	}
	return wire.Claimed{}, &ControlError{Err: last}
}

func callReplica(ctx context.Context, c *link.Conn, kind wire.Kind, body any) (wire.Claimed, error) {
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	var response wire.Claimed
	err := c.Call(ctx, kind, body, &response)
	return response, err
}
