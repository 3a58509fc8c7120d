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
	// reconcileInterval is the interval at which links are adjusted to the members
	// of the group. It limits the delay of a link to an added replica.
	reconcileInterval = 250 * time.Millisecond
	// reloadInterval is the interval at which files are read again.
	reloadInterval = 10 * time.Second
)

// dialedLink is a link to another replica that is dialled again when it closes.
type dialedLink struct {
	address netip.AddrPort
	stop    func()
}

// maintainLinks keeps a link to each other replica. It follows changes of the
// members and the seeds.
func (d *Daemon) maintainLinks(ctx context.Context) {
	links := map[uint64]dialedLink{}
	var running sync.WaitGroup
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		wanted := d.otherReplicas()
		for id, k := range links {
			if wanted[id] != k.address {
				k.stop()
				delete(links, id)
			}
		}
		for id, address := range wanted {
			if _, ok := links[id]; ok {
				continue
			}
			inner, stop := context.WithCancel(ctx)
			links[id] = dialedLink{address: address, stop: stop}
			running.Go(func() {
				d.parts.dialer.KeepConnected(inner, address, func(err error) {
					d.parts.log.WithField("to", address.String()).WithField(logs.FieldError, err.Error()).Debug("not linked to replica")
				})
			})
		}
		select {
		case <-ctx.Done():
			for _, k := range links {
				k.stop()
			}
			running.Wait()
			return
		case <-ticker.C:
		}
	}
}

// otherReplicas returns the addresses of the other replicas by number. The members
// of the group take precedence over the settings, which may be older.
func (d *Daemon) otherReplicas() map[uint64]netip.AddrPort {
	status := d.parts.group.Status()
	out := map[uint64]netip.AddrPort{}
	if len(status.Members) == 0 {
		out = maps.Clone(d.settings.founderAddresses())
	}
	for _, m := range status.Members {
		out[m.ID] = m.Addr
		if !m.Addr.IsValid() {
			out[m.ID] = d.settings.Replicas[m.ID]
		}
	}
	if d.mustJoin(status) {
		for _, seed := range *d.seeds.Load() {
			out[replicaNumberAt(seed)] = seed
		}
	}
	delete(out, d.settings.replicaNumber())
	for id, address := range out {
		if !address.IsValid() {
			delete(out, id)
		}
	}
	return out
}

// runPeriodic reloads tokens and certificates and updates the counter of log syncs.
func (d *Daemon) runPeriodic(ctx context.Context) {
	p := d.parts
	ticker := time.NewTicker(reloadInterval)
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
			p.log.WithField(logs.FieldError, err.Error()).Warn("tokens not reloaded")
		}
		if p.certs == nil {
			continue
		}
		if err := p.certs.Reload(); err != nil {
			p.log.WithField(logs.FieldError, err.Error()).Warn("certificates not reloaded")
		}
	}
}
