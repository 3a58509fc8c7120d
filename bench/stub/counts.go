package stub

import (
	"maps"
	"sync"
	"time"
)

// Kind is the kind of a request, which the target derives from method and path.
type Kind string

// Kinds of requests.
const (
	Lookup Kind = "lookup" // GET and HEAD
	Order  Kind = "order"  // any other method
	Upload Kind = "upload" // any other method below /uploads
)

// maxKeys bounds the number of counted keys, and with it the memory in a long
// run.
const maxKeys = 1 << 20

// KeyCount holds the executions of requests with one key.
type KeyCount struct {
	Kind  Kind `json:"kind"`
	Times int  `json:"times"`
}

// Counts holds the counters of a target since its start.
type Counts struct {
	Ran         map[Kind]int        `json:"ran"`         // executions by kind
	Keys        map[string]KeyCount `json:"keys"`        // executions by Idempotency-Key, or else by Galenalock-Request
	Repeated    int                 `json:"repeated"`    // executions of orders after the first with the same key
	Shed        int                 `json:"shed"`        // answered 503 without execution
	Incomplete  int                 `json:"incomplete"`  // requests with a truncated body
	Cancelled   int                 `json:"cancelled"`   // lookups cancelled by the caller
	Failed      int                 `json:"failed"`      // answered 500 because of a fault
	Cut         int                 `json:"cut"`         // answers cut off because of a fault
	Connections int                 `json:"connections"` // open connections
	Peak        int                 `json:"peak"`        // largest number of open connections
	Accepted    int                 `json:"accepted"`    // connections accepted since the start
	Inflight    int                 `json:"inflight"`    // requests that occupy a slot
	Announced   int                 `json:"announced"`   // announcements accepted by an entry
	LastArrival Duration            `json:"last"`        // time from the announcement of leaving to the last new request
	State       string              `json:"state"`       // state in the last announcement
}

type counter struct {
	mu     sync.Mutex
	counts Counts
	leftAt time.Time
}

func newCounter() *counter {
	return &counter{counts: Counts{Ran: map[Kind]int{}, Keys: map[string]KeyCount{}}}
}

func (c *counter) update(f func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.counts)
}

func (c *counter) recordRun(kind Kind, key string) {
	c.update(func(n *Counts) {
		n.Ran[kind]++
		run, known := n.Keys[key]
		if key == "" || (!known && len(n.Keys) >= maxKeys) {
			return
		}
		n.Keys[key] = KeyCount{Kind: kind, Times: run.Times + 1}
		if known && kind == Order {
			n.Repeated++
		}
	})
}

// recordArrival records the time of a new request if the target is leaving, to
// check how long a leaving target still gets new requests.
func (c *counter) recordArrival(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leftAt.IsZero() {
		c.counts.LastArrival = Duration(now.Sub(c.leftAt))
	}
}

func (c *counter) recordLeaving(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leftAt = now
}

func (c *counter) connOpened() {
	c.update(func(n *Counts) {
		n.Accepted++
		n.Connections++
		n.Peak = max(n.Peak, n.Connections)
	})
}

func (c *counter) connClosed() { c.update(func(n *Counts) { n.Connections-- }) }

func (c *counter) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	out.Ran = maps.Clone(out.Ran)
	out.Keys = maps.Clone(out.Keys)
	return out
}
