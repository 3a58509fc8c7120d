package mesh

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/value"
	"github.com/galenalock/galenalock/core/wire"
)

// Mesh is the set of links of one process. It is safe for concurrent use. It
// calls the functions set by options without holding a lock.
type Mesh struct {
	opts          options
	ctx           context.Context
	cancel        context.CancelFunc
	server        *link.Server
	overlayDialer *link.Dialer
	controlDialer *link.Dialer
	ownerDialer   *link.Dialer
	dialers       sync.WaitGroup

	mu         sync.Mutex
	peers      map[string]map[*link.Conn]struct{} // overlay links by instance
	ownerLinks map[netip.AddrPort]*ownerLink
	controls   map[*link.Conn]struct{} // dialled links to control replicas
	dialing    value.Set[string]
	closed     bool
}

// New returns a mesh without links.
func New(opts ...Option) *Mesh {
	o := options{
		hello:        func() wire.Hello { return wire.Hello{} },
		linked:       func(string, bool) {},
		unlinked:     func(string) {},
		control:      func(*link.Conn, bool) {},
		accepted:     func(*link.Conn, bool) {},
		failed:       func(wire.Use, error) {},
		panicked:     func(*link.PanicError) {},
		countBytes:   func(string, int) {},
		pingInterval: time.Second,
	}
	for _, opt := range opts {
		opt(&o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{
		opts: o, ctx: ctx, cancel: cancel,
		peers:      map[string]map[*link.Conn]struct{}{},
		ownerLinks: map[netip.AddrPort]*ownerLink{},
		controls:   map[*link.Conn]struct{}{},
		dialing:    value.NewSet[string](),
	}
	m.server = link.NewServer(m.linkOptions("", m.acceptedOpened, m.acceptedClosed)...)
	m.overlayDialer = link.NewDialer(m.linkOptions(wire.UseOverlay, m.overlayOpened, m.overlayClosed)...)
	m.controlDialer = link.NewDialer(m.linkOptions(wire.UseControl, m.controlOpened, m.controlClosed)...)
	m.ownerDialer = link.NewDialer(m.linkOptions(wire.UseOwner, nil, nil)...)
	return m
}

func (m *Mesh) linkOptions(use wire.Use, opened, closed func(*link.Conn)) []link.Option {
	opts := []link.Option{
		link.WithHello(func() wire.Hello {
			h := m.opts.hello()
			h.Use = use
			return h
		}),
		link.WithByteCounter(m.opts.countBytes),
		link.WithPanicHook(m.opts.panicked),
		link.WithKeepalive(m.opts.pingInterval, 3*m.opts.pingInterval),
		link.WithTLS(m.opts.tls),
		link.WithDial(m.opts.dial),
		link.WithKeepaliveByUse(pingTimes),
		link.WithControlPing(m.opts.controlPing),
	}
	if m.opts.handler != nil {
		opts = append(opts, link.WithHandler(m.opts.handler))
	}
	if opened != nil {
		opts = append(opts, link.WithOpenHook(opened), link.WithCloseHook(closed))
	}
	return opts
}

// Handler returns the HTTP handler that accepts links. It is served at link.Path.
func (m *Mesh) Handler() http.Handler { return m.server }

// Dial opens an overlay link in the background, unless an attempt for the same
// address is in progress.
func (m *Mesh) Dial(to netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.dialing.Has(to.String()) {
		return
	}
	m.dialing.Add(to.String())
	m.dialers.Go(func() {
		_, err := m.overlayDialer.Dial(m.ctx, to)
		m.mu.Lock()
		m.dialing.Remove(to.String())
		m.mu.Unlock()
		if err != nil && m.ctx.Err() == nil {
			m.opts.failed(wire.UseOverlay, err)
		}
	})
}

// KeepControlLink maintains a link to a control replica until the mesh is closed.
func (m *Mesh) KeepControlLink(to netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.dialers.Go(func() {
		m.controlDialer.KeepConnected(m.ctx, to, func(err error) { m.opts.failed(wire.UseControl, err) })
	})
}

// OpenControlLink opens one link to a control replica in the background. Its
// opening and end are reported as those of KeepControlLink. If the attempt fails
// or takes longer than limit, failed is called.
func (m *Mesh) OpenControlLink(to netip.AddrPort, limit time.Duration, failed func(err error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.dialers.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, limit)
		defer cancel()
		if _, err := m.controlDialer.Dial(ctx, to); err != nil && m.ctx.Err() == nil {
			failed(err)
		}
	})
}

// Adopt adds an overlay link that another server of the process accepted.
func (m *Mesh) Adopt(c *link.Conn) { m.overlayOpened(c) }

// Release removes a link added by Adopt. It must be called when the link has
// ended.
func (m *Mesh) Release(c *link.Conn) { m.overlayClosed(c) }

// Send sends a message to a neighbour in the overlay. Without a link the message
// is dropped, and the exchange of gossip digests repairs the loss.
func (m *Mesh) Send(name string, kind wire.Kind, body any) {
	if c := m.Neighbour(name); c != nil {
		// An error means that the link has ended, which is reported separately.
		_ = c.Send(kind, body)
	}
}

// Neighbour returns an open overlay link to an instance, or nil.
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

// Neighbours returns one open overlay link for each linked instance.
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

// Drop closes the overlay links to an instance that this side dialled.
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

// Close closes all links and waits for the dialling goroutines.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	var conns []*link.Conn
	for _, set := range m.peers {
		for c := range set {
			conns = append(conns, c)
		}
	}
	for _, o := range m.ownerLinks {
		conns = append(conns, o.conn)
	}
	conns = slices.AppendSeq(conns, maps.Keys(m.controls))
	m.mu.Unlock()
	m.cancel()
	m.server.Close()
	for _, c := range conns {
		c.Close("shutdown")
	}
	m.dialers.Wait()
}

func (m *Mesh) acceptedOpened(c *link.Conn) {
	if c.Peer().Use == wire.UseOverlay {
		m.overlayOpened(c)
		return
	}
	m.opts.accepted(c, true)
}

func (m *Mesh) acceptedClosed(c *link.Conn) {
	if c.Peer().Use == wire.UseOverlay {
		m.overlayClosed(c)
		return
	}
	m.opts.accepted(c, false)
}

func (m *Mesh) controlOpened(c *link.Conn) {
	m.mu.Lock()
	closed := m.closed
	m.controls[c] = struct{}{}
	m.mu.Unlock()
	m.opts.control(c, true)
	if closed {
		c.Close("shutdown")
	}
}

func (m *Mesh) controlClosed(c *link.Conn) {
	m.mu.Lock()
	delete(m.controls, c)
	m.mu.Unlock()
	m.opts.control(c, false)
}

func (m *Mesh) overlayOpened(c *link.Conn) {
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

func (m *Mesh) overlayClosed(c *link.Conn) {
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
