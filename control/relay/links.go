package relay

import (
	"slices"
	"sync"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/wire"
)

// Links holds the open links to other replicas, by replica number. It is safe for
// concurrent use.
type Links struct {
	mu    sync.Mutex
	conns map[uint64][]*link.Conn
}

// NewLinks returns an empty set.
func NewLinks() *Links { return &Links{conns: map[uint64][]*link.Conn{}} }

// Add adds an open link.
func (l *Links) Add(c *link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := c.Peer().Replica
	l.conns[id] = append(l.conns[id], c)
}

// Remove removes a link.
func (l *Links) Remove(c *link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := c.Peer().Replica
	l.conns[id] = slices.DeleteFunc(l.conns[id], func(o *link.Conn) bool { return o == c })
	if len(l.conns[id]) == 0 {
		delete(l.conns, id)
	}
}

// Get returns the newest link to a replica, or nil. It is the most likely to
// work when an older one has gone silent but is not yet closed.
func (l *Links) Get(id uint64) *link.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conns := l.conns[id]; len(conns) > 0 {
		return conns[len(conns)-1]
	}
	return nil
}

// SendRaft sends a Raft message to a replica. Without a link the message is
// dropped, which Raft tolerates.
func (l *Links) SendRaft(to uint64, message []byte) {
	if c := l.Get(to); c != nil {
		_ = c.SendUrgent(wire.KindRaft, message) // a failed send closes the link
	}
}

// SendToRegion sends a message to every linked replica of a region.
func (l *Links) SendToRegion(region string, kind wire.Kind, body any) {
	l.sendTo(func(c *link.Conn) bool { return c.Peer().Region == region }, kind, body)
}

// Any returns a link to an arbitrary replica, or nil.
func (l *Links) Any() *link.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conns := range l.conns {
		return conns[len(conns)-1]
	}
	return nil
}

// All returns every link to another replica.
func (l *Links) All() []*link.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*link.Conn
	for _, conns := range l.conns {
		out = append(out, conns...)
	}
	return out
}

// Peers returns the hello message of each linked replica.
func (l *Links) Peers() []wire.Hello {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]wire.Hello, 0, len(l.conns))
	for _, conns := range l.conns {
		out = append(out, conns[len(conns)-1].Peer())
	}
	return out
}

// Broadcast sends a message to every linked replica.
func (l *Links) Broadcast(kind wire.Kind, body any) {
	l.sendTo(func(*link.Conn) bool { return true }, kind, body)
}

func (l *Links) sendTo(match func(c *link.Conn) bool, kind wire.Kind, body any) {
	l.mu.Lock()
	var selected []*link.Conn
	for _, conns := range l.conns {
		if c := conns[len(conns)-1]; match(c) {
			selected = append(selected, c)
		}
	}
	l.mu.Unlock()
	for _, c := range selected {
		_ = c.Send(kind, body) // a failed send closes the link
	}
}
