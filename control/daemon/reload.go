package daemon

import (
	"net/netip"
	"slices"
)

// ReloadFile reads a settings file again and applies the settings that can change
// while the replica runs. An error is of type *conf.Error; nothing changes then.
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
	if !slices.Equal(s.Seeds, *d.seeds.Load()) {
		d.replaceSeeds(s.Seeds)
	}
	d.parts.log.WithField("seeds", len(s.Seeds)).Info("settings reloaded")
}

// replaceSeeds replaces the addresses that this replica dials when it is not a
// member of the group. The members of the group do not change.
func (d *Daemon) replaceSeeds(seeds []netip.AddrPort) {
	d.seeds.Store(&seeds)
	d.parts.log.WithField("seeds", len(seeds)).Info("seeds replaced")
}
