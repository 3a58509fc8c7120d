package mesh

import (
	"context"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/wire"
)

// ownerPingInterval is the time between pings on links to owners. An instance has
// links to most others of its data centre; pinging all of them every second would
// cost several times the 2 KB/s that control traffic may use per node. When a
// renewal is lost on a dead link, the other owner still has it.
const ownerPingInterval = 20 * time.Second

func pingTimes(use wire.Use) (interval, timeout time.Duration, ok bool) {
	return ownerPingInterval, 3 * ownerPingInterval, use == wire.UseOwner
}

// ownerLink is a link to an owner with the timer that closes it when idle.
type ownerLink struct {
	conn *link.Conn
	idle *time.Timer
}

// OwnerLink returns a link to the owner of a target and opens one if there is
// none. A link that is not requested for ownerIdleTimeout is closed.
func (m *Mesh) OwnerLink(ctx context.Context, to netip.AddrPort) (*link.Conn, error) {
	if c := m.reuseOwnerLink(to); c != nil {
		return c, nil
	}
	c, err := m.ownerDialer.Dial(ctx, to)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		c.Close("shutdown")
		return nil, &link.ClosedError{Reason: "shutdown"}
	}
	if prior := m.ownerLinks[to]; prior != nil && !prior.conn.Ended() {
		c.Close("another link was opened meanwhile")
		return prior.conn, nil
	}
	m.ownerLinks[to] = &ownerLink{conn: c, idle: time.AfterFunc(ownerIdleTimeout, func() { m.expireOwnerLink(to, c) })}
	return c, nil
}

func (m *Mesh) reuseOwnerLink(to netip.AddrPort) *link.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.ownerLinks[to]
	if o == nil || o.conn.Ended() {
		return nil
	}
	o.idle.Reset(ownerIdleTimeout)
	return o.conn
}

func (m *Mesh) expireOwnerLink(to netip.AddrPort, c *link.Conn) {
	m.mu.Lock()
	if o := m.ownerLinks[to]; o != nil && o.conn == c {
		delete(m.ownerLinks, to)
	}
	m.mu.Unlock()
	c.Close("idle")
}
