package agent

import (
	"context"
	"errors"
	"time"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/wire"
)

// askTimeout bounds one question to one control replica, so that a replica that
// stopped answering leaves time for another.
const askTimeout = 700 * time.Millisecond

// ControlError is a question that no control replica answered. The command may
// or may not have been applied.
type ControlError struct{ Err error }

// Error gives the last failure.
func (e *ControlError) Error() string {
	if e.Err == nil {
		return "no link to control"
	}
	return "control: " + e.Err.Error()
}

// Unwrap returns the last failure.
func (e *ControlError) Unwrap() error { return e.Err }

// Claim asks control for the right to dispatch a keyed request. The same claim
// may be asked again, so another replica is tried when one does not answer.
func (a *Agent) Claim(ctx context.Context, c wire.Claim) (wire.Claimed, error) {
	return a.ask(ctx, wire.KindClaim, c)
}

// Close records how a claim ended.
func (a *Agent) Close(ctx context.Context, c wire.Close) (wire.Claimed, error) {
	return a.ask(ctx, wire.KindClose, c)
}

func (a *Agent) ask(ctx context.Context, kind wire.Kind, body any) (wire.Claimed, error) {
	var last error
	for _, c := range *a.control.Load() {
		answer, err := askOne(ctx, c, kind, body)
		if err == nil {
			return answer, nil
		}
		last = err
		var fault *wire.FaultError
		if errors.As(err, &fault) && fault.Code == "malformed" || ctx.Err() != nil {
			break
		}
	}
	return wire.Claimed{}, &ControlError{Err: last}
}

func askOne(ctx context.Context, c *link.Conn, kind wire.Kind, body any) (wire.Claimed, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var answer wire.Claimed
	err := c.Call(ctx, kind, body, &answer)
	return answer, err
}
