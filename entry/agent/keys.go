package agent

import (
	"time"

	"github.com/galenalock/galenalock/core/boot"
	"github.com/galenalock/galenalock/core/update"
)

// hasKeys reports whether the configuration in force has keys of workspaces.
func (a *Agent) hasKeys() bool {
	text := a.update.Text()
	return text != nil && text.HasKeys()
}

// askInterval returns the interval of confirmations that keys need, 0 without keys.
func (a *Agent) askInterval() time.Duration {
	if !a.hasKeys() {
		return 0
	}
	return update.FrequentInterval(a.settings.Revoke)
}

// Freshness tells for which decisions about keys the current view is recent enough.
func (a *Agent) Freshness() update.Freshness { return a.age.Freshness(boot.Now()) }

// logFreshness logs when requests with keys begin to be refused because the
// configuration is not confirmed, and when that ends.
func (a *Agent) logFreshness() {
	now := boot.Now()
	outdated := a.hasKeys() && a.age.Freshness(now) == update.Outdated
	if outdated == a.loggedOutdated {
		return
	}
	a.loggedOutdated = outdated
	log := a.log.WithField("revision", a.update.Number()).WithField("links", len(*a.controlLinks.Load()))
	if !outdated {
		log.Info("configuration confirmed, requests with keys are served")
		return
	}
	if age, confirmed := a.age.Of(now); confirmed {
		log = log.WithField("age", age.String())
	}
	log.Warn("configuration not confirmed, requests with keys are refused")
}
