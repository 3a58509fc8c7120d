package daemon

import (
	"slices"
)

// Reload takes over the seeds of new settings. All others take effect at the
// next start.
func (d *Daemon) Reload(s Settings) {
	if !slices.Equal(s.Seeds, d.settings.Seeds) {
		d.settings.Seeds = s.Seeds
		d.agent.Reseed(s.Seeds)
	}
	d.log.WithField("seeds", len(s.Seeds)).Info("settings reloaded")
}
