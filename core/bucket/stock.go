package bucket

import (
	"math/rand/v2"
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

const (
	// batchInterval is the time for which demands are collected after a question.
	batchInterval = 20 * time.Millisecond
	// contactInterval is the longest time between two questions of an entry that has
	// used tokens recently, so that silence means a failure.
	contactInterval = 300 * time.Millisecond
	// maxBytesPerSecond slows questions down at a high demand. A link of an entry may
	// carry 2 KB/s.
	maxBytesPerSecond = 1900
	questionBytes     = 40 // of a question without demands, with its frame
	demandBytes       = 10

	// aheadRate is the demand from which tokens are asked for ahead, in requests a
	// second at this entry. aheadUses is the number of requests that must be expected
	// during the lifetime of a token: with fewer, a third of the tokens would expire.
	aheadRate = 3
	aheadUses = 2
	// shortTime is the time after a shortage for which no tokens are asked for ahead.
	// They would be missing at other entries, also after the demand has dropped.
	shortTime = 500 * time.Millisecond
	aheadTime = 250 * time.Millisecond // demand that is asked for ahead
	lowTime   = 150 * time.Millisecond // demand below which tokens are asked for
	// demandTime is the time constant of the measured demand.
	demandTime = 500 * time.Millisecond
	// minDemand is the demand below which a workspace is forgotten.
	minDemand = 0.001
	// probeInterval is the time after which an entry asks again for tokens of a
	// workspace that had none. If each entry waited for as long as its callers, no
	// one might ask for the tokens that accrue meanwhile.
	probeInterval = 100 * time.Millisecond
	// lostTime is the time without an answer after which requests wait for longer.
	lostTime = 100 * time.Millisecond
	// unknownRetry is the time after which a caller may come back if the limit could
	// not be checked.
	unknownRetry = 300 * time.Millisecond
)

// Stock is the part of an entry: it holds the tokens of its workspaces. It is not safe
// for concurrent use.
type Stock struct {
	directory *Directory
	random    *rand.Rand
	holdings  map[string]*holding
	office    uint64

	contact  time.Duration // when the last answered question was sent, 0 for never
	asking   time.Duration // when the first unanswered question after that was sent, 0 for none
	sent     time.Duration // when the last question was sent
	pacedTo  time.Duration // earliest time of the next question
	urgent   bool          // a question is due as soon as possible
	dueAgain time.Duration // a question is due at this time, 0 for none
}

// NewStock returns an empty stock.
func NewStock(random *rand.Rand) *Stock {
	return &Stock{directory: NewDirectory(nil), random: random, holdings: map[string]*holding{}}
}

// SetDirectory sets the limits of the workspaces.
func (s *Stock) SetDirectory(d *Directory) { s.directory = d }

// Question is a message to the leader.
type Question struct {
	Body     wire.TokenRequest
	Sent     time.Duration
	holdings []*holding // of each demand
}

// Deadlines limit how long a request waits for a token.
type Deadlines struct {
	Answered time.Duration // while control answers
	Silent   time.Duration // while it does not, so that nobody knows whether there is a token
}

// Take takes a token for a request, which may wait for it. Without a limit the token is
// the zero Token. A waiter is returned if the request has to wait. Requests of a lower
// rank go first, and wait although the workspace is known to be over its limit, as long as
// others that come after them are asked for tokens as well.
func (s *Stock) Take(now time.Duration, until Deadlines, workspace string, rank int) (Result, *Waiter) {
	entry := s.directory.byName[workspace]
	if entry.limit.Rate <= 0 {
		return Result{Outcome: Taken}, nil
	}
	h := s.holdings[workspace]
	if h == nil {
		h = &holding{workspace: workspace, limit: entry.limit}
		s.holdings[workspace] = h
	}
	h.setLimit(entry.limit)
	h.recordDemand(now)
	h.recordRank(now, rank)
	if len(h.waiters) == 0 {
		if t, ok := h.take(now); ok {
			s.urgent = s.urgent || h.isLow(now)
			return Result{Outcome: Taken, Token: t}, nil
		}
	}
	if t, ok := s.takePromised(now, h); ok {
		return Result{Outcome: Taken, Token: t}, nil
	}
	deadline := until.Answered
	if s.contact == 0 || s.Silence(now) > lostTime {
		deadline = until.Silent
	} else if now < h.askAgain && h.moreAt > deadline && !h.isUrgent(now, rank) {
		return Result{Outcome: Empty, Retry: h.moreAt - now}, nil
	}
	w := &Waiter{Deadline: deadline, Wake: make(chan Result, 1), holding: h, rank: rank}
	h.enqueue(w)
	s.scheduleAsk(now, h)
	return Result{}, w
}

// Peek reports whether the workspace is known to have no token before the deadline,
// and when it will have one.
func (s *Stock) Peek(now, deadline time.Duration, workspace string, rank int) (retry time.Duration, empty bool) {
	h := s.holdings[workspace]
	if h == nil || h.isUrgent(now, rank) || now >= h.askAgain || h.moreAt <= deadline || h.count(now) > 0 {
		return 0, false
	}
	if s.directory.byName[workspace].limit != h.limit {
		return 0, false
	}
	h.recordDemand(now)
	return h.moreAt - now, true
}

// Held returns the number of tokens of a workspace in the stock.
func (s *Stock) Held(now time.Duration, workspace string) int {
	if h := s.holdings[workspace]; h != nil {
		return h.count(now)
	}
	return 0
}

// Return takes back the token of a request that reached no target.
func (s *Stock) Return(now time.Duration, t Token) []*Waiter {
	h := s.holdings[t.workspace]
	if h == nil || t.lent || t.limit != h.limit {
		return nil
	}
	if now < t.sent+h.limit.Lifetime() {
		h.batches = append(h.batches, batch{sent: t.sent, count: 1})
	}
	return h.serveWaiters(now)
}

// Cancel removes a waiter whose request has ended. It returns false if the waiter was
// decided before.
func (s *Stock) Cancel(w *Waiter) bool { return w.holding.remove(w) }

// Renew returns a token for a request whose token has expired before it was sent. It
// does not wait.
func (s *Stock) Renew(now time.Duration, t Token) Result {
	r, w := s.Take(now, Deadlines{Answered: now, Silent: now}, t.workspace, 0)
	if w == nil {
		return r
	}
	w.holding.remove(w)
	return Result{Outcome: Unknown, Retry: unknownRetry}
}

// Urgent reports whether a question is due as soon as possible.
func (s *Stock) Urgent() bool { return s.urgent }

// Silence returns the time since control has not answered, 0 if it answers or was not
// asked.
func (s *Stock) Silence(now time.Duration) time.Duration {
	if s.asking == 0 || now-s.sent > 2*contactInterval {
		return 0
	}
	return now - s.asking
}

// Refuse decides all waiters with one result.
func (s *Stock) Refuse(r Result) []*Waiter {
	var decided []*Waiter
	for _, h := range s.holdings {
		decided = append(decided, h.refuse(func(*Waiter) bool { return true }, r)...)
	}
	return decided
}

// scheduleAsk makes a question due for the waiters of a workspace.
func (s *Stock) scheduleAsk(now time.Duration, h *holding) {
	switch {
	case now >= h.askAgain:
		s.urgent = true
	case s.dueAgain == 0 || h.askAgain < s.dueAgain:
		s.dueAgain = h.askAgain
	}
}

// Next returns when Step is due, and false if it is not.
func (s *Stock) Next() (time.Duration, bool) {
	if len(s.holdings) == 0 {
		return 0, false
	}
	next := s.sent + contactInterval
	if s.dueAgain > 0 {
		next = min(next, s.dueAgain)
	}
	if s.urgent {
		next = 0
	}
	next = max(next, s.pacedTo)
	for _, h := range s.holdings {
		for _, w := range h.waiters {
			next = min(next, w.Deadline)
		}
	}
	return next, true
}

// Step refuses requests that have waited for too long, and returns the next question
// if one is due.
func (s *Stock) Step(now time.Duration) (*Question, []*Waiter) {
	var decided []*Waiter
	for name, h := range s.holdings {
		decided = append(decided, h.expire(now)...)
		if h.isIdle(now) {
			delete(s.holdings, name)
		}
	}
	due := s.urgent || now-s.sent >= contactInterval || s.dueAgain > 0 && now >= s.dueAgain
	if !due || now < s.pacedTo || len(s.holdings) == 0 {
		return nil, decided
	}
	return s.ask(now), decided
}

func (s *Stock) ask(now time.Duration) *Question {
	q := &Question{Sent: now}
	if s.contact > 0 {
		q.Body.Silence = min(now-s.contact, time.Hour).Milliseconds()
	}
	size := questionBytes
	s.urgent, s.dueAgain = false, 0
	for _, h := range s.holdings {
		if now < h.askAgain && len(h.waiters) > 0 {
			s.scheduleAsk(now, h)
		}
		entry, known := s.directory.byName[h.workspace]
		d := wire.TokenDemand{Workspace: entry.number, Want: h.want(now), Return: h.surplus(now), Release: h.promise.report(now)}
		if !known || d.Want == 0 && d.Return == 0 && d.Release == 0 {
			continue
		}
		h.asked += d.Want
		q.Body.List = append(q.Body.List, d)
		q.holdings = append(q.holdings, h)
		size += demandBytes
	}
	if s.asking == 0 {
		s.asking = now
	}
	s.sent = now
	s.pacedTo = now + max(batchInterval, time.Duration(size)*time.Second/maxBytesPerSecond)
	return q
}

// Fail ends a question without an answer. Its demands are sent again.
func (s *Stock) Fail(now time.Duration, q *Question) {
	for i, h := range q.holdings {
		h.asked -= q.Body.List[i].Want
		if len(h.waiters) > 0 {
			s.scheduleAsk(now, h)
		}
	}
}

// Receive handles the answer to a question. It returns the requests that need not wait
// any longer.
func (s *Stock) Receive(now time.Duration, q *Question, answer wire.TokenAnswer) []*Waiter {
	// After a long silence, the group may have been founded again.
	former := answer.Office < s.office && now-s.contact < 2*ContinueLimit
	if answer.Pending || former || len(answer.List) != len(q.Body.List) {
		for _, h := range q.holdings {
			h.askAgain, h.moreAt = now+probeInterval, now
		}
		s.Fail(now, q)
		return nil
	}
	if answer.Standby {
		return s.receiveStandby(now, q, answer)
	}
	if answer.Office != s.office {
		s.office, s.urgent = answer.Office, true
		for _, h := range s.holdings {
			h.promise.end(now) // the new leader does not know what its predecessors promised
		}
	}
	s.contact, s.asking = max(s.contact, q.Sent), 0
	var decided []*Waiter
	for i, h := range q.holdings {
		h.asked -= q.Body.List[i].Want
		if q.Body.List[i].Release > 0 {
			h.promise.released = 0
		}
		decided = append(decided, h.receive(now, q.Sent, answer.List[i])...)
		if len(h.waiters) > 0 {
			s.scheduleAsk(now, h)
		}
	}
	return decided
}

// receiveStandby handles the answer of a replica that continues without the leader. It is
// no contact with the leader, and its tokens do not return to the bucket.
func (s *Stock) receiveStandby(now time.Duration, q *Question, answer wire.TokenAnswer) []*Waiter {
	s.asking = 0
	var decided []*Waiter
	for i, h := range q.holdings {
		h.asked -= q.Body.List[i].Want
		decided = append(decided, h.receiveStandby(now, q.Sent, answer.List[i])...)
		if len(h.waiters) > 0 {
			s.scheduleAsk(now, h)
		}
	}
	return decided
}

// takePromised takes a token out of the promised rate while there is no answer.
func (s *Stock) takePromised(now time.Duration, h *holding) (Token, bool) {
	silence := now - s.contact
	if s.contact == 0 || silence < SilenceLimit || silence > ContinueLimit {
		return Token{}, false
	}
	// The first token comes at a random time: most entries have less than one token in
	// the time for which they continue.
	if h.promise.take(now, s.contact, s.contact+SilenceLimit, 1, s.random.Float64) == 0 {
		return Token{}, false
	}
	return Token{workspace: h.workspace, lent: true, limit: h.limit, sent: now}, true
}
