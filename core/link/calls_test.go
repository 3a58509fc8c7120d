package link_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/wire"
)

// callUnanswered sends a call without waiting for its answer.
func callUnanswered(t *testing.T, c *link.Conn) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := c.Call(ctx, wire.KindConfirm, nil, nil); !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
}

// dialBlocked links to a peer whose calls end when it receives a plain message.
func dialBlocked(t *testing.T) (c *link.Conn, received chan struct{}) {
	t.Helper()
	received = make(chan struct{})
	to := serve(t, hello("a", "f"), link.WithHandler(func(_ *link.Conn, m wire.Message) (any, error) {
		if m.Kind == wire.KindRaft {
			close(received)
			return nil, nil
		}
		<-received
		return wire.Confirmed{}, nil
	}))
	c, err := link.NewDialer(hello("b", "f"), link.WithQueueSize(1<<12)).Dial(t.Context(), to)
	is.New(t).NoErr(err)
	t.Cleanup(func() { c.Close("test over") })
	return c, received
}

// Guards against calls that block the message that they wait for.
func TestWaitingCallsDoNotBlockMessages(t *testing.T) {
	is := is.New(t)
	c, received := dialBlocked(t)
	for range 1000 {
		callUnanswered(t, c)
	}
	is.NoErr(c.Send(wire.KindRaft, nil))
	select {
	case <-received:
	case <-time.After(10 * time.Second):
		t.Fatal("the message was not read while calls were being handled")
	}
	is.NoErr(c.Call(t.Context(), wire.KindConfirm, nil, nil))
}

// Guards against a queue of calls without a limit, and against a refused call that is
// answered late.
func TestExcessCallsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	c, received := dialBlocked(t)
	for range 256 + 1024 {
		callUnanswered(t, c)
	}
	var fault *wire.FaultError
	is.True(errors.As(c.Call(t.Context(), wire.KindConfirm, nil, nil), &fault))
	is.Equal(fault.Code, "busy")
	is.NoErr(c.Send(wire.KindRaft, nil))
	<-received
}

// Guards against urgent messages that wait behind others.
func TestUrgentMessagesAreSentFirst(t *testing.T) {
	const bulk, size = 64, 1 << 20 // more than the buffers of a connection hold
	is := is.New(t)
	begin := make(chan struct{})
	kinds := make(chan wire.Kind, bulk+1)
	replica := func(number uint64) link.Option {
		return link.WithHello(func() wire.Hello {
			return wire.Hello{Instance: fmt.Sprint("control-", number), Fleet: "f", Replica: number}
		})
	}
	to := serve(t, replica(1), link.WithHandler(func(_ *link.Conn, m wire.Message) (any, error) {
		<-begin
		kinds <- m.Kind
		return nil, nil
	}))
	c, err := link.NewDialer(replica(2)).Dial(t.Context(), to)
	is.NoErr(err)
	defer c.Close("test over")
	for range bulk {
		is.NoErr(c.Send(wire.KindGossip, make([]byte, size)))
	}
	is.NoErr(c.SendUrgent(wire.KindRaft, nil))
	close(begin)
	position := 0
	for range bulk + 1 {
		if kind := <-kinds; kind == wire.KindRaft {
			break
		}
		position++
	}
	is.True(position < bulk)
}
