package daemon

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/galenalock/galenalock/core/logs"
)

const (
	// reconcileEvery bounds how late a replica links to one that was added.
	reconcileEvery = 250 * time.Millisecond
	reloadEvery    = 10 * time.Second
)

// kept is a link that is dialled again whenever it ends.
type kept struct {
	to   netip.AddrPort
	stop func()
}

// dialAll keeps a link to each other replica, those of the settings and those
// of the group's configuration.
func (d *Daemon) dialAll(ctx context.Context) {
	links := map[uint64]kept{}
	var wait sync.WaitGroup
	ticker := time.NewTicker(reconcileEvery)
	defer ticker.Stop()
	for {
		wanted := d.others()
		for id, k := range links {
			if wanted[id] != k.to {
				k.stop()
				delete(links, id)
			}
		}
		for id, to := range wanted {
			if _, ok := links[id]; ok {
				continue
			}
			inner, stop := context.WithCancel(ctx)
			links[id] = kept{to: to, stop: stop}
			wait.Go(func() {
				d.parts.dialer.Keep(inner, to, func(err error) {
					d.parts.log.WithField("to", to.String()).WithField(logs.FieldError, err.Error()).Debug("link")
				})
			})
		}
		select {
		case <-ctx.Done():
			for _, k := range links {
				k.stop()
			}
			wait.Wait()
			return
		case <-ticker.C:
		}
	}
}

// others returns the addresses of the other replicas. What the group has
// agreed on goes before the settings, which may be older.
func (d *Daemon) others() map[uint64]netip.AddrPort {
	status := d.parts.group.Status()
	out := map[uint64]netip.AddrPort{}
	if len(status.Members) == 0 {
		out = maps.Clone(d.settings.founders())
	}
	for _, m := range status.Members {
		out[m.ID] = m.Addr
		if !m.Addr.IsValid() {
			out[m.ID] = d.settings.Replicas[m.ID]
		}
	}
	if d.outside(status) {
		for _, seed := range *d.seeds.Load() {
			out[replicaOf(seed)] = seed
		}
	}
	delete(out, d.settings.replica())
	for id, to := range out {
		if !to.IsValid() {
			delete(out, id)
		}
	}
	return out
}

// watch reloads tokens and certificates and counts the syncs of the disk.
func (d *Daemon) watch(ctx context.Context) {
	p := d.parts
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	var syncs uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now := p.group.Status().Syncs; now > syncs {
			p.syncs.Add(int64(now-syncs), "")
			syncs = now
		}
		if err := p.auth.Reload(); err != nil {
			p.log.WithField(logs.FieldError, err.Error()).Warn("tokens")
		}
		if p.certs == nil {
			continue
		}
		if err := p.certs.Reload(); err != nil {
			p.log.WithField(logs.FieldError, err.Error()).Warn("certificates")
		}
	}
}
