package agent

import (
	"maps"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/eject"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/value"
	"github.com/galenalock/galenalock/core/wire"
)

// maxPause is the longest pause of the control goroutine that is tolerated. After
// a longer one, orders in buffers may be older than the message delay that the
// leader allows for, and their leases would be counted from too late a time.
const maxPause = eject.MaxMessageDelay

// applyOrders applies the grants, the watch list and the drains that control has
// sent.
func (a *Agent) applyOrders(now time.Time, c *link.Conn, o wire.Orders) {
	if a.checkPause(now) || c.Ended() || o.Index < a.orderIndex {
		return
	}
	a.orderIndex = o.Index
	a.leaseTable.SetOrders(now, o)
	for _, u := range a.upstreams {
		u.setWatched(now, a.leaseTable.Watched(u.service.Name))
	}
	if next := value.NewSet(o.Drains...); !maps.Equal(next, a.drains) {
		a.drains = next
		a.updateLeaseTable(now)
		a.markAllDirty()
	}
	if on := a.drains.Has(a.settings.Instance); on != a.draining {
		a.draining = on
		a.hooks.SetDrained(on)
		a.publish(now)
	}
}

// checkPause closes the links to control if this process was paused, and reports
// whether it was. A lease is counted from its arrival, so orders that were sent
// before the pause must not be applied. Control sends the current orders on the
// next links.
func (a *Agent) checkPause(now time.Time) bool {
	paused := !a.lastTick.IsZero() && now.Sub(a.lastTick) > maxPause
	if paused {
		a.log.WithField("pause", now.Sub(a.lastTick).String()).Warn("instance was paused")
		for _, c := range *a.controlLinks.Load() {
			c.Close("instance was paused")
		}
	}
	return paused
}

// setWatched applies the watch list of a service.
func (u *upstream) setWatched(now time.Time, watched []netip.AddrPort) {
	u.monitor.SetWatched(watched)
	next := make(map[netip.AddrPort]time.Time, len(watched))
	for _, address := range watched {
		since, ok := u.watchedSince[address]
		if !ok {
			since, u.dirty = now, true
		}
		next[address] = since
	}
	u.dirty = u.dirty || len(next) != len(u.watchedSince)
	u.watchedSince = next
}

func (a *Agent) markAllDirty() {
	for _, u := range a.upstreams {
		u.dirty = true
	}
}
