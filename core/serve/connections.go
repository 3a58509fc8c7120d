package serve

import (
	"container/list"
	"sync"
	"time"
)

// bodyGrace is the time for which a request body must not have gone on before its
// connection may be closed for a new one.
const bodyGrace = time.Second

// Connections bounds the open connections of all servers that share it. At the limit it
// closes the one that has awaited a request for longest, of the address that has most,
// since callers that only stay connected would keep out all others. If all have requests,
// it is the one whose body or response has not gone on for longest. If there is neither,
// new connections wait.
type Connections struct {
	limit int // 0: none
	start time.Time

	mu      sync.Mutex
	changed sync.Cond // open, waiting, stoppable or ended has changed
	open    int
	groups  []*group
}

// NewConnections returns a bound of that many connections, 0 stands for none.
func NewConnections(limit int) *Connections {
	c := &Connections{limit: limit, start: time.Now()}
	c.changed.L = &c.mu
	return c
}

// group holds the connections of one address.
type group struct {
	open    int
	waiting list.List     // of *conn, the one that has waited for longest first
	bodies  map[*conn]int // number of unfinished request bodies
	unread  map[*conn]struct{}
	ended   bool
}

// place is where a connection stands in its group.
type place struct {
	waiting *list.Element // nil during a request
	counted bool          // until it is closed
}

func (n *Connections) addGroup(g *group) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g.bodies, g.unread = map[*conn]int{}, map[*conn]struct{}{}
	n.groups = append(n.groups, g)
}

func (n *Connections) add(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open++
	c.listener.group.open++
	c.place.counted = true
}

// awaitRoom returns when one more connection may be open, or one can be closed for it.
func (n *Connections) awaitRoom(l *listener) { n.await(l) }

// makeRoom is like awaitRoom, and closes the connection.
func (n *Connections) makeRoom(l *listener) {
	if c := n.await(l); c != nil {
		c.listener.giveUp(c, ClosedForConnections)
	}
}

// await returns when there is room, or else the connection to close for a new one.
func (n *Connections) await(l *listener) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.limit > 0 && n.open >= n.limit && !l.group.ended {
		if c := n.oldest(); c != nil {
			return c
		}
		n.awaitChange()
	}
	return nil
}

// awaitChange returns when connections may have changed, or a body may have stopped. The
// caller holds the lock.
func (n *Connections) awaitChange() {
	timer := time.AfterFunc(bodyGrace/4, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.changed.Broadcast()
	})
	defer timer.Stop()
	n.changed.Wait()
}

// oldest returns the connection to close for a new one, or nil. The caller holds the lock.
func (n *Connections) oldest() *conn {
	var out *conn
	most := 0
	for _, g := range n.groups {
		if first := g.waiting.Front(); first != nil && g.open > most {
			out, _ = first.Value.(*conn)
			most = g.open
		}
	}
	if out != nil {
		return out
	}
	least := int64(time.Since(n.start) - bodyGrace)
	consider := func(c *conn) {
		if at := c.progress.Load(); at <= least {
			out, least = c, at
		}
	}
	for _, g := range n.groups {
		for c := range g.bodies {
			consider(c)
		}
		for c := range g.unread {
			consider(c)
		}
	}
	return out
}

// end makes all that wait for room of a listener return.
func (n *Connections) end(l *listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l.group.ended = true
	n.changed.Broadcast()
}

// addBody adds 1 or -1 to the unfinished request bodies of a connection.
func (l *listener) addBody(c *conn, n int) {
	c.recordProgress()
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	if l.group.bodies[c] += n; l.group.bodies[c] <= 0 || !c.place.counted {
		delete(l.group.bodies, c)
	}
	l.conns.changed.Broadcast()
}

// setUnread records whether the caller of a connection reads its response.
func (l *listener) setUnread(c *conn, on bool) {
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	if on && c.place.counted {
		l.group.unread[c] = struct{}{}
	} else {
		delete(l.group.unread, c)
	}
	l.conns.changed.Broadcast()
}

func (l *listener) setWaiting(c *conn, on bool) {
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.place(c, on)
	l.conns.changed.Broadcast()
}

// place moves a connection into or out of the ones that wait. The caller holds the lock.
func (l *listener) place(c *conn, waiting bool) {
	if c.place.waiting != nil {
		l.group.waiting.Remove(c.place.waiting)
		c.place.waiting = nil
	}
	if waiting && c.place.counted {
		c.place.waiting = l.group.waiting.PushBack(c)
	}
}

// remove takes a closed connection out of the group.
func (l *listener) remove(c *conn) {
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.place(c, false)
	delete(l.group.bodies, c)
	delete(l.group.unread, c)
	if c.place.counted {
		c.place.counted = false
		l.group.open--
		l.conns.open--
	}
	l.conns.changed.Broadcast()
}
