package pool

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// conn is one connection to a target. One request at a time uses it.
type conn struct {
	net    net.Conn
	target netip.AddrPort
	in     *bufio.Reader
	out    []byte        // reused for request heads
	left   int64         // bytes that may still be read, negative for no limit
	opened time.Time     // when the connection was opened
	proved time.Time     // when the last response head arrived
	keep   time.Duration // longest idle time that the target allows, 0: not known
	reused bool
	sent   atomic.Int64 // bytes of the current request that the operating system accepted
}

func newConn(c net.Conn, target netip.AddrPort, now time.Time) *conn {
	out := &conn{net: c, target: target, left: -1, opened: now, proved: now}
	out.in = bufio.NewReader(out)
	return out
}

// Read reads from the connection up to the limit that holds for response heads.
func (c *conn) Read(p []byte) (int, error) {
	if c.left == 0 {
		return 0, ErrHead
	}
	if c.left > 0 && int64(len(p)) > c.left {
		p = p[:c.left]
	}
	n, err := c.net.Read(p)
	if c.left > 0 {
		c.left -= int64(n)
	}
	return n, err
}

// fresh reports whether the connection was idle for less than limit and than
// the target allows.
func (c *conn) fresh(now time.Time, limit time.Duration) bool {
	if c.keep > 0 {
		limit = min(limit, c.keep)
	}
	return now.Sub(c.proved) <= limit
}

func (c *conn) write(b []byte) error {
	n, err := c.net.Write(b)
	sent := c.sent.Add(int64(n))
	if err != nil {
		return &WriteError{Target: c.target, Sent: sent, Err: err}
	}
	return nil
}

// begin writes the head and a body that is held in memory in one call, which
// saves a packet and a system call.
func (c *conn) begin(r *Request) error {
	head, err := r.head(c.out[:0])
	if err != nil {
		return err
	}
	c.out = head[:0]
	if !r.streams() && len(r.Data) > 0 {
		if len(r.Data) > copySize {
			if err := c.write(head); err != nil {
				return err
			}
			return c.write(r.Data)
		}
		head = append(head, r.Data...)
	}
	return c.write(head)
}

// receive reads one response head.
func (c *conn) receive(r *Request) (*http.Response, error) {
	c.left = maxHead
	response, err := http.ReadResponse(c.in, &http.Request{Method: r.Method})
	c.left = -1
	if err != nil {
		return nil, noEOF(err)
	}
	return response, nil
}

// noEOF turns the end of a connection into an error, because io.EOF would
// read as the complete end of a body.
func noEOF(err error) error {
	if err == io.EOF { //nolint:errorlint // a wrapped io.EOF is already an error of its own
		return io.ErrUnexpectedEOF
	}
	return err
}
