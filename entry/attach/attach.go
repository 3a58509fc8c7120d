// Package attach selects the control replicas that an entry links to.
//
// An entry knows a few seeds from its settings and learns all replicas from the
// first one that it reaches. It keeps links to several replicas, so that at least
// one link remains after the loss of as many replicas as the control group
// tolerates. It prefers the nearest ones, since traffic between regions is
// expensive. Among equally near replicas the order is given by a hash, which
// distributes the entries over them.
//
// Core does no I/O: it is told of events and returns the links to open and close.
package attach

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Timeouts of a dial, which double with each failure because of paths that lose
	// packets. A link between regions opens in about 0.1 s. A dial to a machine that
	// is still starting hangs for 1 s, until its first packet is retransmitted.
	initialDialTimeout = 200 * time.Millisecond
	maxDialTimeout     = 3 * time.Second
	// Backoff after failed dials. The maximum limits how late an entry links to a
	// replica that is available again.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Location is the location of the entry.
type Location struct {
	Instance   string
	Region     string
	DataCentre string
}

// Replica is the address and location of a control replica. The location of a seed
// is empty until the replica is reached or listed.
type Replica struct {
	Address    netip.AddrPort
	Region     string
	DataCentre string
}

// replicaState is the state of one replica and its link.
type replicaState struct {
	replica     Replica
	seed        bool
	listed      bool
	open        bool
	dialStart   time.Time     // start of the pending dial, zero if there is none
	dialTimeout time.Duration // of the next dial
	backoff     time.Duration
	retryAt     time.Time // time of the next dial at the earliest
}

// Core selects the links of one entry. It is not safe for concurrent use.
type Core struct {
	location  Location
	wantLinks int
	replicas  map[netip.AddrPort]*replicaState
}

// New returns a core that plans for wantLinks links.
func New(location Location, wantLinks int) *Core {
	return &Core{location: location, wantLinks: wantLinks, replicas: map[netip.AddrPort]*replicaState{}}
}

// SetSeeds replaces the seeds. A former seed is kept if it is on the list of
// replicas, linked or being dialled.
func (c *Core) SetSeeds(seeds []netip.AddrPort) {
	for _, s := range c.replicas {
		s.seed = false
	}
	for _, seed := range seeds {
		c.getOrAdd(seed).seed = true
	}
	c.prune()
}

// SetReplicas replaces the list of replicas.
func (c *Core) SetReplicas(list []Replica) {
	for _, s := range c.replicas {
		s.listed = false
	}
	for _, r := range list {
		s := c.getOrAdd(r.Address)
		s.listed = true
		if r.Region != "" {
			s.replica = r
		}
	}
	c.prune()
}

func (c *Core) getOrAdd(address netip.AddrPort) *replicaState {
	s := c.replicas[address]
	if s == nil {
		s = &replicaState{replica: Replica{Address: address}, backoff: initialBackoff, dialTimeout: initialDialTimeout}
		c.replicas[address] = s
	}
	return s
}

func (c *Core) prune() {
	for address, s := range c.replicas {
		if !s.seed && !s.listed && !s.open && s.dialStart.IsZero() {
			delete(c.replicas, address)
		}
	}
}

// LinkOpened records that a link has been opened.
func (c *Core) LinkOpened(r Replica) {
	s := c.getOrAdd(r.Address)
	s.replica, s.open, s.dialStart, s.backoff, s.dialTimeout = r, true, time.Time{}, initialBackoff, initialDialTimeout
}

// LinkClosed records that a link has been closed.
func (c *Core) LinkClosed(now time.Time, address netip.AddrPort) { c.startBackoff(now, address) }

// DialFailed records that a dial has failed.
func (c *Core) DialFailed(now time.Time, address netip.AddrPort) { c.startBackoff(now, address) }

func (c *Core) startBackoff(now time.Time, address netip.AddrPort) {
	s := c.getOrAdd(address)
	s.open, s.dialStart = false, time.Time{}
	s.retryAt = now.Add(s.backoff)
	s.backoff, s.dialTimeout = min(2*s.backoff, maxBackoff), min(2*s.dialTimeout, maxDialTimeout)
	c.prune()
}

// Dial is a link to open.
type Dial struct {
	Address netip.AddrPort
	Timeout time.Duration // after which the dial counts as failed
}

// Plan returns the replicas to dial, which are then considered as being dialled,
// and the replicas whose links are to be closed because nearer ones are linked.
func (c *Core) Plan(now time.Time) (dial []Dial, drop []netip.AddrPort) {
	states := c.sorted()
	count := 0
	for _, s := range states {
		if s.open {
			count++
		}
		if s.open && count > c.wantLinks {
			drop = append(drop, s.replica.Address)
		}
		if !s.dialStart.IsZero() && now.Sub(s.dialStart) < initialDialTimeout {
			count++
		}
	}
	for _, s := range states {
		if count >= c.wantLinks {
			break
		}
		if s.open || !s.dialStart.IsZero() || now.Before(s.retryAt) {
			continue
		}
		s.dialStart = now
		dial = append(dial, Dial{Address: s.replica.Address, Timeout: s.dialTimeout})
		count++
	}
	return dial, drop
}

// ByDistance compares addresses by distance, the nearest first.
func (c *Core) ByDistance(a, b netip.AddrPort) int { return c.compare(c.getOrAdd(a), c.getOrAdd(b)) }

func (c *Core) sorted() []*replicaState {
	out := make([]*replicaState, 0, len(c.replicas))
	for _, s := range c.replicas {
		out = append(out, s)
	}
	slices.SortFunc(out, c.compare)
	return out
}

func (c *Core) compare(a, b *replicaState) int {
	return cmp.Or(
		cmp.Compare(c.distance(a), c.distance(b)),
		cmp.Compare(c.hash(a), c.hash(b)),
		a.replica.Address.Compare(b.replica.Address),
	)
}

// distance is smaller for nearer replicas. In other regions, listed replicas come
// before a seed that is not listed, which may have left the group.
func (c *Core) distance(s *replicaState) int {
	switch {
	case s.replica.DataCentre == c.location.DataCentre && s.replica.Region == c.location.Region:
		return 0
	case s.replica.Region == c.location.Region:
		return 1
	case s.listed:
		return 2
	}
	return 3
}

func (c *Core) hash(s *replicaState) uint64 {
	return xxhash.Sum64String(c.location.Instance + " " + s.replica.Address.String())
}
