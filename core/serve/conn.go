package serve

import (
	"bytes"
	"container/list"
	"crypto/tls"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalock/galenalock/core/budget"
)

// Estimated memory of connections and requests in bytes, measured with Go 1.26 on
// unfinished heads of 2,200 lines of 6 bytes: 290 kB for each connection.
const (
	connCost     = 16 << 10 // goroutine, buffers of net/http
	headLineCost = 160      // parsed line: name, value, entry in the map
	headByteCost = 2        // line in a buffer and its copy
	// encryptedByteCost replaces both on TLS connections, whose lines are not visible.
	// The shortest lines that net/http accepts have 3 bytes.
	encryptedByteCost = headByteCost + headLineCost/3
)

const http2Preface = "PRI * HTTP/2.0\r\n"

// Reasons why a connection of a caller is closed.
const (
	ClosedForMemory      = "memory"      // it held most of the memory for callers
	ClosedForConnections = "connections" // it was idle for longest when there were too many
	ClosedForStall       = "stall"       // its request body did not go on
)

// conn is an accepted connection that counts what it holds in memory.
type conn struct {
	net.Conn
	listener  *listener
	encrypted bool
	holder    *budget.Holder
	head      *budget.Charge // of the request head that is being read or served
	unread    *budget.Charge // bytes that HTTP/2 has received and no handler has read
	closeOnce sync.Once
	progress  atomic.Int64 // nanoseconds since the start of the listener, of the last bytes of a request body

	mu           sync.Mutex
	receiving    bool // the next head is being read or awaited
	http2        bool
	lines, bytes int64 // of the head so far
	// Of the last read, which may have brought the start of the next head along.
	lastLines, lastBytes int64
	pending              int64         // as in unread
	waiting              *list.Element // in listener.waiting, nil during a request
	cancel               func()        // ends the HTTP/1 request that is served, nil without one
	givenUp              bool          // closed to protect others
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

// Read counts the lines and bytes of request heads before they are parsed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.holder != nil {
		c.count(p[:n])
	}
	return n, err
}

func (c *conn) count(data []byte) {
	n, lines := int64(len(data)), int64(bytes.Count(data, []byte("\n")))
	c.mu.Lock()
	if c.bytes == 0 && strings.HasPrefix(string(data[:min(len(data), len(http2Preface))]), http2Preface) {
		c.http2 = true
	}
	if c.http2 {
		c.pending += n
		cost := min(c.pending, c.listener.http2Buffer)
		c.mu.Unlock()
		c.unread.Set(cost)
		return
	}
	if n > 1 { // net/http reads one byte ahead while a handler runs
		c.lastLines, c.lastBytes = 0, 0
	}
	c.lastLines, c.lastBytes = c.lastLines+lines, c.lastBytes+n
	if !c.receiving {
		c.mu.Unlock()
		return
	}
	c.lines, c.bytes = c.lines+lines, c.bytes+n
	cost := c.headCost()
	c.mu.Unlock()
	c.head.Set(cost)
}

// headCost estimates the memory of the head. The caller holds the lock.
func (c *conn) headCost() int64 {
	if c.encrypted {
		return c.bytes * encryptedByteCost
	}
	return c.lines*headLineCost + c.bytes*headByteCost
}

// bodyRead counts bytes of a body that a handler has read.
func (c *conn) bodyRead(n int) {
	c.mu.Lock()
	if !c.http2 {
		c.mu.Unlock()
		return
	}
	c.pending = max(0, c.pending-int64(n))
	cost := min(c.pending, c.listener.http2Buffer)
	c.mu.Unlock()
	c.unread.Set(cost)
}

// setState follows the states of net/http. A connection is idle while it awaits a
// request or reads its head.
func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		c.mu.Lock()
		c.receiving, c.pending = true, 0
		c.lines, c.bytes = c.lastLines, c.lastBytes
		cost := c.headCost()
		c.mu.Unlock()
		c.unread.Set(0)
		c.head.Set(cost)
		c.listener.setWaiting(c, true)
	case http.StateActive:
		c.mu.Lock()
		c.receiving = false
		c.mu.Unlock()
		c.listener.setWaiting(c, false)
	case http.StateHijacked: // belongs to another process of the fleet
		c.listener.setWaiting(c, false)
		c.holder.Close()
	case http.StateClosed:
	}
}

// Close closes the connection. Only the first call has an effect.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		c.holder.Close()
		err = c.Conn.Close()
		c.listener.remove(c)
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

// bodyGrace is the time for which a request body must not have gone on before its
// connection may be closed for a new one.
const bodyGrace = time.Second

// listener accepts connections up to a limit. At the limit it closes the one that has
// awaited a request for longest, since callers that only stay connected would keep out
// all others, or else the one whose request body has not gone on for longest. If there is
// neither, it waits.
type listener struct {
	net.Listener
	limit       int // 0: none
	budget      *budget.Budget
	encrypted   bool
	http2Buffer int64
	closed      func(reason string)

	mu      sync.Mutex
	changed sync.Cond // open, waiting or ended has changed
	open    int
	waiting list.List     // of *conn, the one that has waited for longest first
	bodies  map[*conn]int // number of unfinished request bodies
	ended   bool
	start   time.Time
}

func newListener(l net.Listener) *listener {
	out := &listener{Listener: l, bodies: map[*conn]int{}, start: time.Now()}
	out.changed.L = &out.mu
	return out
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	l.awaitRoom(false)
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.awaitRoom(true)
	c := &conn{Conn: raw, listener: l, encrypted: l.encrypted, receiving: true}
	c.holder = l.budget.Open(func() { l.giveUp(c, ClosedForMemory) })
	c.head, c.unread = c.holder.Charge(), c.holder.Charge()
	l.mu.Lock()
	l.open++
	l.mu.Unlock()
	c.holder.Charge().Set(connCost)
	return c, nil
}

// awaitRoom returns when one more connection may be open, or one can be closed for it,
// which it does if closeOldest is set.
func (l *listener) awaitRoom(closeOldest bool) {
	if l.limit == 0 {
		return
	}
	l.mu.Lock()
	var oldest *conn
	for l.open >= l.limit && !l.ended {
		if oldest = l.oldest(); oldest != nil {
			break
		}
		l.awaitChange()
	}
	l.mu.Unlock()
	if closeOldest && oldest != nil {
		l.giveUp(oldest, ClosedForConnections)
	}
}

// awaitChange returns when connections may have changed, or a body may have stopped. The
// caller holds the lock.
func (l *listener) awaitChange() {
	if len(l.bodies) > 0 {
		timer := time.AfterFunc(bodyGrace/4, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.changed.Signal()
		})
		defer timer.Stop()
	}
	l.changed.Wait()
}

// oldest returns the connection to close for a new one, or nil. The caller holds the lock.
func (l *listener) oldest() *conn {
	if first := l.waiting.Front(); first != nil {
		c, _ := first.Value.(*conn)
		return c
	}
	var out *conn
	least := int64(time.Since(l.start) - bodyGrace)
	for c := range l.bodies {
		if at := c.progress.Load(); at <= least {
			out, least = c, at
		}
	}
	return out
}

// addBody adds 1 or -1 to the unfinished request bodies of a connection.
func (l *listener) addBody(c *conn, n int) {
	c.recordProgress()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bodies[c] += n; l.bodies[c] <= 0 {
		delete(l.bodies, c)
	}
	l.changed.Signal()
}

func (c *conn) recordProgress() { c.progress.Store(int64(time.Since(c.listener.start))) }

func (l *listener) giveUp(c *conn, reason string) {
	err := c.Close()
	c.mu.Lock()
	c.givenUp = true
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	if err == nil && l.closed != nil {
		l.closed(reason)
	}
}

func (l *listener) setWaiting(c *conn, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.waiting != nil {
		l.waiting.Remove(c.waiting)
		c.waiting = nil
	}
	if on {
		c.waiting = l.waiting.PushBack(c)
	}
	l.changed.Signal()
}

func (l *listener) remove(c *conn) {
	l.setWaiting(c, false)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.bodies, c)
	l.open--
	l.changed.Signal()
}

// Close stops the listener. Open connections stay open.
func (l *listener) Close() error {
	l.mu.Lock()
	l.ended = true
	l.changed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}
