package gossip

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Intervals, timeouts and bounds of links and suspicions.
const (
	// redialInterval is the time between attempts to link to one instance.
	redialInterval = time.Second
	// skipAfter is how long a ring successor may be without a link before the
	// next one on the ring is linked too.
	skipAfter = time.Second
	// suspectAfter is how long redialling may fail before the instance is
	// suspected. Reopening a link takes one attempt.
	suspectAfter = 2 * time.Second
	// resuspectInterval limits flooding when two instances cannot link and the
	// suspicion was refuted through other instances.
	resuspectInterval = 15 * time.Second
	// refuteTimeout is how long a suspected instance has to refute.
	refuteTimeout = 5 * time.Second
	// refuteMargin is added to refuteTimeout on all other instances, so that
	// normally only the suspecting predecessor floods the state gone.
	refuteMargin = time.Second
	// idleLinkTimeout is how long a link stays open when it is no longer required,
	// so that a change that is soon reversed reopens no links.
	idleLinkTimeout  = 10 * time.Second
	rejoinInterval   = 10 * time.Second
	maxLostAddresses = 64
	maxSkips         = 8
)

// peer is an open link.
type peer struct {
	dialed    bool
	idleSince time.Time // since when the link is not required; zero while it is
	mismatch  int       // consecutive digests that differed
}

// pendingLink tracks a ring successor that has no link yet.
type pendingLink struct {
	since       time.Time
	triedAt     time.Time
	suspectedAt time.Time
}

// Linked handles a link that was opened. Dialed is true on the side that dialled.
func (c *Core) Linked(now time.Time, name string, dialed bool) []Action {
	if name == c.name || name == "" {
		return nil
	}
	if len(c.peers) == 0 {
		c.extendSuspicions(now)
	}
	p := c.peers[name]
	if p == nil {
		p = new(peer)
		c.peers[name] = p
		c.sortPeerNames()
	}
	p.dialed = p.dialed || dialed
	delete(c.pending, name)
	if r := c.Get(KindInstance, name); r != nil && r.State == StateLeaving {
		delete(c.suspects, name)
	}
	c.send(name, c.message(now, []*Record{c.self}))
	if dialed {
		c.send(name, &Message{Digest: c.digest(false)})
	}
	return c.takeActions(now)
}

// Unlinked handles the end of the last link to an instance.
func (c *Core) Unlinked(now time.Time, name string) []Action {
	if _, known := c.peers[name]; !known {
		return nil
	}
	delete(c.peers, name)
	c.sortPeerNames()
	if c.repair.peerName == name {
		c.repair = repair{}
	}
	if r := c.Get(KindInstance, name); r != nil && r.State == StateLeaving {
		c.suspects[name] = now.Add(refuteTimeout)
	}
	return c.takeActions(now)
}

// extendSuspicions restarts the refutation timeout of all suspected instances
// after a period without links, in which no refutation could arrive.
func (c *Core) extendSuspicions(now time.Time) {
	for name := range c.suspects {
		c.suspects[name] = now.Add(refuteTimeout + refuteMargin)
	}
}

// updateMembership applies a changed record of an instance to the rings, pending
// links and suspicions.
func (c *Core) updateMembership(now time.Time, r *Record) {
	delete(c.suspects, r.Key)
	switch r.State {
	case StateGone, StateLeft, StateLeaving:
		if r.Key != c.name {
			c.rings.remove(r.Key)
			delete(c.pending, r.Key)
		}
		if r.State == StateGone {
			c.rememberLost(r)
		}
	case StateSuspect:
		c.suspects[r.Key] = now.Add(refuteTimeout + refuteMargin)
		c.rings.add(r.Key)
	default:
		c.rings.add(r.Key)
	}
}

// rememberLost keeps the address of a gone instance, which may be reachable again
// after a partition.
func (c *Core) rememberLost(r *Record) {
	body, err := r.Instance()
	if err != nil || !body.Peer.IsValid() {
		return
	}
	c.lostAddresses = slices.DeleteFunc(c.lostAddresses, func(a netip.AddrPort) bool { return a == body.Peer })
	c.lostAddresses = append(c.lostAddresses, body.Peer)
	if len(c.lostAddresses) > maxLostAddresses {
		c.lostAddresses = slices.Delete(c.lostAddresses, 0, 1)
	}
}

// connect dials the instances that the overlay requires and drops links that have
// not been required for idleLinkTimeout.
func (c *Core) connect(now time.Time) {
	required := map[string]bool{}
	if c.joined {
		required = c.requiredPeers(now)
	}
	for _, name := range slices.Sorted(maps.Keys(required)) {
		c.dial(now, name)
	}
	maps.DeleteFunc(c.pending, func(name string, _ *pendingLink) bool { return !required[name] })
	for _, name := range c.peerNames {
		p := c.peers[name]
		switch {
		case !p.dialed || required[name] || !c.joined:
			p.idleSince = time.Time{}
		case p.idleSince.IsZero():
			p.idleSince = now
		case now.Sub(p.idleSince) >= idleLinkTimeout:
			p.idleSince = now
			c.out = append(c.out, Action{Type: Drop, To: name})
		}
	}
	c.rejoin(now)
}

// requiredPeers returns the first reachable successor on each ring and the
// unreachable ones before it, up to maxSkips instances a ring.
func (c *Core) requiredPeers(now time.Time) map[string]bool {
	required := map[string]bool{}
	for ring := range ringCount {
		skips := 0
		c.rings.successors(ring, c.name, func(name string) bool {
			required[name] = true
			link := c.pending[name]
			_, suspected := c.suspects[name]
			down := c.peers[name] == nil && (suspected || link != nil && now.Sub(link.since) >= skipAfter)
			skips++
			return down && skips < maxSkips
		})
	}
	return required
}

func (c *Core) dial(now time.Time, name string) {
	if c.peers[name] != nil {
		return
	}
	link := c.pending[name]
	if link == nil {
		link = &pendingLink{since: now}
		c.pending[name] = link
	}
	r := c.Get(KindInstance, name)
	if r == nil || !link.triedAt.IsZero() && now.Sub(link.triedAt) < redialInterval {
		return
	}
	link.triedAt = now
	if body, err := r.Instance(); err == nil {
		c.out = append(c.out, Action{Type: Dial, To: name, Address: body.Peer})
	}
}

// rejoin dials a random seed or lost instance: every redialInterval while there
// is no link, otherwise every rejoinInterval, which rejoins parts of the fleet
// after a partition.
func (c *Core) rejoin(now time.Time) {
	if now.Before(c.nextRejoin) {
		return
	}
	c.nextRejoin = now.Add(rejoinInterval)
	if len(c.peers) == 0 {
		c.nextRejoin = now.Add(redialInterval)
	}
	known := map[netip.AddrPort]bool{c.body.Peer: true}
	if len(c.peers) > 0 {
		for _, position := range c.rings[0] {
			if body, err := c.Get(KindInstance, position.name).Instance(); err == nil {
				known[body.Peer] = true
			}
		}
	}
	var candidates []netip.AddrPort
	for _, a := range slices.Concat(c.seeds, c.lostAddresses) {
		if !known[a] {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) > 0 {
		c.out = append(c.out, Action{Type: Dial, Address: candidates[c.rand.IntN(len(candidates))]})
	}
}

// raiseSuspicions suspects successors that cannot be linked. An instance without
// any link suspects none: it is more likely cut off itself, and its suspicions
// would flood the fleet when it reconnects.
func (c *Core) raiseSuspicions(now time.Time) {
	if len(c.peers) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.pending)) {
		link := c.pending[name]
		e := c.table.get(recordID(KindInstance, name))
		if e == nil || now.Sub(link.since) < suspectAfter || e.record.State == StateSuspect {
			continue
		}
		if !link.suspectedAt.IsZero() && now.Sub(link.suspectedAt) < resuspectInterval {
			continue
		}
		link.suspectedAt = now
		c.stats.Suspicions++
		c.publishState(now, e.record, StateSuspect)
		c.suspects[name] = now.Add(refuteTimeout)
	}
}

// expireSuspicions declares suspected instances gone that did not refute in time,
// and leaving instances left that are no longer linked.
func (c *Core) expireSuspicions(now time.Time) {
	if len(c.peers) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.suspects)) {
		if now.Before(c.suspects[name]) {
			continue
		}
		r := c.Get(KindInstance, name)
		delete(c.suspects, name)
		if r != nil && r.State == StateLeaving {
			c.publishState(now, r, StateLeft)
		} else {
			c.publishState(now, r, StateGone)
		}
	}
}

// publishState publishes a state on behalf of another instance. It keeps the
// sequence number, so that the instance can refute with a higher one.
func (c *Core) publishState(now time.Time, r *Record, state State) {
	if r == nil {
		return
	}
	next := *r
	next.State, next.Age = state, 0
	if c.merge(now, &next) {
		c.originated = append(c.originated, &next)
	}
}
