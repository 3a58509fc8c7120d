package bucket

import (
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

const (
	// LeaseTime is the time for which a leader may grant tokens after the start of a
	// read that a majority confirmed.
	LeaseTime = 400 * time.Millisecond
	// OfficeDelay is the time after which a new leader grants its first tokens. It
	// exceeds LeaseTime, so that a former leader no longer grants any.
	OfficeDelay = 500 * time.Millisecond
	// SilenceLimit is the time without an answer after which an entry continues at the
	// rate that was promised to it.
	SilenceLimit = 500 * time.Millisecond
	// ContinueLimit is the time without an answer after which an entry stops that.
	ContinueLimit = 4 * time.Second
	// continueMargin allows for the transit of messages and for clocks that drift.
	continueMargin = 200 * time.Millisecond
	// reserveTime is the time for which a new leader allows for promises of former
	// ones, which it does not know. The last answer of a former leader is at most
	// LeaseTime old when its successor is elected.
	reserveTime = LeaseTime + ContinueLimit + continueMargin
	// continueShare is the part of a rate that the entries may be promised together.
	continueShare = 0.5

	// sweepInterval is the time in which all accounts are brought up to date, a few with
	// each question. All at once would take 0.15 s with 450,000 shares.
	sweepInterval  = 4 * time.Second
	lapsedInterval = 50 * time.Millisecond
	// forgetTime is the silence after which an entry is forgotten. No account is charged
	// for it any more.
	forgetTime = ContinueLimit + continueMargin + 2*sweepInterval
)

// Allocator is the part of the leader: it grants the tokens of all workspaces during
// one term of office. It is not safe for concurrent use.
type Allocator struct {
	office   uint64
	start    time.Duration
	accounts map[string]*account
	order    []string // names of the accounts
	next     int      // position in order of the next account to sweep
	contacts map[uint64]*contact
	lapsed   []*contact // those with a recent silence
	listedAt time.Duration
	sweptAt  time.Duration
}

// contact is what the leader knows about the path to an entry.
type contact struct {
	entry uint64
	last  time.Duration // when the entry sent a question that was answered, at the latest
	// from and to are the bounds of the last silence that has ended.
	from, to time.Duration
}

// NewAllocator returns the allocator of a leader that took office at the given time.
// Office is its term.
func NewAllocator(now time.Duration, office uint64) *Allocator {
	return &Allocator{
		office: office, start: now, listedAt: now, sweptAt: now,
		accounts: map[string]*account{}, contacts: map[uint64]*contact{},
	}
}

// Serve answers a question by the limits of a directory.
func (a *Allocator) Serve(now time.Duration, q wire.TokenRequest, d *Directory) wire.TokenAnswer {
	a.recordContact(now, q)
	if now-a.start < OfficeDelay {
		return wire.TokenAnswer{Office: a.office, Pending: true}
	}
	a.maintain(now)
	answer := wire.TokenAnswer{Office: a.office, List: make([]wire.TokenGrant, 0, len(q.List))}
	for _, demand := range q.List {
		w, known := d.byNumber[demand.Workspace]
		if !known {
			answer.List = append(answer.List, wire.TokenGrant{Wait: int(unknownWait.Milliseconds())})
			continue
		}
		answer.List = append(answer.List, a.serve(now, q.Entry, demand, w))
	}
	return answer
}

func (a *Allocator) serve(now time.Duration, entry uint64, d wire.TokenDemand, w Workspace) wire.TokenGrant {
	if w.Limit.Rate <= 0 {
		return wire.TokenGrant{Tokens: d.Want}
	}
	ac := a.accounts[w.Name]
	if ac == nil {
		ac = newAccount(a.start, w.Limit)
		a.accounts[w.Name] = ac
		a.order = append(a.order, w.Name)
	}
	ac.advance(now, a.lapsed)
	ac.setLimit(w.Limit)
	return ac.serve(now, entry, d)
}

// unknownWait is the time after which an entry may ask again for a workspace that the
// leader does not know.
const unknownWait = 100 * time.Millisecond

func (a *Allocator) recordContact(now time.Duration, q wire.TokenRequest) {
	at := now - time.Duration(q.Silence)*time.Millisecond
	c := a.contacts[q.Entry]
	if c == nil {
		a.contacts[q.Entry] = &contact{entry: q.Entry, last: at}
		return
	}
	if at <= c.last {
		return // its answers do not arrive
	}
	if now-c.last > SilenceLimit {
		c.from, c.to = c.last+SilenceLimit, min(now, c.last+ContinueLimit+continueMargin)
	}
	c.last = at
}

// silence returns for how long the entry may have used its promised rate between two
// times.
func (c *contact) silence(from, to time.Duration) time.Duration {
	current := min(to, c.last+ContinueLimit+continueMargin) - max(from, c.last+SilenceLimit)
	earlier := min(to, c.to) - max(from, c.from)
	return max(0, current) + max(0, earlier)
}

func (a *Allocator) maintain(now time.Duration) {
	if now-a.listedAt >= lapsedInterval {
		a.listedAt = now
		a.lapsed = a.lapsed[:0]
		for _, c := range a.contacts {
			if c.silence(now-2*sweepInterval, now) > 0 {
				a.lapsed = append(a.lapsed, c)
			}
			if now-c.last > forgetTime {
				delete(a.contacts, c.entry)
			}
		}
	}
	due := int(float64(len(a.order)) * (now - a.sweptAt).Seconds() / sweepInterval.Seconds())
	if due == 0 {
		return
	}
	a.sweptAt = now
	for range min(due, len(a.order)) {
		a.sweepNext(now)
	}
}

// sweepNext brings one account up to date, and removes it if it is not needed.
func (a *Allocator) sweepNext(now time.Duration) {
	a.next %= len(a.order)
	name := a.order[a.next]
	ac := a.accounts[name]
	ac.advance(now, a.lapsed)
	if ac.prune(now) && now-a.start > reserveTime {
		delete(a.accounts, name)
		last := len(a.order) - 1
		a.order[a.next] = a.order[last]
		a.order = a.order[:last]
		if last == 0 {
			return
		}
	}
	a.next++
}
