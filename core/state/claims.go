package state

import (
	"crypto/sha256"
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

type claimKey struct {
	Service string
	Key     string
}

// claim is the record of a key. Its state is running, done, unknown or
// released; a released record keeps only the attempt that was released, so
// that a late duplicate of its Claim is not granted.
type claim struct {
	Print       uint64
	Owner       string
	Incarnation time.Time
	Attempt     uint64
	State       wire.ClaimState
	Made        time.Time
	Until       time.Time // when the state changes by itself
	// Answer is an encoded wire.Answer: it is smaller than the struct, and a
	// snapshot, during which the replica does nothing else, only copies it.
	Answer []byte
}

// retired is what remains of a claim: a key that does not count as new.
type retired struct {
	Print uint64
	Until int64 // Unix nanoseconds, 0: for ever
	Lost  bool  // its outcome is unknown, else it ran
}

func (r retired) state() wire.ClaimState {
	if r.Lost {
		return wire.ClaimUnknown
	}
	return wire.ClaimExpired
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
		return &wire.Claimed{State: old.state()}, true
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
	return &wire.Claimed{State: have.State, Answer: have.answer()}, true
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
		return &wire.Claimed{State: old.state()}
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
	c.State, c.Answer = wire.ClaimDone, pack(answer, MaxAnswers-s.stored)
	c.Until = now.Add(AnswerRetention)
	if end := c.Made.Add(KeyRetention); end.Before(c.Until) {
		c.Until = end
	}
	s.enter(key, c)
	s.due.add(c.Until, key)
}

// lose makes a running claim unknown.
func (s *claims) lose(key claimKey, c *claim) {
	s.leave(key, c)
	c.State = wire.ClaimUnknown
	c.Until = c.Made.Add(KeyRetention)
	s.enter(key, c)
	s.due.add(c.Until, key)
}

// answer returns the recorded answer, or nil.
func (c *claim) answer() *wire.Answer {
	if c.Answer == nil {
		return nil
	}
	a := &wire.Answer{}
	if err := wire.Decode(c.Answer, a); err != nil {
		return nil // pack has encoded it
	}
	return a
}

// pack encodes an answer, without the parts that do not fit.
func pack(a *wire.Answer, room int) []byte {
	if size := len(a.Body); size <= wire.MaxAnswer && size <= room {
		if data := encode(a); len(data) <= wire.MaxAnswer+MaxHeader && len(data) <= room {
			return data
		}
	}
	small := &wire.Answer{Status: a.Status, Header: a.Header}
	if data := encode(small); len(data) <= MaxHeader {
		return data
	}
	small.Header = nil
	return encode(small)
}
