package agent

import "github.com/galenalock/galenalock/entry/proxy"

// Events of targets that want no further requests, the values of an attribute of a
// counter.
const (
	targetPaused  = "paused"
	targetLeaving = "leaving"
)

// recordPause records that a target wants no request for some time, or none at all.
func (a *Agent) recordPause(t *target, o proxy.Outcome) {
	log := a.log.WithField("service", t.Service).WithField("target", t.Name)
	if o.Leaving && t.quota.Leave() {
		a.hooks.CountPause(targetLeaving)
		log.Info("target leaves")
	}
	if o.Pause > 0 && t.quota.Pause(o.End, o.Pause) {
		a.hooks.CountPause(targetPaused)
		log.WithField("pause", o.Pause.String()).Info("target pauses")
	}
}
