package state

import (
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

// observeOwner records that an owner is alive. A later incarnation proves that
// the earlier one has ended. Nobody knows the outcome of the requests that it was
// running, so their claims become unknown.
func (s *claims) observeOwner(name string, incarnation, now time.Time) {
	o, ok := s.owners[name]
	if !ok {
		o = &owner{Incarnation: incarnation, running: map[claimKey]struct{}{}}
		s.owners[name] = o
		s.expiries.addOwner(now.Add(ownerRetention), name)
	}
	o.Seen = now
	if !incarnation.After(o.Incarnation) {
		return
	}
	o.Incarnation = incarnation
	for key := range o.running {
		if c := s.table[key]; c.Incarnation.Before(incarnation) {
			s.markUnknown(key, c)
		}
	}
}

// insert adds a record and schedules its expiry.
func (s *claims) insert(key claimKey, c *claim) {
	s.table[key] = c
	s.expiries.add(c.Until, key)
	s.addToTotals(key, c)
}

// addToTotals adds a record to the totals and to the running claims of its
// owner.
func (s *claims) addToTotals(key claimKey, c *claim) {
	s.answerBytes += len(c.Answer)
	s.keyBytes += len(key.Service) + len(key.Key)
	switch c.State {
	case wire.ClaimRunning:
		s.running++
		if o := s.owners[c.Owner]; o != nil {
			o.running[key] = struct{}{}
		}
	case wire.ClaimUnknown:
		s.unknown++
	}
}

// removeFromTotals reverts addToTotals before a record changes its state.
func (s *claims) removeFromTotals(key claimKey, c *claim) {
	s.answerBytes -= len(c.Answer)
	s.keyBytes -= len(key.Service) + len(key.Key)
	switch c.State {
	case wire.ClaimRunning:
		s.running--
		if o := s.owners[c.Owner]; o != nil {
			delete(o.running, key)
		}
	case wire.ClaimUnknown:
		s.unknown--
	}
}

// remove deletes the record of a key, if there is one.
func (s *claims) remove(key claimKey) {
	if c, ok := s.table[key]; ok {
		s.removeFromTotals(key, c)
		delete(s.table, key)
	}
}

// expire updates or deletes everything that has expired.
func (s *claims) expire(now time.Time) {
	for {
		item, ok := s.expiries.take(now)
		switch {
		case !ok:
			return
		case item.key == nil:
			if old, ok := s.retired[item.keyHash]; ok && old.Until != 0 && old.Until <= now.UnixNano() {
				delete(s.retired, item.keyHash)
			}
		case item.key.Service == "":
			s.expireOwner(item.key.Key, now)
		default:
			s.expireClaim(*item.key, now)
		}
	}
}

func (s *claims) expireOwner(name string, now time.Time) {
	o := s.owners[name]
	if o == nil {
		return
	}
	if end := o.Seen.Add(ownerRetention); end.After(now) {
		s.expiries.addOwner(end, name)
		return
	}
	delete(s.owners, name)
}

func (s *claims) expireClaim(key claimKey, now time.Time) {
	c := s.table[key]
	if c == nil || c.Until.After(now) {
		return
	}
	switch c.State {
	case wire.ClaimRunning:
		// The unknown state may have expired as well; the queue has an expiry
		// for it.
		s.markUnknown(key, c)
	case wire.ClaimReleased:
		s.remove(key)
	case wire.ClaimUnknown:
		s.remove(key)
		s.retired[key.digest()] = retiredClaim{Hash: c.Hash, Unknown: true}
	case wire.ClaimDone:
		s.remove(key)
		if end := c.Created.Add(KeyRetention); end.After(now) {
			s.retire(key.digest(), retiredClaim{Hash: c.Hash, Until: end.UnixNano()})
		}
	}
}

func (s *claims) retire(keyDigest digest, r retiredClaim) {
	s.retired[keyDigest] = r
	if r.Until != 0 {
		s.expiries.addRetired(r.Until, keyDigest)
	}
}
