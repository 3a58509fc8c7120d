package daemon

import (
	"net/netip"
	"slices"
)

// ReloadFile reads a settings file again and takes over what can change while
// the replica runs. Its error is of type *conf.Error and leaves all as it was.
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
	if !slices.Equal(s.Seeds, *d.seeds.Load()) {
		d.reseed(s.Seeds)
	}
	d.parts.log.WithField("seeds", len(s.Seeds)).Info("settings reloaded")
}

// reseed replaces the addresses that this replica asks when it is outside the
// group. The members of the group do not change.
func (d *Daemon) reseed(seeds []netip.AddrPort) {
	d.seeds.Store(&seeds)
	d.parts.log.WithField("seeds", len(seeds)).Info("seeds replaced")
}
