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
	office uint64
	start  time.Duration
	// replicasUntil is the time until which replicas may hold promises of former leaders.
	replicasUntil time.Duration
	accounts      map[string]*account
	order         []string // names of the accounts
	next          int      // position in order of the next account to sweep
	contacts      map[uint64]*contact
	lapsed        []*contact // those with a recent silence
	listedAt      time.Duration
	sweptAt       time.Duration
}

// contact is what the leader knows about the path to an entry or a replica.
type contact struct {
	holder uint64
	limit  time.Duration // silence after which the holder uses its promises
	last   time.Duration // when it sent a question that was answered, at the latest
	// from and to are the bounds of the last silence that has ended.
	from, to time.Duration
}

// NewAllocator returns the allocator of a leader that took office at the given time.
// Office is its term.
func NewAllocator(now time.Duration, office uint64) *Allocator {
	return &Allocator{
		office: office, start: now, listedAt: now, sweptAt: now, replicasUntil: now + reserveTime,
		accounts: map[string]*account{}, contacts: map[uint64]*contact{},
	}
}

// Serve answers the questions that a replica has collected, by the limits of a directory.
func (a *Allocator) Serve(now time.Duration, b wire.TokenBatch, d *Directory) wire.TokenBatchAnswer {
	a.recordContact(now, b.Replica, ReplicaSilence)
	for _, q := range b.List {
		a.recordContact(now, q, SilenceLimit)
	}
	out := wire.TokenBatchAnswer{Office: a.office}
	if now-a.start < OfficeDelay {
		out.Pending = true
		return out
	}
	a.maintain(now)
	for _, demand := range b.Replica.List {
		if ac := a.account(now, d.byNumber[demand.Workspace]); ac != nil {
			ac.record(now, &ac.replicas, b.Replica.Entry, 0, demand.Release)
		}
	}
	promises := map[uint64]int{}
	for _, q := range b.List {
		out.List = append(out.List, a.serve(now, q, b.Replica.Entry, d, promises))
	}
	for number, rate := range promises {
		out.Promises = append(out.Promises, wire.TokenPromise{Workspace: number, Rate: rate})
	}
	return out
}

// serve answers one question and adds the promises to the replica.
func (a *Allocator) serve(now time.Duration, q wire.TokenRequest, replica uint64, d *Directory, promises map[uint64]int) wire.TokenAnswer {
	answer := wire.TokenAnswer{Office: a.office, List: make([]wire.TokenGrant, 0, len(q.List))}
	for _, demand := range q.List {
		w, known := d.byNumber[demand.Workspace]
		g := wire.TokenGrant{Wait: int(unknownWait.Milliseconds())}
		switch ac := a.account(now, w); {
		case ac != nil:
			var promised float64
			g, promised = ac.serve(now, q.Entry, replica, demand)
			if replica != 0 {
				promises[demand.Workspace] = int(promised * 1000)
			}
		case known:
			g = wire.TokenGrant{Tokens: demand.Want}
		}
		answer.List = append(answer.List, g)
	}
	return answer
}

// ReplicasAcknowledged tells that all replicas use promises of this leader only.
func (a *Allocator) ReplicasAcknowledged(now time.Duration) {
	a.replicasUntil = min(a.replicasUntil, now)
}

func (a *Allocator) advance(now time.Duration, ac *account) {
	ac.replicasUntil = a.replicasUntil
	ac.advance(now, a.lapsed)
}

// account returns the account of a workspace as of now, or nil if it has no limit.
func (a *Allocator) account(now time.Duration, w Workspace) *account {
	if w.Limit.Rate <= 0 {
		return nil
	}
	ac := a.accounts[w.Name]
	if ac == nil {
		ac = newAccount(a.start, w.Limit)
		a.accounts[w.Name] = ac
		a.order = append(a.order, w.Name)
	}
	a.advance(now, ac)
	ac.setLimit(w.Limit)
	return ac
}

// unknownWait is the time after which an entry may ask again for a workspace that the
// leader does not know.
const unknownWait = 100 * time.Millisecond

func (a *Allocator) recordContact(now time.Duration, q wire.TokenRequest, limit time.Duration) {
	at := now - time.Duration(q.Silence)*time.Millisecond
	c := a.contacts[q.Entry]
	if c == nil {
		a.contacts[q.Entry] = &contact{holder: q.Entry, limit: limit, last: at}
		return
	}
	if at <= c.last {
		return // its answers do not arrive
	}
	if now-c.last > c.limit {
		c.from, c.to = c.last+c.limit, min(now, c.last+ContinueLimit+continueMargin)
	}
	c.last = at
}

// silence returns for how long the holder may have used its promised rate between two
// times.
func (c *contact) silence(from, to time.Duration) time.Duration {
	current := min(to, c.last+ContinueLimit+continueMargin) - max(from, c.last+c.limit)
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
				delete(a.contacts, c.holder)
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
	a.advance(now, ac)
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
