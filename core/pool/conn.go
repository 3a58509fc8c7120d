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

// conn is one connection to a target. It serves one request at a time.
type conn struct {
	netConn         net.Conn
	target          netip.AddrPort
	reader          *bufio.Reader
	headBuffer      []byte // reused for each request head
	readLimit       int64  // bytes that may still be read, negative: no limit
	opened          time.Time
	connectTime     time.Duration // how long opening it took
	lastResponse    time.Time     // when the last response head arrived
	targetIdleLimit time.Duration // longest idle time that the target allows, 0: unknown
	reused          bool
	sentBytes       atomic.Int64 // bytes of the current request accepted by the operating system
}

func newConn(c net.Conn, target netip.AddrPort, now time.Time) *conn {
	out := &conn{netConn: c, target: target, readLimit: -1, opened: now, lastResponse: now}
	out.reader = bufio.NewReader(out)
	return out
}

// Read reads from the connection up to readLimit, which applies while a response
// head is read.
func (c *conn) Read(p []byte) (int, error) {
	if c.readLimit == 0 {
		return 0, ErrHeadTooLong
	}
	if c.readLimit > 0 && int64(len(p)) > c.readLimit {
		p = p[:c.readLimit]
	}
	n, err := c.netConn.Read(p)
	if c.readLimit > 0 {
		c.readLimit -= int64(n)
	}
	return n, err
}

// usable reports whether the last response head arrived no longer ago than limit
// and than the target lets a connection be idle.
func (c *conn) usable(now time.Time, limit time.Duration) bool {
	if c.targetIdleLimit > 0 {
		limit = min(limit, c.targetIdleLimit)
	}
	return now.Sub(c.lastResponse) <= limit
}

func (c *conn) write(b []byte) error {
	n, err := c.netConn.Write(b)
	sent := c.sentBytes.Add(int64(n))
	if err != nil {
		return &WriteError{Target: c.target, Sent: sent, Err: err}
	}
	return nil
}

// writeRequest writes the head and, if it is buffered, the body. A body of up to
// copyBufferSize bytes is written together with the head, which saves a packet
// and a system call.
func (c *conn) writeRequest(r *Request) error {
	head, err := r.appendHead(c.headBuffer[:0])
	if err != nil {
		return err
	}
	c.headBuffer = head[:0]
	if !r.streamsBody() && len(r.BufferedBody) > 0 {
		if len(r.BufferedBody) > copyBufferSize {
			if err := c.write(head); err != nil {
				return err
			}
			return c.write(r.BufferedBody)
		}
		head = append(head, r.BufferedBody...)
	}
	return c.write(head)
}

// readHead reads one response head.
func (c *conn) readHead(r *Request) (*http.Response, error) {
	c.readLimit = maxHeadBytes
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	c.readLimit = -1
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	return response, nil
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, because a caller would
// take io.EOF for the end of a complete body.
func unexpectedEOF(err error) error {
	if err == io.EOF { //nolint:errorlint // a wrapped io.EOF is already an error of its own
		return io.ErrUnexpectedEOF
	}
	return err
}
