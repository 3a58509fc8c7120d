package link

import (
	"context"
	"fmt"
	"time"

	"github.com/coder/websocket"

	"github.com/galenalock/galenalock/core"
	"github.com/galenalock/galenalock/core/wire"
)

const helloTimeout = 3 * time.Second

// HelloError is a peer that may not be linked to.
type HelloError struct{ Reason string }

// Error gives the reason.
func (e *HelloError) Error() string { return "hello refused: " + e.Reason }

// greet exchanges the introductions.
func (c *Conn) greet(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	mine := c.opts.hello()
	mine.Version = core.Version
	data, err := frame(wire.KindHello, 0, false, mine)
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
	if c.peer.Version != mine.Version {
		return &HelloError{Reason: fmt.Sprintf("protocol version %d, want %d", c.peer.Version, mine.Version)}
	}
	if c.peer.Fleet != mine.Fleet {
		return &HelloError{Reason: fmt.Sprintf("fleet %q, want %q", c.peer.Fleet, mine.Fleet)}
	}
	use := mine.Use
	if !c.dialed {
		use = c.peer.Use
	}
	if every, silence, ok := c.opts.pace(use); ok {
		c.opts.ping, c.opts.silence = every, silence
	}
	return nil
}
