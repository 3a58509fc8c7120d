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

	"github.com/matryer/is"

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
}

func newPipeEnd(c net.Conn, silent <-chan struct{}) *pipeEnd {
	e := &pipeEnd{Conn: c, silent: silent, written: make(chan []byte, 1024)}
	go func() {
		for b := range e.written {
			if _, err := e.Conn.Write(b); err != nil {
				return
			}
		}
	}()
	return e
}

func (e *pipeEnd) Write(b []byte) (int, error) {
	select {
	case <-e.silent:
	default:
		e.written <- bytes.Clone(b)
	}
	return len(b), nil
}

func (e *pipeEnd) Close() error {
	select {
	case e.written <- nil: // ends the goroutine after the next failed write
	default:
	}
	return e.Conn.Close()
}

// measureReplacement links an entry to a control replica, lets all connections go
// silent at a time after that and returns how long it takes until another link is
// open.
func measureReplacement(t *testing.T, after time.Duration) time.Duration {
	network := newPipes()
	replica := mesh.New(mesh.WithHello(func() wire.Hello { return wire.Hello{Instance: "replica", Fleet: "f"} }))
	server := &http.Server{Handler: replica.Handler()}
	go func() { _ = server.Serve(network) }()
	opened := make(chan *link.Conn, 2)
	entry := mesh.New(
		mesh.WithHello(func() wire.Hello { return wire.Hello{Instance: "entry", Fleet: "f"} }),
		mesh.WithDial(network.dial),
		mesh.WithControl(func(c *link.Conn, open bool) {
			if open {
				opened <- c
			}
		}))
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
