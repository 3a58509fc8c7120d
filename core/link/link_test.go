package link_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/wire"
)

func hello(name, fleet string) link.Option {
	return link.WithHello(func() wire.Hello { return wire.Hello{Instance: name, Fleet: fleet} })
}

func serve(t testing.TB, opts ...link.Option) netip.AddrPort {
	s := link.NewServer(opts...)
	server := httptest.NewServer(s)
	t.Cleanup(func() { s.Close(); server.Close() })
	return server.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against an answer that is delivered to another concurrent call, and
// against a fault returned by the peer that is reported as a broken link.
func TestCall(t *testing.T) {
	is := is.New(t)
	to := serve(t, hello("a", "f"), link.WithHandler(func(_ *link.Conn, m wire.Message) (any, error) {
		var pull wire.Pull
		if err := wire.Decode(m.Body, &pull); err != nil {
			return nil, err
		}
		if pull.Have == 13 {
			return nil, &wire.FaultError{Code: "unlucky"}
		}
		return wire.Revision{Number: pull.Have + 1}, nil
	}))
	c, err := link.NewDialer(hello("b", "f")).Dial(t.Context(), to)
	is.NoErr(err)
	defer c.Close("test over")
	is.Equal(c.Peer().Instance, "a")

	errs := make(chan error)
	for i := range uint64(100) {
		go func() {
			var got wire.Revision
			err := c.Call(t.Context(), wire.KindPull, wire.Pull{Have: i}, &got)
			var fault *wire.FaultError
			if i == 13 && errors.As(err, &fault) && fault.Code == "unlucky" {
				err = nil
			} else if err == nil && got.Number != i+1 {
				err = fmt.Errorf("asked %d, got %d", i, got.Number)
			}
			errs <- err
		}()
	}
	for range 100 {
		is.NoErr(<-errs)
	}
}

// Guards against two fleets exchanging their configuration because an address in
// the settings is wrong.
func TestHelloOfOtherFleetIsRefused(t *testing.T) {
	is := is.New(t)
	to := serve(t, hello("a", "one"))
	_, err := link.NewDialer(hello("b", "two")).Dial(t.Context(), to)
	var refused *link.HelloError
	is.True(errors.As(err, &refused))
}

// Guards against a link that stays open although no message from the peer
// arrives any more.
func TestSilentPeerIsDisconnected(t *testing.T) {
	is := is.New(t)
	// The server sends no ping within the test, as if its messages were lost.
	to := serve(t, hello("a", "f"), link.WithKeepalive(time.Hour, time.Hour))
	c, err := link.NewDialer(hello("b", "f"), link.WithKeepalive(5*time.Millisecond, 20*time.Millisecond)).Dial(t.Context(), to)
	is.NoErr(err)
	<-c.Done()
	is.Equal(c.Reason(), "nothing received for 20ms")
}

// Guards against a silent link that stays open for as long as the time of day has
// stepped back.
func TestSilentLinkEndsAlthoughTheTimeOfDayStepsBack(t *testing.T) {
	is := is.New(t)
	to := serve(t, hello("a", "f"), link.WithKeepalive(time.Hour, time.Hour))
	start := time.Now()
	var ahead atomic.Int64 // of the steady clock over the time of day
	opened := make(chan *link.Conn, 1)
	_, err := link.NewDialer(hello("b", "f"), link.WithKeepalive(5*time.Millisecond, time.Hour),
		link.WithOpenHook(func(c *link.Conn) { opened <- c }),
		link.WithSteadyClock(func() time.Duration { return time.Since(start) + time.Duration(ahead.Load()) })).Dial(t.Context(), to)
	is.NoErr(err)
	c := <-opened
	ahead.Store(int64(2 * time.Hour))
	select {
	case <-c.Done():
	case <-time.After(10 * time.Second):
		t.Error("the link is open after a silence of 2 h")
		c.Close("test over")
	}
}

// Guards against a call that never returns after its link has ended.
func TestCallEndsWithTheLink(t *testing.T) {
	is := is.New(t)
	block := make(chan struct{})
	defer close(block)
	to := serve(t, hello("a", "f"), link.WithHandler(func(c *link.Conn, _ wire.Message) (any, error) {
		c.Close("crash")
		<-block
		return nil, nil
	}))
	c, err := link.NewDialer(hello("b", "f")).Dial(t.Context(), to)
	is.NoErr(err)
	var closed *link.ClosedError
	is.True(errors.As(c.Call(t.Context(), wire.KindConfirm, nil, nil), &closed))
}

// Guards against a dialer that stops when the first attempt fails.
func TestKeepConnectedRedials(t *testing.T) {
	is := is.New(t)
	refuse := make(chan struct{}, 2)
	refuse <- struct{}{}
	refuse <- struct{}{}
	s := link.NewServer(hello("a", "f"))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-refuse:
			http.Error(w, "not yet", http.StatusServiceUnavailable)
		default:
			s.ServeHTTP(w, r)
		}
	}))
	defer server.Close()
	defer s.Close()
	opened := make(chan *link.Conn, 1)
	failures := 0
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		link.NewDialer(hello("b", "f"), link.WithOpenHook(func(c *link.Conn) { opened <- c })).
			KeepConnected(ctx, server.Listener.Addr().(*net.TCPAddr).AddrPort(), func(error) { failures++ })
	}()
	<-opened
	cancel()
	<-ended
	is.Equal(failures, 2)
}

// Guards against a message whose handler panics and so ends the process: a call
// is answered with a fault, and a plain message closes the link.
func TestHandlerPanicStaysInItsLink(t *testing.T) {
	is := is.New(t)
	panics := make(chan *link.PanicError, 2)
	to := serve(t, hello("a", "f"),
		link.WithPanicHook(func(err *link.PanicError) { panics <- err }),
		link.WithHandler(func(_ *link.Conn, m wire.Message) (any, error) {
			if m.Kind == wire.KindConfirm {
				return wire.Confirmed{Number: 7}, nil
			}
			var rows []int
			return rows[len(m.Body)], nil
		}))
	c, err := link.NewDialer(hello("b", "f")).Dial(t.Context(), to)
	is.NoErr(err)
	defer c.Close("test over")
	var fault *wire.FaultError
	is.True(errors.As(c.Call(t.Context(), wire.KindPull, wire.Pull{}, nil), &fault))
	is.Equal((<-panics).Kind, wire.KindPull)
	var got wire.Confirmed
	is.NoErr(c.Call(t.Context(), wire.KindConfirm, nil, &got)) // the link goes on
	is.Equal(got.Number, uint64(7))

	is.NoErr(c.Send(wire.KindGossip, nil))
	is.Equal((<-panics).Kind, wire.KindGossip)
	<-c.Done()
}

// Guards against a link that counts as silent because its own handler blocks the
// reader.
func TestBlockedHandlerKeepsTheLink(t *testing.T) {
	is := is.New(t)
	block := make(chan struct{})
	to := serve(t, hello("a", "f"), link.WithKeepalive(5*time.Millisecond, 30*time.Millisecond),
		link.WithHandler(func(_ *link.Conn, m wire.Message) (any, error) {
			if m.Kind == wire.KindGossip {
				<-block
			}
			return wire.Confirmed{Number: 7}, nil
		}))
	pings := make(chan struct{}, 1<<10)
	c, err := link.NewDialer(hello("b", "f"), link.WithKeepalive(5*time.Millisecond, time.Minute),
		link.WithByteCounter(func(direction string, _ int) {
			if direction == "in" {
				pings <- struct{}{}
			}
		})).Dial(t.Context(), to)
	is.NoErr(err)
	defer c.Close("test over")
	is.NoErr(c.Send(wire.KindGossip, nil))
	for range 20 { // pings of the peer over three times its limit
		select {
		case <-pings:
		case <-c.Done():
			t.Fatal(c.Reason())
		}
	}
	close(block)
	is.NoErr(c.Call(t.Context(), wire.KindConfirm, nil, nil))
}
