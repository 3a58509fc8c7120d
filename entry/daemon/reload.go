package daemon

import (
	"slices"
)

// ReloadFile reads a settings file again and takes over what can change while
// the entry runs. Its error is of type *conf.Error and leaves all as it was.
func (d *Daemon) ReloadFile(file string) error {
	s, err := Load(file)
	if err == nil {
		d.Reload(s)
	}
	return err
}

// Reload takes over the seeds of new settings. All others take effect at the
// next start.
func (d *Daemon) Reload(s Settings) {
	if !slices.Equal(s.Seeds, d.settings.Seeds) {
		d.settings.Seeds = s.Seeds
		d.agent.Reseed(s.Seeds)
	}
	d.log.WithField("seeds", len(s.Seeds)).Info("settings reloaded")
}
