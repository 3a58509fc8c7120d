package serve

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalock/galenalock/core/budget"
)

// Reasons why a connection of a caller is closed.
const (
	ClosedForMemory      = "memory"      // its memory was needed
	ClosedForConnections = "connections" // it was idle for longest when there were too many
	ClosedForStall       = "stall"       // its request body did not go on
)

// errNoMemory means that a connection must not hold further bytes.
var errNoMemory = errors.New("the memory for callers is in use")

// writeCheck is the time after which a response that the caller does not read counts as
// unread.
const writeCheck = time.Second

// conn is an accepted connection that counts what it holds in memory.
type conn struct {
	net.Conn
	listener  *listener
	holder    *budget.Holder
	base      *budget.Charge // of the connection itself
	head      *budget.Charge // of the request head that is being read or served
	streams   *budget.Charge // of an HTTP/2 connection, in place of head
	closeOnce sync.Once
	unread    bool         // the caller does not read a response
	progress  atomic.Int64 // nanoseconds since the start of the server's connections, of the last bytes of a request body

	mu            sync.Mutex
	receiving     bool // the next head is being read or awaited
	largeHead     bool // what has arrived of it costs more than smallHead
	hijacked      bool
	preface       int         // matched bytes of requestLineHTTP2, negative for HTTP/1
	http2         *http2State // nil for HTTP/1
	size          headSize    // of the head so far
	lastRead      headSize    // of the last read, which may have brought the start of the next head along
	cancel        func()      // ends the HTTP/1 request that is served, nil without one
	givenUp       bool        // closed to protect others
	writeDeadline time.Time   // set by the server

	place place // guarded by the mutex of the connections
}

func (c *conn) isGivenUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.givenUp
}

// setCancel sets the function that ends the request of the connection. net/http notices a
// closed HTTP/1 connection only after the end of the request body.
func (c *conn) setCancel(cancel func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
}

// Read counts request heads before they are parsed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.holder != nil && !c.count(p[:n]) {
		// net/http answers other errors, which would take memory as well.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errNoMemory}
	}
	return n, err
}

// count counts received bytes and reports whether they may be used.
func (c *conn) count(data []byte) bool {
	c.mu.Lock()
	data = c.detectHTTP2(data)
	if c.http2 != nil {
		c.http2.receive(data)
		return c.chargeStreams()
	}
	size := sizeOf(data)
	if size.bytes > 1 { // net/http reads one byte ahead while a handler runs
		c.lastRead = headSize{}
	}
	c.lastRead = c.lastRead.plus(size)
	if !c.receiving {
		c.mu.Unlock()
		return true
	}
	c.size = c.size.plus(size)
	cost := c.size.cost(c.listener.encrypted)
	return c.charge(c.head, cost, cost)
}

// charge sets what the connection holds besides its requests, and notes the memory of the
// part of a head in it. The caller holds the lock, which is released.
func (c *conn) charge(to *budget.Charge, cost, head int64) bool {
	large := head > smallHead
	changed := large != c.largeHead
	c.largeHead = large
	c.mu.Unlock()
	if changed {
		c.holder.SetReading(large)
	}
	return to.Set(cost)
}

// detectHTTP2 compares the first bytes of a connection with the preface of HTTP/2 and
// returns those that follow it. The caller holds the lock.
func (c *conn) detectHTTP2(data []byte) []byte {
	if !c.listener.http2 || c.listener.encrypted || c.preface < 0 {
		return data
	}
	for i, b := range data {
		if c.preface == len(requestLineHTTP2) {
			return data[i:]
		}
		if b != requestLineHTTP2[c.preface] {
			c.preface = -1
			return data
		}
		if c.preface++; c.preface == len(requestLineHTTP2) && c.http2 == nil {
			c.http2 = newHTTP2State(false, c.listener.maxHeaderBytes)
		}
	}
	if c.http2 != nil {
		return nil
	}
	return data
}

// chargeStreams charges an HTTP/2 connection. The caller holds the lock, which is released.
func (c *conn) chargeStreams() bool {
	return c.charge(c.streams, c.http2.cost(), c.http2.unfinishedHead())
}

// updateHTTP2 changes the state of an HTTP/2 connection; on others it does nothing.
func (c *conn) updateHTTP2(change func(s *http2State)) {
	c.mu.Lock()
	if c.http2 == nil {
		c.mu.Unlock()
		return
	}
	change(c.http2)
	c.chargeStreams()
}

// begin records that a handler serves a request of the connection.
func (c *conn) begin(r *http.Request) {
	if r.ProtoMajor == 1 {
		return
	}
	c.mu.Lock()
	if c.http2 == nil {
		c.http2 = newHTTP2State(c.listener.encrypted, c.listener.maxHeaderBytes)
	}
	c.mu.Unlock()
	c.updateHTTP2((*http2State).taken)
}

// setState follows the states of net/http. A connection is idle while it awaits a request
// or reads its head.
func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		c.holder.SetLingering(false)
		c.updateHTTP2((*http2State).idle)
		c.awaitHead()
		c.listener.setWaiting(c, true)
	case http.StateActive:
		c.mu.Lock()
		c.receiving, c.largeHead = false, c.http2 != nil && c.largeHead
		large := c.largeHead
		c.mu.Unlock()
		c.holder.SetReading(large)
		c.listener.setWaiting(c, false)
	case http.StateHijacked: // belongs to another process of the fleet
		c.mu.Lock()
		c.hijacked, c.receiving = true, false
		c.mu.Unlock()
		c.head.Set(0)
		c.listener.setWaiting(c, false)
		_ = c.Conn.SetWriteDeadline(time.Time{})
	case http.StateClosed:
		c.holder.Close()
	}
}

// awaitHead counts the start of the next head, which may have arrived with the last read.
func (c *conn) awaitHead() {
	c.mu.Lock()
	if c.http2 != nil {
		c.mu.Unlock()
		return
	}
	c.receiving, c.size = true, c.lastRead
	cost := c.size.cost(c.listener.encrypted)
	c.charge(c.head, cost, cost)
}

// Write sends bytes. A caller that does not read them for a second may lose the connection
// to others, and one that does not read for the time limit of stalls does.
func (c *conn) Write(p []byte) (int, error) {
	if c.holder == nil {
		return c.Conn.Write(p)
	}
	written, waited := 0, time.Duration(0)
	for {
		deadline, own, ok := c.nextWriteDeadline()
		if !ok {
			return c.Conn.Write(p)
		}
		_ = c.Conn.SetWriteDeadline(deadline)
		n, err := c.Conn.Write(p[written:])
		written += n
		if n > 0 {
			waited = 0
			c.recordProgress()
		}
		if err == nil || !own || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.setUnread(false)
			return written, err
		}
		if waited += writeCheck; c.listener.stall > 0 && waited > c.listener.stall {
			c.listener.giveUp(c, ClosedForStall)
			return written, err
		}
		if n == 0 {
			c.setUnread(true)
		}
	}
}

// nextWriteDeadline returns the time of the next check, or the deadline of the server if
// that is earlier. It reports false on connections that the server does not own any more.
func (c *conn) nextWriteDeadline() (at time.Time, own, ok bool) {
	at = time.Now().Add(writeCheck)
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.writeDeadline; !d.IsZero() && d.Before(at) {
		return d, false, !c.hijacked
	}
	return at, true, !c.hijacked
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	c.setWriteDeadline(t)
	return c.Conn.SetDeadline(t)
}

// SetWriteDeadline sets the deadline of writes.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.setWriteDeadline(t)
	return c.Conn.SetWriteDeadline(t)
}

func (c *conn) setWriteDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
}

func (c *conn) isHijacked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hijacked
}

// setUnread is called by Write only, which the server does not call concurrently.
func (c *conn) setUnread(on bool) {
	if c.unread != on {
		c.unread = on
		c.listener.setUnread(c, on)
		c.holder.SetUnread(on)
	}
}

func (c *conn) recordProgress() { c.progress.Store(int64(time.Since(c.listener.conns.start))) }

// Close closes the connection. Only the first call has an effect.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		c.holder.Abandon()
		err = c.Conn.Close()
		c.listener.remove(c)
		if c.isHijacked() {
			c.holder.Close()
		}
	})
	return err
}

// acceptedConn returns the conn below a connection of net/http, or nil.
func acceptedConn(c net.Conn) *conn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	accepted, _ := c.(*conn)
	return accepted
}
