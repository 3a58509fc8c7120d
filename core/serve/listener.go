package serve

import (
	"net"
	"time"

	"github.com/galenalock/galenalock/core/budget"
)

// listener accepts connections as long as the connections of the process leave room.
type listener struct {
	net.Listener
	conns          *Connections
	budget         *budget.Budget
	encrypted      bool
	http2          bool
	maxHeaderBytes int
	stall          time.Duration
	closed         func(reason string)

	group group // guarded by the mutex of the connections
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		l.conns.awaitRoom(l)
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.conns.makeRoom(l)
		if c := l.open(raw); c != nil {
			return c, nil
		}
	}
}

// open returns the connection, or nil if there is no memory for it.
func (l *listener) open(raw net.Conn) *conn {
	c := &conn{Conn: raw, listener: l, receiving: true}
	c.holder = l.budget.Open(func() { l.giveUp(c, ClosedForMemory) })
	c.base, c.head, c.streams = c.holder.Charge(), c.holder.Charge(), c.holder.Charge()
	l.conns.add(c)
	if !c.base.Add(connCost) {
		l.giveUp(c, ClosedForMemory)
		c.holder.Close()
		return nil
	}
	return c
}

func (l *listener) giveUp(c *conn, reason string) {
	c.mu.Lock()
	c.givenUp = true // before the handler notices that the connection is closed
	cancel := c.cancel
	c.mu.Unlock()
	err := c.Close()
	if cancel != nil {
		cancel()
	}
	if err == nil && l.closed != nil {
		l.closed(reason)
	}
}

// Close stops the listener. Open connections stay open.
func (l *listener) Close() error {
	l.conns.end(l)
	return l.Listener.Close()
}
