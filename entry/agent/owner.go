package agent

import (
	"context"
	"time"

	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/wire"
)

// askOwner puts the question of an owner to the other owner of a target. Without an
// answer the roster asks again.
func (a *Agent) askOwner(action roster.Action) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		var answer wire.Renew
		c, err := a.mesh.Reach(ctx, action.Address)
		if err == nil {
			err = c.Call(ctx, wire.KindRenew, action.Renew, &answer)
		}
		if err != nil {
			a.log.WithField("to", action.To).WithField(logs.FieldError, err.Error()).Debug("owner not asked")
			return
		}
		a.post(func(now time.Time) { a.performRoster(now, a.roster.Answered(now, answer)) })
	}()
}

// answerAsk answers the question of the other owner of a target.
func (a *Agent) answerAsk(m wire.Message) (any, error) {
	var question, answer wire.Renew
	if err := wire.Decode(m.Body, &question); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	if !a.await(ctx, func(time.Time) { answer = a.roster.Asked(question) }) {
		return nil, &wire.FaultError{Code: "busy"}
	}
	return answer, nil
}
