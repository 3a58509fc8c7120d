package agent

import (
	"context"
	"time"

	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/wire"
)

// queryOwner asks the other owner of a target for its last renewal. If there is
// no response, the roster asks again.
func (a *Agent) queryOwner(action roster.Action) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		var response wire.Renew
		c, err := a.mesh.OwnerLink(ctx, action.Address)
		if err == nil {
			err = c.Call(ctx, wire.KindRenew, action.Renew, &response)
		}
		if err != nil {
			a.log.WithField("to", action.To).WithField(logs.FieldError, err.Error()).Debug("query of target owner failed")
			return
		}
		a.post(func(now time.Time) { a.performRoster(now, a.roster.HandleAnswer(now, response)) })
	}()
}

// handleOwnerQuery returns the last renewal of a target to its other owner.
func (a *Agent) handleOwnerQuery(m wire.Message) (any, error) {
	var request, response wire.Renew
	if err := wire.Decode(m.Body, &request); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	if !a.applyAndWait(ctx, func(time.Time) { response = a.roster.NewestRenewal(request) }) {
		return nil, &wire.FaultError{Code: "busy"}
	}
	return response, nil
}
