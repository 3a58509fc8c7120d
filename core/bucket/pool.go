package bucket

import "time"

const (
	// shareTime is the time constant with which the grants to a holder are averaged, and
	// with which a promise shrinks at the leader and at the holder.
	shareTime = 5 * time.Second
	// minShare is the rate below which a share and a promise end, at the leader and at
	// the holder. One grant counts for 6 s. With a lower value the leader would keep more
	// than the 32 shares for each workspace that it has at the large size.
	minShare = 0.06 // requests a second

	// replicaPart and entryPart are the parts of a rate that replicas and entries may be
	// promised together. Replicas get most of it: one sees the demand of many entries, so
	// its promise is used up more evenly. What is left of the rate is always granted.
	replicaPart = 0.6
	entryPart   = 0.2
	// replicaMargin is the promise to a replica over its average grants. When a replica is
	// lost, the others get the questions of its entries.
	replicaMargin = 1.5
	entryMargin   = 1.0
)

// pool holds the promises of one workspace to all entries, or to all replicas.
type pool struct {
	part, margin float64
	promised     float64 // sum of the promises
	released     float64 // sum of the promises of former leaders that have ended
	shares       map[uint64]share
}

// share is what one holder was granted.
type share struct {
	rate     float64 // average of the grants, requests a second
	promised float64 // rate at which the holder continues without an answer
	at       time.Duration
	released bool // the holder has released the promise of former leaders
}

func newPool(part, margin float64) pool {
	return pool{part: part, margin: margin, shares: map[uint64]share{}}
}

// reserve returns the largest sum of the promises of former leaders that may still be
// held, a time after the last of them was made.
func (p *pool) reserve(rate float64, since time.Duration) float64 {
	return max(0, p.part*rate*decay(since, shareTime)-p.released)
}

// charge returns the number of requests that a holder may have run during a silence.
func (p *pool) charge(holder uint64, at, silence time.Duration) float64 {
	s, ok := p.shares[holder]
	if !ok {
		return 0
	}
	return s.promised * decay(at-s.at, shareTime) * silence.Seconds()
}

func (p *pool) shrink(elapsed time.Duration) {
	f := decay(elapsed, shareTime)
	p.promised *= f
	p.released *= f
}

// scale adapts the promises to a lower rate.
func (p *pool) scale(factor float64) {
	p.promised *= factor
	p.released *= factor
	for holder, s := range p.shares {
		s.promised *= factor
		s.rate *= factor
		p.shares[holder] = s
	}
}

// record counts the tokens granted to a holder and the promise that it released, and
// returns its promise. room is what may be promised to all holders.
func (p *pool) record(now time.Duration, holder uint64, tokens, released, room float64) float64 {
	s := p.shares[holder]
	f := decay(now-s.at, shareTime)
	s.at = now
	s.rate = max(0, s.rate*f+tokens/shareTime.Seconds())
	if released > 0 && !s.released {
		s.released = true
		p.released += released
	}
	before := s.promised * f
	// A promise is never reduced, since the holder may miss the answer.
	s.promised = max(before, min(p.margin*s.rate, room-(p.promised-before)))
	p.promised += s.promised - before
	p.shares[holder] = s
	return s.promised
}

// prune removes the holders without grants. Those that released a promise are kept while
// a copy of the message may arrive.
func (p *pool) prune(now time.Duration, keepReleased bool) {
	p.promised = 0
	for holder, s := range p.shares {
		f := decay(now-s.at, shareTime)
		if s.rate*f < minShare && s.promised*f < minShare && (!s.released || !keepReleased) {
			delete(p.shares, holder)
			continue
		}
		p.promised += s.promised * f
	}
}

// promise is what a holder was promised by the leader.
type promise struct {
	rate float64
	at   time.Duration // when the question was sent
	// released is the promise of former leaders that ended at releasedAt, to be reported.
	released   float64
	releasedAt time.Duration

	since time.Duration // last contact with the leader, from which lent counts
	lent  int
	phase float64 // of the first token
}

// set records a promise unless a later one is known.
func (p *promise) set(rate float64, sent time.Duration) {
	if sent >= p.at {
		p.rate, p.at = rate, sent
	}
}

func (p *promise) now(now time.Duration) float64 { return p.rate * decay(now-p.at, shareTime) }

// end ends the promise of a former leader.
func (p *promise) end(now time.Duration) {
	p.released = p.released*decay(now-p.releasedAt, shareTime) + p.now(now)
	p.releasedAt, p.rate = now, 0
}

// report returns the released rate in thousandths of a request a second.
func (p *promise) report(now time.Duration) int {
	return int(1000 * p.released * decay(now-p.releasedAt, shareTime))
}

// take takes up to n tokens out of the promise, which may be used from begin on. phase
// returns the random phase of the first token.
func (p *promise) take(now, contact, begin time.Duration, n int, phase func() float64) int {
	if p.since != contact {
		p.since, p.lent, p.phase = contact, 0, phase()
	}
	// The promise has shrunk since the answer that carried it.
	rate := p.now(begin)
	if rate < minShare {
		return 0
	}
	accrued := rate * shareTime.Seconds() * (1 - decay(now-begin, shareTime))
	n = max(0, min(n, int(accrued+p.phase)-p.lent))
	p.lent += n
	return n
}
