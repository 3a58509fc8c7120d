package agent

import (
	"github.com/galenalock/galenalock/core/quota"
	"github.com/galenalock/galenalock/entry/proxy"
)

// recordLimit records what a response says about the limit of its target. Only a
// complete answer lifts a limit, since other responses may lack the header.
func (a *Agent) recordLimit(t *target, at proxy.Attempt, o proxy.Outcome) {
	if !o.Limit.Limited && o.Class != proxy.Answered {
		return
	}
	a.logLimitEvent(t, t.quota.Observe(o.End, at.Start, o.Limit))
}

// logLimitEvent logs and counts a change of the limit of a target.
func (a *Agent) logLimitEvent(t *target, event quota.Event) {
	if event == quota.Unchanged {
		return
	}
	a.hooks.CountLimit(event)
	a.log.WithField("service", t.Service).WithField("target", t.Name).WithField("change", string(event)).
		WithField("rate", t.quota.Report().Rate).Info("target limit")
}
