package daemon

import (
	"slices"
)

// ReloadFile reads a settings file again and applies the settings that can change
// while the entry runs. An error is of type *conf.Error; nothing changes then.
func (d *Daemon) ReloadFile(file string) error {
	s, err := Load(file)
	if err == nil {
		d.Reload(s)
	}
	return err
}

// Reload applies the seeds of new settings. All other settings take effect at the
// next start.
func (d *Daemon) Reload(s Settings) {
	if !slices.Equal(s.Seeds, d.settings.Seeds) {
		d.settings.Seeds = s.Seeds
		d.agent.ReplaceSeeds(s.Seeds)
	}
	d.log.WithField("seeds", len(s.Seeds)).Info("settings reloaded")
}
