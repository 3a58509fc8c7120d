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

// frozenAfter is the pause of the control goroutine from which orders that
// wait in buffers may be older than their leases allow; it is the delay of
// messages that the leader reckons with.
const frozenAfter = eject.Delay

// orders takes what control wants of the entry.
func (a *Agent) orders(now time.Time, c *link.Conn, o wire.Orders) {
	if a.checkPause(now) || c.Ended() || o.Index < a.orderIndex {
		return
	}
	a.orderIndex = o.Index
	a.keeper.Orders(now, o)
	for _, u := range a.upstreams {
		u.follow(now, a.keeper.Watched(u.service.Name))
	}
	if next := value.NewSet(o.Drains...); !maps.Equal(next, a.drains) {
		a.drains = next
		a.tellKeeper(now)
		a.dirtyAll()
	}
	if on := a.drains.Has(a.settings.Instance); on != a.draining {
		a.draining = on
		a.hooks.Drain(on)
		a.publish(now)
	}
}

// checkPause ends the links to control after a pause of this process. A lease counts
// from its arrival, so orders that were sent before the pause must not be taken
// for new ones; control sends the present ones on the next links.
func (a *Agent) checkPause(now time.Time) bool {
	frozen := !a.ticked.IsZero() && now.Sub(a.ticked) > frozenAfter
	if frozen {
		a.log.WithField("pause", now.Sub(a.ticked).String()).Warn("instance was paused")
		for _, c := range *a.control.Load() {
			c.Close("instance was paused")
		}
	}
	return frozen
}

// follow takes the watch list of a service.
func (u *upstream) follow(now time.Time, watched []netip.AddrPort) {
	u.monitor.Watch(watched)
	next := make(map[netip.AddrPort]time.Time, len(watched))
	for _, address := range watched {
		since, ok := u.watched[address]
		if !ok {
			since, u.dirty = now, true
		}
		next[address] = since
	}
	u.dirty = u.dirty || len(next) != len(u.watched)
	u.watched = next
}

func (a *Agent) dirtyAll() {
	for _, u := range a.upstreams {
		u.dirty = true
	}
}
