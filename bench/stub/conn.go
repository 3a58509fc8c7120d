package stub

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// listener counts connections and can make all open ones silent.
type listener struct {
	net.Listener
	counters *counter
	epoch    atomic.Int64 // connections of an earlier epoch are silent
}

// Accept waits for the next connection and counts it.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err // unwrapped: net/http tests whether it is a temporary net.Error
	}
	l.counters.connOpened()
	return &conn{Conn: accepted, listener: l, epoch: l.epoch.Load()}, nil
}

func (l *listener) silenceOpen() { l.epoch.Add(1) }

// conn is a connection that can become silent: TCP still acknowledges what the
// caller sends, but nothing is answered, as when the process of the peer hangs.
type conn struct {
	net.Conn
	listener *listener
	epoch    int64
	once     sync.Once
}

func (c *conn) silent() bool { return c.epoch < c.listener.epoch.Load() }

// Read reads from the connection. While it is silent, Read discards what arrives.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent() {
			return n, err
		}
	}
}

// Write writes to the connection. While it is silent, Write discards the bytes
// and reports success.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and counts that once.
func (c *conn) Close() error {
	c.once.Do(c.listener.counters.connClosed)
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func (c *conn) reset() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return eris.Wrap(err, "set linger")
		}
	}
	return c.Close()
}
