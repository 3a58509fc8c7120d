package stub

import (
	"maps"
	"sync"
	"time"
)

// Kind is the kind of a request as the target sees it.
type Kind string

// The kinds.
const (
	Lookup Kind = "lookup" // GET and HEAD
	Order  Kind = "order"  // any other method
	Upload Kind = "upload" // any other method below /uploads
)

// maxKeys bounds the counted keys, so that a long run does not fill the memory.
const maxKeys = 1 << 20

// Run is what the target knows of one request key.
type Run struct {
	Kind  Kind `json:"kind"`
	Times int  `json:"times"`
}

// Counts is what the target has counted since its start.
type Counts struct {
	Ran         map[Kind]int   `json:"ran"`         // executions by kind
	Keys        map[string]Run `json:"keys"`        // executions by Idempotency-Key, or else by Galenalock-Request
	Repeated    int            `json:"repeated"`    // executions of orders beyond the first of their key
	Shed        int            `json:"shed"`        // answered 503 without running
	Incomplete  int            `json:"incomplete"`  // requests whose body ended early
	Cancelled   int            `json:"cancelled"`   // lookups ended by the caller
	Failed      int            `json:"failed"`      // answered 500 by fault
	Cut         int            `json:"cut"`         // connections ended by fault
	Connections int            `json:"connections"` // open connections
	Peak        int            `json:"peak"`        // most connections open at the same time
	Accepted    int            `json:"accepted"`    // connections since the start
	Inflight    int            `json:"inflight"`    // requests in slots
	Announced   int            `json:"announced"`   // announcements that an entry accepted
	Last        Duration       `json:"last"`        // time of the last new request after the announcement of leaving
	State       string         `json:"state"`       // state in the last announcement
}

type counter struct {
	mu      sync.Mutex
	counts  Counts
	leaving time.Time
}

func newCounter() *counter {
	return &counter{counts: Counts{Ran: map[Kind]int{}, Keys: map[string]Run{}}}
}

func (c *counter) change(f func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.counts)
}

func (c *counter) ran(kind Kind, key string) {
	c.change(func(n *Counts) {
		n.Ran[kind]++
		run, known := n.Keys[key]
		if key == "" || (!known && len(n.Keys) >= maxKeys) {
			return
		}
		n.Keys[key] = Run{Kind: kind, Times: run.Times + 1}
		if known && kind == Order {
			n.Repeated++
		}
	})
}

// arrived notes a new request, which counts for the bound on leaving targets.
func (c *counter) arrived(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leaving.IsZero() {
		c.counts.Last = Duration(now.Sub(c.leaving))
	}
}

func (c *counter) leave(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = now
}

func (c *counter) opened() {
	c.change(func(n *Counts) {
		n.Accepted++
		n.Connections++
		n.Peak = max(n.Peak, n.Connections)
	})
}

func (c *counter) closed() { c.change(func(n *Counts) { n.Connections-- }) }

func (c *counter) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	out.Ran = maps.Clone(out.Ran)
	out.Keys = maps.Clone(out.Keys)
	return out
}
