package mesh

import (
	"context"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/wire"
)

// ownerPing is the time between pings on links to owners. An instance has links
// to most others of its data centre; a ping each second on all of them would
// cost several times the 2 KB/s that control may use per node. A renewal that
// is lost on a silent link is made good by the other owner.
const ownerPing = 20 * time.Second

func pace(use wire.Use) (every, silence time.Duration, ok bool) {
	return ownerPing, 3 * ownerPing, use == wire.UseOwner
}

// owned is a link opened on demand.
type owned struct {
	conn *link.Conn
	idle *time.Timer
}

// Reach returns a link to the owner of a target, opening one when there is
// none. Links that are not used for a minute end.
func (m *Mesh) Reach(ctx context.Context, to netip.AddrPort) (*link.Conn, error) {
	if c := m.reuse(to); c != nil {
		return c, nil
	}
	c, err := m.owner.Dial(ctx, to)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		c.Close("shutdown")
		return nil, &link.ClosedError{Reason: "shutdown"}
	}
	if prior := m.owners[to]; prior != nil && !prior.conn.Ended() {
		c.Close("another link was opened meanwhile")
		return prior.conn, nil
	}
	m.owners[to] = &owned{conn: c, idle: time.AfterFunc(idleTime, func() { m.expire(to, c) })}
	return c, nil
}

func (m *Mesh) reuse(to netip.AddrPort) *link.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.owners[to]
	if o == nil || o.conn.Ended() {
		return nil
	}
	o.idle.Reset(idleTime)
	return o.conn
}

func (m *Mesh) expire(to netip.AddrPort, c *link.Conn) {
	m.mu.Lock()
	if o := m.owners[to]; o != nil && o.conn == c {
		delete(m.owners, to)
	}
	m.mu.Unlock()
	c.Close("idle")
}
