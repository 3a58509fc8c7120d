package link

import (
	"context"
	"fmt"
	"time"

	"github.com/coder/websocket"

	"github.com/galenalock/galenalock/core"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	helloTimeout = 3 * time.Second
	maxHello     = 16 << 10 // bytes; a name has at most a few hundred
)

// HelloError reports a peer whose Hello was refused: its protocol version or
// fleet differs, or its first message was not a Hello.
type HelloError struct{ Reason string }

// Error returns the reason for the refusal.
func (e *HelloError) Error() string { return "hello refused: " + e.Reason }

// exchangeHello sends this side's Hello, checks the peer's and sets the keepalive
// times that apply to the use of the link.
func (c *Conn) exchangeHello(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	own := c.opts.hello()
	own.Version, own.Ping = core.Version, c.opts.controlPing
	data, err := encodeMessage(wire.KindHello, 0, false, own)
	if err != nil {
		return err
	}
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return &ClosedError{Reason: err.Error()}
	}
	_, data, err = c.ws.Read(ctx)
	if err != nil {
		return &ClosedError{Reason: err.Error()}
	}
	var m wire.Message
	if err := wire.Decode(data, &m); err != nil {
		return err
	}
	if m.Kind != wire.KindHello {
		return &HelloError{Reason: fmt.Sprintf("first message is %q", m.Kind)}
	}
	if err := wire.Decode(m.Body, &c.peer); err != nil {
		return err
	}
	if c.peer.Version != own.Version {
		return &HelloError{Reason: fmt.Sprintf("protocol version %d, want %d", c.peer.Version, own.Version)}
	}
	if c.peer.Fleet != own.Fleet {
		return &HelloError{Reason: fmt.Sprintf("fleet %q, want %q", c.peer.Fleet, own.Fleet)}
	}
	c.ws.SetReadLimit(wire.MaxMessage)
	use := own.Use
	if !c.dialed {
		use = c.peer.Use
	}
	c.setKeepalive(use)
	if own.Replica != 0 && c.peer.Replica != 0 {
		c.urgentQueue = make(chan []byte, c.opts.queueSize)
	}
	return nil
}

// setKeepalive sets the keepalive times that apply to a use of the link. Peers of
// earlier versions do not state their ping interval.
func (c *Conn) setKeepalive(use wire.Use) {
	if interval, timeout, ok := c.opts.keepaliveByUse(use); ok {
		c.opts.pingInterval, c.opts.receiveTimeout = interval, timeout
		return
	}
	own, peer := c.opts.controlPing, c.peer.Ping
	if (use == wire.UseControl || use == wire.UseReplica) && own > 0 && peer > 0 {
		c.opts.pingInterval = max(own, peer)
		c.opts.receiveTimeout = missedPings * c.opts.pingInterval
	}
}
