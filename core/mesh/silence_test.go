package mesh_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/mesh"
	"github.com/galenalock/galenalock/core/wire"
)

// pipes is a network of one server whose connections can go silent for good.
type pipes struct {
	accepted chan net.Conn
	closed   chan struct{}

	mu     sync.Mutex
	silent chan struct{} // closed when the connections opened so far go silent
}

func newPipes() *pipes {
	return &pipes{accepted: make(chan net.Conn), closed: make(chan struct{}), silent: make(chan struct{})}
}

func (p *pipes) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	select {
	case p.accepted <- newPipeEnd(server, silent):
		return newPipeEnd(client, silent), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// silence makes the open connections lose everything. New ones work.
func (p *pipes) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { close(p.closed); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// pipeEnd is one end of a connection. Its writes do not wait for the reader.
type pipeEnd struct {
	net.Conn
	silent  <-chan struct{}
	written chan []byte
	done    chan struct{}
	once    sync.Once
}

func newPipeEnd(c net.Conn, silent <-chan struct{}) *pipeEnd {
	e := &pipeEnd{Conn: c, silent: silent, written: make(chan []byte, 1024), done: make(chan struct{})}
	go e.forward()
	return e
}

func (e *pipeEnd) forward() {
	for {
		select {
		case b := <-e.written:
			if _, err := e.Conn.Write(b); err != nil {
				return
			}
		case <-e.done:
			return
		}
	}
}

func (e *pipeEnd) Write(b []byte) (int, error) {
	select {
	case <-e.silent:
	case <-e.done:
		return 0, net.ErrClosed
	default:
		e.written <- bytes.Clone(b)
	}
	return len(b), nil
}

func (e *pipeEnd) Close() error {
	e.once.Do(func() { close(e.done) })
	return e.Conn.Close()
}

// newEntry returns the mesh of an entry that sends on each link to control that opens.
func newEntry(network *pipes, opened chan<- *link.Conn) *mesh.Mesh {
	return mesh.New(
		mesh.WithControlPing(link.ControlPing),
		mesh.WithHello(func() wire.Hello { return wire.Hello{Instance: "entry", Fleet: "f"} }),
		mesh.WithDial(network.dial),
		mesh.WithControl(func(c *link.Conn, open bool) {
			if open {
				opened <- c
			}
		}))
}

// measureReplacement links an entry to a control replica, lets all connections go
// silent at a time after that and returns how long it takes until another link is
// open.
func measureReplacement(t *testing.T, after time.Duration) time.Duration {
	network := newPipes()
	replica := mesh.New(mesh.WithControlPing(link.ControlPing), mesh.WithHello(func() wire.Hello { return wire.Hello{Instance: "replica", Fleet: "f"} }))
	server := &http.Server{Handler: replica.Handler()}
	go func() { _ = server.Serve(network) }()
	opened := make(chan *link.Conn, 2)
	entry := newEntry(network, opened)
	defer func() { entry.Close(); replica.Close(); server.Close() }()
	entry.KeepControlLink(netip.MustParseAddrPort("127.0.0.1:1"))
	first := <-opened
	time.Sleep(after)
	if first.Ended() {
		t.Errorf("the first link ended: %s", first.Reason())
	}
	network.silence()
	silent := time.Now()
	<-opened
	return time.Since(silent)
}

// serveEarlierReplica serves a link as a replica of a version that does not state its
// ping interval and leaves up to 1.9 s between two pings.
func serveEarlierReplica(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer ws.CloseNow()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		for err := error(nil); err == nil; {
			_, _, err = ws.Read(ctx)
		}
	}()
	message := wire.Message{Kind: wire.KindHello}
	message.Body, _ = wire.Encode(wire.Hello{Version: core.Version, Fleet: "f", Instance: "earlier"})
	for ctx.Err() == nil {
		data, _ := wire.Encode(message)
		_ = ws.Write(ctx, websocket.MessageBinary, data)
		select {
		case <-time.After(1900 * time.Millisecond):
		case <-ctx.Done():
		}
		message = wire.Message{Kind: wire.KindPing}
	}
}

// Guards against an entry that closes its links to replicas of an earlier version, which
// send fewer pings, again and again.
func TestLinkToEarlierReplicaStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newPipes()
		ended := make(chan struct{})
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer close(ended)
			serveEarlierReplica(w, r)
		})}
		go func() { _ = server.Serve(network) }()
		links := make(chan *link.Conn, 1)
		entry := newEntry(network, links)
		defer func() { entry.Close(); server.Close(); <-ended }()
		entry.OpenControlLink(netip.MustParseAddrPort("127.0.0.1:1"), time.Second, func(err error) { t.Error(err) })
		c := <-links
		time.Sleep(9 * time.Second)
		is.Equal(c.Reason(), "")
	})
}

// Guards against an entry that does not hear of changes because its connections to
// control have gone silent: 3 s after that, and 2.5 s after a change, it must have it.
func TestSilentControlLinkIsReplacedInTime(t *testing.T) {
	const bound = 2 * time.Second
	for after := 10 * time.Second; after < 11*time.Second; after += 90 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			took := measureReplacement(t, after)
			t.Logf("silent after %v: replaced in %v", after, took)
			is.True(took <= bound)
		})
	}
}
