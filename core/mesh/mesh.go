package mesh

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/value"
	"github.com/galenalock/galenalock/core/wire"
)

// Mesh is the set of links of one process. It is safe for concurrent use; the
// functions given by options are called without a lock held.
type Mesh struct {
	opts    options
	ctx     context.Context
	cancel  context.CancelFunc
	server  *link.Server
	overlay *link.Dialer
	control *link.Dialer
	owner   *link.Dialer
	working sync.WaitGroup

	mu      sync.Mutex
	peers   map[string]map[*link.Conn]struct{} // overlay links by instance
	owners  map[netip.AddrPort]*owned
	dialing value.Set[string]
	closed  bool
}

// New returns a mesh without links.
func New(opts ...Option) *Mesh {
	o := options{
		hello:    func() wire.Hello { return wire.Hello{} },
		linked:   func(string, bool) {},
		unlinked: func(string) {},
		kept:     func(*link.Conn, bool) {},
		accepted: func(*link.Conn, bool) {},
		failed:   func(wire.Use, error) {},
		count:    func(string, int) {},
		ping:     time.Second,
	}
	for _, opt := range opts {
		opt(&o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{
		opts: o, ctx: ctx, cancel: cancel,
		peers:   map[string]map[*link.Conn]struct{}{},
		owners:  map[netip.AddrPort]*owned{},
		dialing: value.NewSet[string](),
	}
	m.server = link.NewServer(m.linkOptions("", m.acceptedOpen, m.acceptedEnd)...)
	m.overlay = link.NewDialer(m.linkOptions(wire.UseOverlay, m.open, m.end)...)
	m.control = link.NewDialer(m.linkOptions(wire.UseControl, m.keptOpen, m.keptEnd)...)
	m.owner = link.NewDialer(m.linkOptions(wire.UseOwner, nil, nil)...)
	return m
}

func (m *Mesh) linkOptions(use wire.Use, opened, closed func(*link.Conn)) []link.Option {
	opts := []link.Option{
		link.WithHello(func() wire.Hello {
			h := m.opts.hello()
			h.Use = use
			return h
		}),
		link.WithCount(m.opts.count),
		link.WithPing(m.opts.ping, 3*m.opts.ping),
		link.WithTLS(m.opts.tls),
		link.WithPace(pace),
	}
	if m.opts.handler != nil {
		opts = append(opts, link.WithHandler(m.opts.handler))
	}
	if opened != nil {
		opts = append(opts, link.WithOpened(opened), link.WithClosed(closed))
	}
	return opts
}

// Handler accepts links at link.Path.
func (m *Mesh) Handler() http.Handler { return m.server }

// Dial opens an overlay link in the background, unless an attempt for the
// address is under way.
func (m *Mesh) Dial(to netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.dialing.Has(to.String()) {
		return
	}
	m.dialing.Add(to.String())
	m.working.Go(func() {
		_, err := m.overlay.Dial(m.ctx, to)
		m.mu.Lock()
		m.dialing.Remove(to.String())
		m.mu.Unlock()
		if err != nil && m.ctx.Err() == nil {
			m.opts.failed(wire.UseOverlay, err)
		}
	})
}

// Keep holds a link to a control replica until the mesh is closed.
func (m *Mesh) Keep(to netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.working.Go(func() {
		m.control.Keep(m.ctx, to, func(err error) { m.opts.failed(wire.UseControl, err) })
	})
}

// Attach opens one link to a control replica in the background. Its opening and
// end are told as those of Keep; failed is told of an attempt that failed or
// took longer than limit.
func (m *Mesh) Attach(to netip.AddrPort, limit time.Duration, failed func(err error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.working.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, limit)
		defer cancel()
		if _, err := m.control.Dial(ctx, to); err != nil && m.ctx.Err() == nil {
			failed(err)
		}
	})
}

// Adopt takes in an overlay link that another server of the process accepted.
func (m *Mesh) Adopt(c *link.Conn) { m.open(c) }

// Release ends what Adopt began, when the link has ended.
func (m *Mesh) Release(c *link.Conn) { m.end(c) }

// Send sends a message to a neighbour of the overlay; without a link it is
// dropped, and the exchange of digests repairs the loss.
func (m *Mesh) Send(name string, kind wire.Kind, body any) {
	if c := m.Neighbour(name); c != nil {
		// An error means that the link has ended, which is reported separately.
		_ = c.Send(kind, body)
	}
}

// Neighbour returns an overlay link to an instance, or nil.
func (m *Mesh) Neighbour(name string) *link.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.peers[name] {
		if !c.Ended() {
			return c
		}
	}
	return nil
}

// Neighbours returns one overlay link for each linked instance.
func (m *Mesh) Neighbours() []*link.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*link.Conn, 0, len(m.peers))
	for _, conns := range m.peers {
		for c := range conns {
			if !c.Ended() {
				out = append(out, c)
				break
			}
		}
	}
	return out
}

// Drop ends the overlay links to an instance that this side opened.
func (m *Mesh) Drop(name string) {
	m.mu.Lock()
	var drop []*link.Conn
	for c := range m.peers[name] {
		if c.Dialed() {
			drop = append(drop, c)
		}
	}
	m.mu.Unlock()
	for _, c := range drop {
		c.Close("no longer needed")
	}
}

// Close ends all links and waits for the dialers.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	var conns []*link.Conn
	for _, set := range m.peers {
		for c := range set {
			conns = append(conns, c)
		}
	}
	for _, o := range m.owners {
		conns = append(conns, o.conn)
	}
	m.mu.Unlock()
	m.cancel()
	m.server.Close()
	for _, c := range conns {
		c.Close("shutdown")
	}
	m.working.Wait()
}

func (m *Mesh) acceptedOpen(c *link.Conn) {
	if c.Peer().Use == wire.UseOverlay {
		m.open(c)
		return
	}
	m.opts.accepted(c, true)
}

func (m *Mesh) acceptedEnd(c *link.Conn) {
	if c.Peer().Use == wire.UseOverlay {
		m.end(c)
		return
	}
	m.opts.accepted(c, false)
}

func (m *Mesh) keptOpen(c *link.Conn) { m.opts.kept(c, true) }
func (m *Mesh) keptEnd(c *link.Conn)  { m.opts.kept(c, false) }

func (m *Mesh) open(c *link.Conn) {
	name := c.Peer().Instance
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		c.Close("shutdown")
		return
	}
	if m.peers[name] == nil {
		m.peers[name] = map[*link.Conn]struct{}{}
	}
	m.peers[name][c] = struct{}{}
	m.mu.Unlock()
	m.opts.linked(name, c.Dialed())
}

func (m *Mesh) end(c *link.Conn) {
	name := c.Peer().Instance
	m.mu.Lock()
	delete(m.peers[name], c)
	last := len(m.peers[name]) == 0
	if last {
		delete(m.peers, name)
	}
	m.mu.Unlock()
	if last {
		m.opts.unlinked(name)
	}
}
