package state

import (
	"crypto/sha256"
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

type claimKey struct {
	Service string `cbor:"service"`
	Key     string `cbor:"key"`
}

// claim is the record of a key. Its state is running, done, unknown or
// released; a released record keeps only the attempt that was released, so
// that a late duplicate of its Claim is not granted.
type claim struct {
	Print       uint64          `cbor:"print"`
	Owner       string          `cbor:"owner"`
	Incarnation time.Time       `cbor:"incarnation"`
	Attempt     uint64          `cbor:"attempt"`
	State       wire.ClaimState `cbor:"state"`
	Made        time.Time       `cbor:"made"`
	Until       time.Time       `cbor:"until"` // when the state changes by itself
	Answer      *wire.Answer    `cbor:"answer,omitempty"`
}

// retired is what remains of a claim: a key that does not count as new.
type retired struct {
	Print uint64          `cbor:"print"`
	State wire.ClaimState `cbor:"state"` // expired or unknown
	Until time.Time       `cbor:"until"` // zero: for ever
}

// owner is an instance that has claimed.
type owner struct {
	Incarnation time.Time `cbor:"incarnation"`
	Seen        time.Time `cbor:"seen"`
	running     map[claimKey]struct{}
}

type claims struct {
	table   map[claimKey]*claim
	retired map[digest]retired
	owners  map[string]*owner
	due     dueQueue
	stored  int // bytes of the answers
	running int
	unknown int
}

func newClaims() claims {
	return claims{
		table:   map[claimKey]*claim{},
		retired: map[digest]retired{},
		owners:  map[string]*owner{},
	}
}

func (k claimKey) digest() digest {
	h := sha256.New()
	h.Write([]byte(k.Service))
	h.Write([]byte{0})
	h.Write([]byte(k.Key))
	return digest(h.Sum(nil)[:16])
}

func (c *claim) by(owner string, incarnation time.Time, attempt uint64) bool {
	return c.Owner == owner && c.Incarnation.Equal(incarnation) && c.Attempt == attempt
}

// claim answers a Claim. With hold false the claims of others are ignored.
func (s *claims) claim(c *wire.Claim, now time.Time, hold bool) *wire.Claimed {
	s.see(c.Owner, c.Incarnation, now)
	key := claimKey{Service: c.Service, Key: c.Key}
	if hold {
		if held, ok := s.held(key, c); ok {
			return held
		}
	}
	s.drop(key)
	expires := min(max(c.Expires, minExpiry), maxExpiry)
	s.put(key, &claim{
		Print: c.Fingerprint, Owner: c.Owner, Incarnation: c.Incarnation, Attempt: c.Attempt,
		State: wire.ClaimRunning, Made: now, Until: now.Add(expires),
	})
	return &wire.Claimed{State: wire.ClaimGranted}
}

// held answers a Claim whose key is in use.
func (s *claims) held(key claimKey, c *wire.Claim) (*wire.Claimed, bool) {
	have, ok := s.table[key]
	if !ok {
		old, ok := s.retired[key.digest()]
		if !ok {
			return nil, false
		}
		if old.Print != c.Fingerprint {
			return &wire.Claimed{State: wire.ClaimMismatch}, true
		}
		return &wire.Claimed{State: old.State}, true
	}
	same := have.by(c.Owner, c.Incarnation, c.Attempt)
	if have.State == wire.ClaimReleased {
		return &wire.Claimed{State: wire.ClaimReleased}, same
	}
	if have.Print != c.Fingerprint {
		return &wire.Claimed{State: wire.ClaimMismatch}, true
	}
	if have.State == wire.ClaimRunning && same {
		return &wire.Claimed{State: wire.ClaimGranted}, true
	}
	return &wire.Claimed{State: have.State, Answer: have.Answer}, true
}

// close answers a Close. Only the attempt that holds a claim changes it.
func (s *claims) close(c *wire.Close, now time.Time) *wire.Claimed {
	key := claimKey{Service: c.Service, Key: c.Key}
	have, ok := s.table[key]
	if !ok {
		return s.closeAbsent(key, c, now)
	}
	if !have.by(c.Owner, c.Incarnation, c.Attempt) {
		return &wire.Claimed{State: have.State}
	}
	switch {
	case c.Outcome == wire.OutcomeDone && (have.State == wire.ClaimRunning || have.State == wire.ClaimUnknown):
		s.finish(key, have, c.Answer, now)
	case c.Outcome == wire.OutcomeReleased && have.State == wire.ClaimRunning:
		s.drop(key)
		s.put(key, mark(c, now))
		return &wire.Claimed{State: wire.ClaimReleased}
	case c.Outcome == wire.OutcomeUnknown && have.State == wire.ClaimRunning:
		s.lose(key, have)
	}
	return &wire.Claimed{State: have.State}
}

func (s *claims) closeAbsent(key claimKey, c *wire.Close, now time.Time) *wire.Claimed {
	if old, ok := s.retired[key.digest()]; ok {
		return &wire.Claimed{State: old.State}
	}
	if c.Outcome == wire.OutcomeReleased {
		// The Claim may still be on its way. Granting it after its owner has
		// given up would block the key until it expires as unknown.
		s.put(key, mark(c, now))
		return &wire.Claimed{State: wire.ClaimReleased}
	}
	return &wire.Claimed{State: wire.ClaimUnknown}
}

func mark(c *wire.Close, now time.Time) *claim {
	return &claim{
		Owner: c.Owner, Incarnation: c.Incarnation, Attempt: c.Attempt,
		State: wire.ClaimReleased, Made: now, Until: now.Add(markRetention),
	}
}

// finish records the answer of a claim, without its body when it is too large
// or the store of answers is full.
func (s *claims) finish(key claimKey, c *claim, answer *wire.Answer, now time.Time) {
	s.leave(key, c)
	limited := limit(answer, MaxAnswers-s.stored)
	c.State, c.Answer = wire.ClaimDone, limited
	c.Until = now.Add(AnswerRetention)
	if end := c.Made.Add(KeyRetention); end.Before(c.Until) {
		c.Until = end
	}
	s.stored += size(limited)
	s.due.add(dueItem{at: c.Until, key: key})
}

// lose makes a running claim unknown.
func (s *claims) lose(key claimKey, c *claim) {
	s.leave(key, c)
	c.State = wire.ClaimUnknown
	c.Until = c.Made.Add(KeyRetention)
	s.unknown++
	s.due.add(dueItem{at: c.Until, key: key})
}

func limit(a *wire.Answer, room int) *wire.Answer {
	if n := size(a); n <= wire.MaxAnswer && n <= room {
		return a
	}
	small := &wire.Answer{Status: a.Status, Header: a.Header}
	if size(small) > MaxOversize {
		small.Header = nil
	}
	return small
}

func size(a *wire.Answer) int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}
