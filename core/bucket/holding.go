package bucket

import (
	"math"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

// Outcome tells whether a request got a token.
type Outcome int

// The outcomes.
const (
	Undecided Outcome = iota // the request waits
	Taken
	Empty   // the workspace is over its limit
	Unknown // the limit could not be checked
)

// Result is the decision on a request.
type Result struct {
	Outcome Outcome
	Token   Token
	Retry   time.Duration // after which the caller may come back, if refused
}

// Token is the right to send one request. It is zero if the workspace has no limit.
type Token struct {
	workspace string
	limit     Limit
	sent      time.Duration // when the question was sent, or the token was lent
	lent      bool          // taken out of the promised rate
}

// Valid reports whether the request may still be sent.
func (t Token) Valid(now time.Duration) bool {
	return t.workspace == "" || now < t.sent+t.limit.Lifetime()
}

// Promised reports whether the token was taken without an answer of the leader.
func (t Token) Promised() bool { return t.lent }

// IsZero reports whether the workspace has no limit.
func (t Token) IsZero() bool { return t.workspace == "" }

// Waiter is a request that waits for a token.
type Waiter struct {
	Deadline time.Duration
	Wake     chan Result // receives Result when it is decided, for use by the caller
	Result   Result
	holding  *holding
	rank     int // 0 is the most urgent
}

// batch is a number of tokens granted by one answer.
type batch struct {
	sent  time.Duration // when the question was sent
	count int
	lent  bool // by a replica without the leader
}

// holding is the state of one workspace at an entry.
type holding struct {
	workspace string
	limit     Limit
	batches   []batch
	asked     int       // tokens asked for in open questions
	waiters   []*Waiter // by rank, then in order of arrival
	last      int       // highest rank of recent requests
	lastAt    time.Duration

	demand   float64 // requests, weighted by age
	demandAt time.Duration
	askAgain time.Duration // the workspace had no tokens; do not ask before
	shortAt  time.Duration // when the last answer granted too few tokens, or the start of the clock
	moreAt   time.Duration // when there are tokens, as the leader estimates

	promise promise
}

func (h *holding) setLimit(l Limit) {
	if l == h.limit {
		return
	}
	if l.Rate < h.limit.Rate {
		h.promise.rate *= l.Rate / h.limit.Rate
	}
	h.limit, h.batches, h.askAgain = l, nil, 0
}

func (h *holding) recordDemand(now time.Duration) {
	h.demand = h.demand*decay(now-h.demandAt, demandTime) + 1
	h.demandAt = now
}

// rankMemory is how long the requests of a rank count as recent.
const rankMemory = 5 * time.Second

func (h *holding) recordRank(now time.Duration, rank int) {
	if rank >= h.last || now-h.lastAt > rankMemory {
		h.last, h.lastAt = rank, now
	}
}

// isUrgent reports whether requests that come after those of the rank are recent.
func (h *holding) isUrgent(now time.Duration, rank int) bool {
	return rank < h.last && now-h.lastAt <= rankMemory
}

// enqueue adds a waiter behind those of its rank.
func (h *holding) enqueue(w *Waiter) {
	i := len(h.waiters)
	for i > 0 && h.waiters[i-1].rank > w.rank {
		i--
	}
	h.waiters = slices.Insert(h.waiters, i, w)
}

// rate returns the demand in requests a second.
func (h *holding) rate(now time.Duration) float64 {
	return h.demand * decay(now-h.demandAt, demandTime) / demandTime.Seconds()
}

// isIdle reports whether nothing would be lost if the holding were removed.
func (h *holding) isIdle(now time.Duration) bool {
	return len(h.waiters) == 0 && h.asked == 0 && h.rate(now) < minDemand && h.count(now) == 0 &&
		h.promise.now(now) < minShare
}

// count removes expired tokens and returns the number of the others.
func (h *holding) count(now time.Duration) int {
	life, n := h.limit.Lifetime(), 0
	h.batches = slices.DeleteFunc(h.batches, func(b batch) bool { return b.count == 0 || now >= b.sent+life })
	for _, b := range h.batches {
		n += b.count
	}
	return n
}

// take takes the token that expires first.
func (h *holding) take(now time.Duration) (Token, bool) {
	if h.count(now) == 0 {
		return Token{}, false
	}
	first := 0
	for i, b := range h.batches {
		if b.sent < h.batches[first].sent {
			first = i
		}
	}
	h.batches[first].count--
	return Token{workspace: h.workspace, limit: h.limit, sent: h.batches[first].sent, lent: h.batches[first].lent}, true
}

// ahead returns the number of tokens to hold for requests that are expected.
func (h *holding) ahead(now time.Duration) int {
	rate := h.rate(now)
	if rate < aheadRate || rate*h.limit.Lifetime().Seconds() < aheadUses || now < h.shortAt+shortTime {
		return 0
	}
	return int(math.Ceil(rate * aheadTime.Seconds()))
}

func (h *holding) isLow(now time.Duration) bool {
	return h.ahead(now) > 0 && float64(h.count(now)+h.asked) < h.rate(now)*lowTime.Seconds()
}

// want returns the number of tokens to ask for.
func (h *holding) want(now time.Duration) int {
	if now < h.askAgain {
		return 0
	}
	return max(0, len(h.waiters)+h.ahead(now)-h.count(now)-h.asked)
}

// surplus removes the tokens that are not needed and can return to the bucket, and
// returns their number. The other half of the return time is left for the transit.
func (h *holding) surplus(now time.Duration) int {
	spare := max(0, h.count(now)-h.ahead(now))
	returned := 0
	for i := range h.batches {
		if b := &h.batches[i]; !b.lent && now-b.sent <= h.limit.returnTime()/2 {
			n := min(spare, b.count)
			b.count -= n
			spare -= n
			returned += n
		}
	}
	return returned
}

// receive records a grant and returns the waiters that it decides.
func (h *holding) receive(now, sent time.Duration, g wire.TokenGrant) []*Waiter {
	if g.Tokens > 0 {
		h.batches = append(h.batches, batch{sent: sent, count: g.Tokens})
	}
	h.promise.set(float64(g.Rate)/1000, sent)
	decided := h.serveWaiters(now)
	if g.Wait <= 0 {
		h.askAgain = 0
		return decided
	}
	wait := time.Duration(min(g.Wait, maxWaitMillis)) * time.Millisecond
	h.shortAt, h.moreAt = now, now+wait
	h.askAgain = now + min(wait, probeInterval)
	return append(decided, h.refuse(func(w *Waiter) bool { return w.Deadline < h.moreAt && !h.isUrgent(now, w.rank) }, Result{Outcome: Empty, Retry: wait})...)
}

// receiveStandby records a grant of a replica without the leader. A request that gets no
// token is refused because its limit is not known.
func (h *holding) receiveStandby(now, sent time.Duration, g wire.TokenGrant) []*Waiter {
	if g.Tokens > 0 {
		h.batches = append(h.batches, batch{sent: sent, count: g.Tokens, lent: true})
	}
	decided := h.serveWaiters(now)
	if g.Wait <= 0 {
		return decided
	}
	h.shortAt, h.askAgain, h.moreAt = now, now+probeInterval, now
	wait := time.Duration(min(g.Wait, maxWaitMillis)) * time.Millisecond
	return append(decided, h.refuse(func(w *Waiter) bool { return w.Deadline < now+wait }, Result{Outcome: Unknown, Retry: wait})...)
}

func (h *holding) serveWaiters(now time.Duration) []*Waiter {
	var decided []*Waiter
	for len(h.waiters) > 0 {
		t, ok := h.take(now)
		if !ok {
			break
		}
		w := h.waiters[0]
		h.waiters = h.waiters[1:]
		w.Result = Result{Outcome: Taken, Token: t}
		decided = append(decided, w)
	}
	return decided
}

// refuse removes the waiters that match, with one result.
func (h *holding) refuse(match func(w *Waiter) bool, r Result) []*Waiter {
	var decided []*Waiter
	h.waiters = slices.DeleteFunc(h.waiters, func(w *Waiter) bool {
		if match(w) {
			w.Result = r
			decided = append(decided, w)
			return true
		}
		return false
	})
	return decided
}

// expire refuses the waiters whose time is over.
func (h *holding) expire(now time.Duration) []*Waiter {
	r := Result{Outcome: Unknown, Retry: unknownRetry}
	if h.moreAt > now {
		r = Result{Outcome: Empty, Retry: h.moreAt - now}
	}
	return h.refuse(func(w *Waiter) bool { return now >= w.Deadline }, r)
}

func (h *holding) remove(w *Waiter) bool {
	before := len(h.waiters)
	h.waiters = slices.DeleteFunc(h.waiters, func(o *Waiter) bool { return o == w })
	return len(h.waiters) < before
}
