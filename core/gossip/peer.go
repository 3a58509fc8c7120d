package gossip

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Times of links.
const (
	// redialInterval is the time between attempts to link to one instance.
	redialInterval = time.Second
	// skipAfter is how long an instance may be without a link before the next
	// one on the ring is linked too.
	skipAfter = time.Second
	// suspectAfter is how long redialling may fail before the instance is
	// suspected; a restart of a link takes one attempt.
	suspectAfter = 2 * time.Second
	// suspectAgain bounds the flooding when a pair of instances cannot link and
	// the suspicion was refuted through others.
	suspectAgain = 15 * time.Second
	// goneAfter is how long a suspected instance has to refute.
	goneAfter = 5 * time.Second
	// goneSlack is what others wait in addition, so that normally only the
	// predecessor floods the end.
	goneSlack = time.Second
	// linger keeps a link that is no longer needed, so that a change that is
	// soon reversed costs no links.
	linger         = 10 * time.Second
	rejoinInterval = 10 * time.Second
	maxLost        = 64
	maxSkips       = 8
)

// peer is an open link.
type peer struct {
	dialed   bool
	idle     time.Time // since when the link is not needed, zero when it is
	mismatch int       // digests in a row that differed
}

// wanted is a ring successor without a link.
type wanted struct {
	since     time.Time
	tried     time.Time
	suspected time.Time
}

// Linked tells that a link is open. Dialed is true on the side that dialled.
func (c *Core) Linked(now time.Time, name string, dialed bool) []Action {
	if name == c.name || name == "" {
		return nil
	}
	if len(c.peers) == 0 {
		c.respite(now)
	}
	p := c.peers[name]
	if p == nil {
		p = new(peer)
		c.peers[name] = p
		c.reorder()
	}
	p.dialed = p.dialed || dialed
	delete(c.wanted, name)
	if r := c.Get(KindInstance, name); r != nil && r.State == StateLeaving {
		delete(c.suspects, name)
	}
	c.send(name, c.message(now, []*Record{c.self}))
	if dialed {
		c.send(name, &Message{Digest: c.digest(false)})
	}
	return c.take(now)
}

// Unlinked tells that the last link to an instance is closed.
func (c *Core) Unlinked(now time.Time, name string) []Action {
	if _, known := c.peers[name]; !known {
		return nil
	}
	delete(c.peers, name)
	c.reorder()
	if c.repair.with == name {
		c.repair = repair{}
	}
	if r := c.Get(KindInstance, name); r != nil && r.State == StateLeaving {
		c.suspects[name] = now.Add(goneAfter)
	}
	return c.take(now)
}

// respite gives suspected instances the time to refute again after a time in
// which this instance could hear nobody.
func (c *Core) respite(now time.Time) {
	for name := range c.suspects {
		c.suspects[name] = now.Add(goneAfter + goneSlack)
	}
}

// track follows a changed record of another instance.
func (c *Core) track(now time.Time, r *Record) {
	delete(c.suspects, r.Key)
	switch r.State {
	case StateGone, StateLeft, StateLeaving:
		if r.Key != c.name {
			c.circle.remove(r.Key)
			delete(c.wanted, r.Key)
		}
		if r.State == StateGone {
			c.lose(r)
		}
	case StateSuspect:
		c.suspects[r.Key] = now.Add(goneAfter + goneSlack)
		c.circle.add(r.Key)
	default:
		c.circle.add(r.Key)
	}
}

// lose remembers the address of an instance that may come back after a partition.
func (c *Core) lose(r *Record) {
	body, err := r.Instance()
	if err != nil || !body.Peer.IsValid() {
		return
	}
	c.lost = slices.DeleteFunc(c.lost, func(a netip.AddrPort) bool { return a == body.Peer })
	c.lost = append(c.lost, body.Peer)
	if len(c.lost) > maxLost {
		c.lost = slices.Delete(c.lost, 0, 1)
	}
}

// connect dials what the overlay needs and drops what it no longer needs.
func (c *Core) connect(now time.Time) {
	need := map[string]bool{}
	if c.joined {
		need = c.need(now)
	}
	for _, name := range slices.Sorted(maps.Keys(need)) {
		c.dial(now, name)
	}
	maps.DeleteFunc(c.wanted, func(name string, _ *wanted) bool { return !need[name] })
	for _, name := range c.order {
		p := c.peers[name]
		switch {
		case !p.dialed || need[name] || !c.joined:
			p.idle = time.Time{}
		case p.idle.IsZero():
			p.idle = now
		case now.Sub(p.idle) >= linger:
			p.idle = now
			c.out = append(c.out, Action{Do: Drop, To: name})
		}
	}
	c.rejoin(now)
}

// need returns the first reachable successor on each ring and the unreachable
// ones before it.
func (c *Core) need(now time.Time) map[string]bool {
	need := map[string]bool{}
	for ring := range rings {
		skips := 0
		c.circle.successors(ring, c.name, func(name string) bool {
			need[name] = true
			w := c.wanted[name]
			_, suspected := c.suspects[name]
			down := c.peers[name] == nil && (suspected || w != nil && now.Sub(w.since) >= skipAfter)
			skips++
			return down && skips < maxSkips
		})
	}
	return need
}

func (c *Core) dial(now time.Time, name string) {
	if c.peers[name] != nil {
		return
	}
	w := c.wanted[name]
	if w == nil {
		w = &wanted{since: now}
		c.wanted[name] = w
	}
	r := c.Get(KindInstance, name)
	if r == nil || !w.tried.IsZero() && now.Sub(w.tried) < redialInterval {
		return
	}
	w.tried = now
	if body, err := r.Instance(); err == nil {
		c.out = append(c.out, Action{Do: Dial, To: name, Address: body.Peer})
	}
}

// rejoin dials a random seed or lost instance: at once and every second without
// any link, else rarely, which joins the parts of the fleet after a partition.
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
		for _, s := range c.circle[0] {
			if body, err := c.Get(KindInstance, s.name).Instance(); err == nil {
				known[body.Peer] = true
			}
		}
	}
	var candidates []netip.AddrPort
	for _, a := range slices.Concat(c.seeds, c.lost) {
		if !known[a] {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) > 0 {
		c.out = append(c.out, Action{Do: Dial, Address: candidates[c.rand.IntN(len(candidates))]})
	}
}

// suspect raises suspicions against successors that cannot be linked. An
// instance without any link suspects nobody: it is more likely cut off itself,
// and its suspicions would flood the fleet when it comes back.
func (c *Core) suspect(now time.Time) {
	if len(c.peers) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.wanted)) {
		w := c.wanted[name]
		e := c.table.get(identify(KindInstance, name))
		if e == nil || now.Sub(w.since) < suspectAfter || e.record.State == StateSuspect {
			continue
		}
		if !w.suspected.IsZero() && now.Sub(w.suspected) < suspectAgain {
			continue
		}
		w.suspected = now
		c.stats.Suspicions++
		c.declare(now, e.record, StateSuspect)
		c.suspects[name] = now.Add(goneAfter)
	}
}

// expire declares suspected instances gone that did not refute in time, and
// departed ones left that are no longer linked.
func (c *Core) expire(now time.Time) {
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
			c.declare(now, r, StateLeft)
		} else {
			c.declare(now, r, StateGone)
		}
	}
}

// declare publishes another instance's state on its behalf, within its
// sequence number, so that the instance can refute with a higher one.
func (c *Core) declare(now time.Time, r *Record, state State) {
	if r == nil {
		return
	}
	next := *r
	next.State, next.Age = state, 0
	if c.merge(now, &next) {
		c.own = append(c.own, &next)
	}
}
