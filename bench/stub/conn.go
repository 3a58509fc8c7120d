package stub

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// listener counts connections and can turn the open ones silent.
type listener struct {
	net.Listener
	count *counter
	epoch atomic.Int64 // connections of an earlier epoch are silent
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err // net/http compares the error of a closed listener
	}
	l.count.opened()
	return &conn{Conn: accepted, listener: l, epoch: l.epoch.Load()}, nil
}

func (l *listener) silence() { l.epoch.Add(1) }

// conn acknowledges bytes and never answers once it is silent, as a peer does
// that hangs behind a live TCP stack.
type conn struct {
	net.Conn
	listener *listener
	epoch    int64
	once     sync.Once
}

func (c *conn) silent() bool { return c.epoch < c.listener.epoch.Load() }

// Read discards what arrives on a silent connection.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent() {
			return n, err
		}
	}
}

// Write discards what is sent on a silent connection.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close ends the connection.
func (c *conn) Close() error {
	c.once.Do(c.listener.count.closed)
	return c.Conn.Close()
}

// reset ends the connection with a TCP reset.
func (c *conn) reset() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return eris.Wrap(err, "set linger")
		}
	}
	return c.Close()
}
