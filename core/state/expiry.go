package state

import (
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

// see notes that an owner is alive. A later incarnation proves that the
// earlier one is gone, and with it the knowledge of what became of its
// requests.
func (s *claims) see(name string, incarnation, now time.Time) {
	o, ok := s.owners[name]
	if !ok {
		o = &owner{Incarnation: incarnation, running: map[claimKey]struct{}{}}
		s.owners[name] = o
		s.due.addOwner(now.Add(ownerRetention), name)
	}
	o.Seen = now
	if !incarnation.After(o.Incarnation) {
		return
	}
	o.Incarnation = incarnation
	for key := range o.running {
		if c := s.table[key]; c.Incarnation.Before(incarnation) {
			s.lose(key, c)
		}
	}
}

// put adds a record.
func (s *claims) put(key claimKey, c *claim) {
	s.table[key] = c
	s.due.add(c.Until, key)
	s.enter(key, c)
}

// enter counts a record.
func (s *claims) enter(key claimKey, c *claim) {
	s.stored += len(c.Answer)
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

// leave undoes enter before a record changes its state.
func (s *claims) leave(key claimKey, c *claim) {
	s.stored -= len(c.Answer)
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

// drop removes a record, if there is one.
func (s *claims) drop(key claimKey) {
	if c, ok := s.table[key]; ok {
		s.leave(key, c)
		delete(s.table, key)
	}
}

// expire carries out what time does by itself.
func (s *claims) expire(now time.Time) {
	for {
		item, ok := s.due.take(now)
		switch {
		case !ok:
			return
		case item.key == nil:
			if old, ok := s.retired[item.retire]; ok && old.Until != 0 && old.Until <= now.UnixNano() {
				delete(s.retired, item.retire)
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
		s.due.addOwner(end, name)
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
		// Its next end may have passed as well; the queue comes back to it.
		s.lose(key, c)
	case wire.ClaimReleased:
		s.drop(key)
	case wire.ClaimUnknown:
		s.drop(key)
		s.retired[key.digest()] = retired{Print: c.Print, Lost: true}
	case wire.ClaimDone:
		s.drop(key)
		if end := c.Made.Add(KeyRetention); end.After(now) {
			s.retire(key.digest(), retired{Print: c.Print, Until: end.UnixNano()})
		}
	}
}

func (s *claims) retire(mark digest, r retired) {
	s.retired[mark] = r
	if r.Until != 0 {
		s.due.addRetired(r.Until, mark)
	}
}
