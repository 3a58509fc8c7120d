// Package attach chooses the control replicas that an entry holds links to.
//
// An entry knows a few seeds from its settings and learns all replicas from the
// first one that it reaches. It holds links to a few of them, so that the loss
// of as many as are tolerated leaves one, and prefers the nearest, since bytes
// between regions are dear. Entries spread over equally near replicas by a hash.
//
// Core is pure: it takes what happened and returns what to dial and to drop.
package attach

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Limits of an attempt. A link between regions opens in about 0.1 s, and the
	// first packet to a machine that is just starting is sent again after 1 s
	// only. The limit doubles with each failure, for paths that lose packets.
	firstLimit = 200 * time.Millisecond
	lastLimit  = 3 * time.Second
	// Pauses after failed attempts. The longest one bounds how late an entry
	// links to a replica that is back.
	firstPause = 100 * time.Millisecond
	lastPause  = 500 * time.Millisecond
)

// Here is the place of the entry.
type Here struct {
	Instance   string
	Region     string
	DataCentre string
}

// Replica is the place of a control replica. The region of a seed is unknown
// until the replica is reached.
type Replica struct {
	Address    netip.AddrPort
	Region     string
	DataCentre string
}

// state is what is known of one replica.
type state struct {
	replica Replica
	seed    bool
	listed  bool
	open    bool
	dialing time.Time     // start of the attempt, zero: none
	limit   time.Duration // of the next attempt
	pause   time.Duration
	until   time.Time // no attempt before
}

// Core is the choice of one entry. It is not safe for concurrent use.
type Core struct {
	here  Here
	links int
	known map[netip.AddrPort]*state
}

// New returns a core that wants so many links.
func New(here Here, links int) *Core {
	return &Core{here: here, links: links, known: map[netip.AddrPort]*state{}}
}

// Seed replaces the seeds. Replicas that are no seeds any more stay known if a
// replica lists them or a link leads to them.
func (c *Core) Seed(seeds []netip.AddrPort) {
	for _, s := range c.known {
		s.seed = false
	}
	for _, seed := range seeds {
		c.state(seed).seed = true
	}
	c.forget()
}

// Learn replaces the list of replicas.
func (c *Core) Learn(list []Replica) {
	for _, s := range c.known {
		s.listed = false
	}
	for _, r := range list {
		s := c.state(r.Address)
		s.listed = true
		if r.Region != "" {
			s.replica = r
		}
	}
	c.forget()
}

func (c *Core) state(address netip.AddrPort) *state {
	s := c.known[address]
	if s == nil {
		s = &state{replica: Replica{Address: address}, pause: firstPause, limit: firstLimit}
		c.known[address] = s
	}
	return s
}

func (c *Core) forget() {
	for address, s := range c.known {
		if !s.seed && !s.listed && !s.open && s.dialing.IsZero() {
			delete(c.known, address)
		}
	}
}

// Opened notes an open link.
func (c *Core) Opened(r Replica) {
	s := c.state(r.Address)
	s.replica, s.open, s.dialing, s.pause, s.limit = r, true, time.Time{}, firstPause, firstLimit
}

// Closed notes the end of a link.
func (c *Core) Closed(now time.Time, address netip.AddrPort) { c.fail(now, address) }

// Failed notes an attempt that failed.
func (c *Core) Failed(now time.Time, address netip.AddrPort) { c.fail(now, address) }

func (c *Core) fail(now time.Time, address netip.AddrPort) {
	s := c.state(address)
	s.open, s.dialing = false, time.Time{}
	s.until = now.Add(s.pause)
	s.pause, s.limit = min(2*s.pause, lastPause), min(2*s.limit, lastLimit)
	c.forget()
}

// Dial is an attempt to open a link.
type Dial struct {
	Address netip.AddrPort
	Limit   time.Duration // after which it has failed
}

// Plan returns the replicas to dial, which it takes for being dialled, and those
// whose link is not needed any more.
func (c *Core) Plan(now time.Time) (dial []Dial, drop []netip.AddrPort) {
	order := c.order()
	have := 0
	for _, s := range order {
		if s.open {
			have++
		}
		if s.open && have > c.links {
			drop = append(drop, s.replica.Address)
		}
		if !s.dialing.IsZero() && now.Sub(s.dialing) < firstLimit {
			have++
		}
	}
	for _, s := range order {
		if have >= c.links {
			break
		}
		if s.open || !s.dialing.IsZero() || now.Before(s.until) {
			continue
		}
		s.dialing = now
		dial = append(dial, Dial{Address: s.replica.Address, Limit: s.limit})
		have++
	}
	return dial, drop
}

// Rank orders addresses by how near they are, the nearest first.
func (c *Core) Rank(a, b netip.AddrPort) int { return c.compare(c.state(a), c.state(b)) }

func (c *Core) order() []*state {
	out := make([]*state, 0, len(c.known))
	for _, s := range c.known {
		out = append(out, s)
	}
	slices.SortFunc(out, c.compare)
	return out
}

func (c *Core) compare(a, b *state) int {
	return cmp.Or(
		cmp.Compare(c.distance(a), c.distance(b)),
		cmp.Compare(c.hash(a), c.hash(b)),
		a.replica.Address.Compare(b.replica.Address),
	)
}

// distance is small for near replicas. A listed one goes before a seed that no
// replica lists, which may have left the group.
func (c *Core) distance(s *state) int {
	switch {
	case s.replica.DataCentre == c.here.DataCentre && s.replica.Region == c.here.Region:
		return 0
	case s.replica.Region == c.here.Region:
		return 1
	case s.listed:
		return 2
	}
	return 3
}

func (c *Core) hash(s *state) uint64 {
	return xxhash.Sum64String(c.here.Instance + " " + s.replica.Address.String())
}
