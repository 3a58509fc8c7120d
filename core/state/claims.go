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
// released. A released record keeps only the attempt that was released, so that
// a delayed duplicate of its Claim is not granted.
type claim struct {
	Hash        uint64
	Owner       string
	Incarnation time.Time
	Attempt     uint64
	State       wire.ClaimState
	Created     time.Time
	Until       time.Time // when the state expires
	// Answer is an encoded wire.Answer. The encoding is smaller than the struct,
	// and a snapshot, which blocks the replica, only has to copy it.
	Answer []byte
}

// retiredClaim is what remains of a claim after its answer is dropped: its key
// is still refused as used.
type retiredClaim struct {
	Hash    uint64
	Until   int64 // Unix nanoseconds, 0: never expires
	Unknown bool  // the outcome is unknown; otherwise the request ran
}

func (r retiredClaim) state() wire.ClaimState {
	if r.Unknown {
		return wire.ClaimUnknown
	}
	return wire.ClaimExpired
}

// owner is an instance that has sent claims.
type owner struct {
	Incarnation time.Time `cbor:"incarnation"`
	Seen        time.Time `cbor:"seen"`
	running     map[claimKey]struct{}
}

type claims struct {
	table       map[claimKey]*claim
	retired     map[digest]retiredClaim
	owners      map[string]*owner
	expiries    expiryQueue
	answerBytes int // total size of the stored answers
	keyBytes    int // total size of the names and keys in table
	running     int
	unknown     int
}

func newClaims() claims {
	return claims{
		table:   map[claimKey]*claim{},
		retired: map[digest]retiredClaim{},
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

func (c *claim) heldBy(owner string, incarnation time.Time, attempt uint64) bool {
	return c.Owner == owner && c.Incarnation.Equal(incarnation) && c.Attempt == attempt
}

// Estimated memory of a record in bytes, without its key and its answer.
const (
	claimCost   = 320 // struct, entries of the table and of the queue
	retiredCost = 96
)

// bytes estimates the memory of all records.
func (s *claims) bytes() int {
	return s.answerBytes + s.keyBytes + claimCost*len(s.table) + retiredCost*len(s.retired)
}

// holds reports whether there is a record of a key.
func (s *claims) holds(key claimKey) bool {
	if _, ok := s.table[key]; ok {
		return true
	}
	_, ok := s.retired[key.digest()]
	return ok
}

// claim executes a Claim. If lock is false, earlier claims are ignored.
func (s *claims) claim(c *wire.Claim, now time.Time, lock bool) *wire.Claimed {
	s.observeOwner(c.Owner, c.Incarnation, now)
	key := claimKey{Service: c.Service, Key: c.Key}
	if lock {
		if held, ok := s.existing(key, c); ok {
			return held
		}
	}
	s.remove(key)
	expires := min(max(c.Expires, minExpiry), maxExpiry)
	s.insert(key, &claim{
		Hash: c.Fingerprint, Owner: c.Owner, Incarnation: c.Incarnation, Attempt: c.Attempt,
		State: wire.ClaimRunning, Created: now, Until: now.Add(expires),
	})
	return &wire.Claimed{State: wire.ClaimGranted}
}

// existing returns the result of a Claim whose key is in use.
func (s *claims) existing(key claimKey, c *wire.Claim) (*wire.Claimed, bool) {
	have, ok := s.table[key]
	if !ok {
		old, ok := s.retired[key.digest()]
		if !ok {
			return nil, false
		}
		if old.Hash != c.Fingerprint {
			return &wire.Claimed{State: wire.ClaimMismatch}, true
		}
		return &wire.Claimed{State: old.state()}, true
	}
	same := have.heldBy(c.Owner, c.Incarnation, c.Attempt)
	if have.State == wire.ClaimReleased {
		return &wire.Claimed{State: wire.ClaimReleased}, same
	}
	if have.Hash != c.Fingerprint {
		return &wire.Claimed{State: wire.ClaimMismatch}, true
	}
	if have.State == wire.ClaimRunning && same {
		return &wire.Claimed{State: wire.ClaimGranted}, true
	}
	return &wire.Claimed{State: have.State, Answer: have.answer()}, true
}

// close executes a Close. Only the attempt that holds a claim may change it.
func (s *claims) close(c *wire.Close, now time.Time) *wire.Claimed {
	key := claimKey{Service: c.Service, Key: c.Key}
	have, ok := s.table[key]
	if !ok {
		return s.closeAbsent(key, c, now)
	}
	if !have.heldBy(c.Owner, c.Incarnation, c.Attempt) {
		return &wire.Claimed{State: have.State}
	}
	switch {
	case c.Outcome == wire.OutcomeDone && (have.State == wire.ClaimRunning || have.State == wire.ClaimUnknown):
		s.recordAnswer(key, have, c.Answer, now)
	case c.Outcome == wire.OutcomeReleased && have.State == wire.ClaimRunning:
		s.remove(key)
		s.insert(key, releasedClaim(c, now))
		return &wire.Claimed{State: wire.ClaimReleased}
	case c.Outcome == wire.OutcomeUnknown && have.State == wire.ClaimRunning:
		s.markUnknown(key, have)
	}
	return &wire.Claimed{State: have.State}
}

func (s *claims) closeAbsent(key claimKey, c *wire.Close, now time.Time) *wire.Claimed {
	if old, ok := s.retired[key.digest()]; ok {
		return &wire.Claimed{State: old.state()}
	}
	if c.Outcome == wire.OutcomeReleased {
		// The Claim may be delivered after this Close. Granting it then would
		// block the key until it expires as unknown, because its owner has
		// given up.
		s.insert(key, releasedClaim(c, now))
		return &wire.Claimed{State: wire.ClaimReleased}
	}
	return &wire.Claimed{State: wire.ClaimUnknown}
}

func releasedClaim(c *wire.Close, now time.Time) *claim {
	return &claim{
		Owner: c.Owner, Incarnation: c.Incarnation, Attempt: c.Attempt,
		State: wire.ClaimReleased, Created: now, Until: now.Add(releaseRetention),
	}
}

// recordAnswer marks a claim as done and stores its answer, without the body if
// the answer is too large or MaxAnswerBytes is reached.
func (s *claims) recordAnswer(key claimKey, c *claim, answer *wire.Answer, now time.Time) {
	s.removeFromTotals(key, c)
	c.State, c.Answer = wire.ClaimDone, encodeAnswer(answer, MaxAnswerBytes-s.answerBytes)
	c.Until = now.Add(AnswerRetention)
	if end := c.Created.Add(KeyRetention); end.Before(c.Until) {
		c.Until = end
	}
	s.addToTotals(key, c)
	s.expiries.add(c.Until, key)
}

// markUnknown sets the state of a running claim to unknown.
func (s *claims) markUnknown(key claimKey, c *claim) {
	s.removeFromTotals(key, c)
	c.State = wire.ClaimUnknown
	c.Until = c.Created.Add(KeyRetention)
	s.addToTotals(key, c)
	s.expiries.add(c.Until, key)
}

// answer decodes the recorded answer; it returns nil if there is none.
func (c *claim) answer() *wire.Answer {
	if c.Answer == nil {
		return nil
	}
	a := &wire.Answer{}
	if err := wire.Decode(c.Answer, a); err != nil {
		return nil // not reached: encodeAnswer made the encoding
	}
	return a
}

// encodeAnswer encodes an answer. It omits the body, then also the header, if
// they exceed their limits or the available bytes.
func encodeAnswer(a *wire.Answer, available int) []byte {
	if size := len(a.Body); size <= wire.MaxAnswer && size <= available {
		if data := encode(a); len(data) <= wire.MaxAnswer+MaxHeaderBytes && len(data) <= available {
			return data
		}
	}
	small := &wire.Answer{Status: a.Status, Header: a.Header}
	if data := encode(small); len(data) <= MaxHeaderBytes {
		return data
	}
	small.Header = nil
	return encode(small)
}
