package bucket

import (
	"math"
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

const (
	// shareTime is the time constant with which the grants to an entry are averaged,
	// and with which a promise shrinks at the leader and at the entry.
	shareTime = 5 * time.Second
	// shortageTime is the time constant with which refused tokens count as a queue.
	shortageTime = 500 * time.Millisecond
	// youngSlots is the number of slots in which young tokens are counted.
	youngSlots = 8
	// minShare is the rate below which a share and a promise end, at the leader and at
	// the entry. One grant counts for 6 s. With a lower value the leader would keep more
	// than the 32 shares for each workspace that it has at the large size.
	minShare = 0.06 // requests a second
)

// account is the bucket of one workspace.
type account struct {
	limit    Limit
	level    float64
	at       time.Duration // time of level, shortage and promised
	shortage float64       // tokens refused recently
	promised float64       // sum of the promises to all entries
	released float64       // sum of the promises of former leaders that have ended
	office   time.Duration // start of the office
	shares   map[uint64]share

	young    [youngSlots + 1]float64 // tokens granted recently and not returned, by slot
	youngSum float64
	slot     int64 // current slot
}

// share is what one entry was granted.
type share struct {
	rate     float64 // average of the grants, requests a second
	promised float64 // rate at which the entry continues without an answer
	at       time.Duration
	released bool // the entry has released the promise of former leaders
}

// newAccount returns the account of a leader that took office at the given time.
func newAccount(office time.Duration, l Limit) *account {
	return &account{limit: l, office: office, at: office + OfficeDelay, shares: map[uint64]share{}}
}

// reserve returns the largest sum of the promises of former leaders that entries may
// still hold, at the time of the account. They shrink since the last one was made.
func (ac *account) reserve() float64 {
	if ac.at >= ac.office+reserveTime {
		return 0
	}
	return max(0, continueShare*ac.limit.Rate*decay(ac.at-ac.office-LeaseTime, shareTime)-ac.released)
}

// advance refills the bucket, except for what promises of former leaders and those to
// lapsed entries may use.
func (ac *account) advance(now time.Duration, lapsed []*contact) {
	if now <= ac.at {
		return
	}
	refill := ac.limit.Rate * (now - ac.at).Seconds()
	if overlap := min(now, ac.office+reserveTime) - ac.at; overlap > 0 {
		refill -= ac.reserve() * overlap.Seconds()
	}
	for _, c := range lapsed {
		if s, ok := ac.shares[c.entry]; ok {
			refill -= s.promised * decay(ac.at-s.at, shareTime) * c.silence(ac.at, now).Seconds()
		}
	}
	f := decay(now-ac.at, shareTime)
	ac.promised *= f
	ac.released *= f
	ac.shortage *= decay(now-ac.at, shortageTime)
	ac.at = now
	ac.shiftYoung(now)
	ac.add(refill)
}

// add adds tokens up to the depth. It also stops the bucket from filling up while many
// tokens are held, as these may return.
func (ac *account) add(tokens float64) {
	most := min(ac.limit.depth(), ac.limit.depth()+ac.limit.Rate*ac.limit.returnTime().Seconds()-ac.youngSum)
	ac.level = min(ac.level+tokens, max(ac.level, most))
}

func (ac *account) slotTime() time.Duration { return ac.limit.returnTime() / youngSlots }

func (ac *account) shiftYoung(now time.Duration) {
	slot := int64(now / ac.slotTime())
	for n := 0; ac.slot < slot && n < len(ac.young); n++ {
		ac.slot++
		i := ac.slot % int64(len(ac.young))
		ac.youngSum -= ac.young[i]
		ac.young[i] = 0
	}
	ac.slot = slot
}

// takeBack returns tokens to the bucket, at most as many as are young. The oldest are
// removed first: too low an age of the others only makes the bucket fill later.
func (ac *account) takeBack(n float64) float64 {
	left := n
	for k := int64(1); k <= int64(len(ac.young)) && left > 0; k++ {
		i := (ac.slot + k) % int64(len(ac.young))
		took := min(left, ac.young[i])
		ac.young[i] -= took
		ac.youngSum -= took
		left -= took
	}
	ac.level = min(ac.level+n-left, max(ac.level, ac.limit.depth()))
	return n - left
}

// setLimit continues with the tokens that the new limit allows.
func (ac *account) setLimit(l Limit) {
	if l == ac.limit {
		return
	}
	if l.Rate < ac.limit.Rate {
		factor := l.Rate / ac.limit.Rate
		ac.promised *= factor
		ac.released *= factor
		for entry, s := range ac.shares {
			s.promised *= factor
			s.rate *= factor
			ac.shares[entry] = s
		}
	}
	if l.returnTime() != ac.limit.returnTime() {
		ac.young, ac.youngSum = [youngSlots + 1]float64{}, 0 // entries return no tokens of another limit
		ac.slot = 0
	}
	ac.limit = l
	ac.shiftYoung(ac.at)
	ac.level = min(ac.level, l.depth())
}

func (ac *account) serve(now time.Duration, entry uint64, d wire.TokenDemand) wire.TokenGrant {
	returned := ac.takeBack(float64(d.Return))
	granted := max(0, min(float64(d.Want), math.Floor(ac.level)))
	ac.level -= granted
	ac.young[ac.slot%int64(len(ac.young))] += granted
	ac.youngSum += granted

	s := ac.shares[entry]
	if s.at == 0 {
		s.at = now
	}
	f := decay(now-s.at, shareTime)
	s.at = now
	s.rate = max(0, s.rate*f+(granted-returned)/shareTime.Seconds())
	before := s.promised * f
	if d.Release > 0 && !s.released {
		s.released = true
		ac.released += float64(d.Release) / 1000
	}
	room := continueShare*ac.limit.Rate - ac.reserve() - (ac.promised - before)
	// A promise is never reduced, since the entry may miss the answer.
	s.promised = max(before, min(s.rate, room))
	ac.promised += s.promised - before
	ac.shares[entry] = s

	grant := wire.TokenGrant{Tokens: int(granted), Rate: int(s.promised * 1000)}
	if missing := float64(d.Want) - granted; missing > 0 {
		ac.shortage += missing
		wait := (max(1, ac.shortage) - ac.level) / ac.limit.Rate
		grant.Wait = int(min(math.Ceil(wait*1000), maxWait.Seconds()*1000))
	}
	return grant
}

// maxWait limits the time after which a caller is told to come back.
const maxWait = 5 * time.Second

// prune removes entries without grants, and reports whether the account is as if it
// were new.
func (ac *account) prune(now time.Duration) bool {
	ac.promised = 0
	for entry, s := range ac.shares {
		f := decay(now-s.at, shareTime)
		// A share that was released is kept while a copy of the message may arrive.
		if s.rate*f < minShare && s.promised*f < minShare && (!s.released || now >= ac.office+reserveTime) {
			delete(ac.shares, entry)
			continue
		}
		ac.promised += s.promised * f
	}
	return len(ac.shares) == 0 && ac.level >= ac.limit.depth()
}
