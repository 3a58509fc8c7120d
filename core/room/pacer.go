package room

import (
	"maps"
	"slices"
	"time"
)

const (
	// limitUtilization is the utilization from which admissions are limited. In the
	// model tests, 1.5 made 7% of the most urgent requests late in a burst, 1.25 1%.
	limitUtilization = 1.25
	// fullUtilization is the utilization at which only minShare is admitted. Queues
	// of targets hold 4 requests per slot (a utilization of 5), so few of them are
	// full before that.
	fullUtilization = 3
	minShare        = 0.05
	// catchUp is the increase of the admitted rate per free slot-share while
	// requests wait that were held back earlier.
	catchUp = 2
	// fairShare is the share of lower ranks in proportion to that of all requests.
	fairShare = 0.25
	// mixMemory is the time constant of the arrivals of each rank. It is longer than
	// memory, since a lower rank may have one request in several seconds.
	mixMemory = 5 * time.Second
	// maxCredit bounds the admissions that are saved up, maxDebt those that a rank
	// without limit takes in advance.
	maxCredit = 1
	maxDebt   = 3
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is
	// told to return. Callers wait for at most a third of the time that they have,
	// which is 1 to 2 s.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

const (
	// maxDemand bounds the arrivals that count, in proportion to the answers, so that
	// callers that return at once do not raise the admitted rate. minDemand bounds
	// them below in proportion to the arrivals, for a service that begins to answer.
	maxDemand = 2
	minDemand = 0.25
)

// rankState is what the pacer knows of one rank.
type rankState struct {
	arrived float64 // recent requests
	share   float64 // of the arrivals that is admitted
	credit  float64 // admissions by the share
	floor   float64 // admissions by the minimum share
}

// Pacer limits the rate of admissions of a service at one entry and shares it among
// the ranks. Rank 0 is the most urgent.
type Pacer struct {
	startedAt time.Time
	updatedAt time.Time
	ranks     map[int]*rankState
	order     []int   // ranks in ascending order
	tokens    float64 // admissions that are allowed now, negative after advances
	arrivals  float64 // recent requests of all ranks
	answered  float64
}

// NewPacer returns a pacer without history.
func NewPacer(now time.Time) *Pacer {
	return &Pacer{startedAt: now, updatedAt: now, tokens: maxCredit, ranks: map[int]*rankState{}}
}

// Limits reports whether admissions are limited: the targets queue requests, or
// requests wait that were held back.
func Limits(e *Estimate, waiting int) bool {
	return e.Known() && (e.Utilization > limitUtilization || waiting > 0)
}

// Arrive records the arrival of a request.
func (p *Pacer) Arrive(now time.Time, e *Estimate, rank int) {
	p.advance(now, e)
	p.state(rank).arrived++
	p.arrivals++
}

// Answer records that an admitted request was answered.
func (p *Pacer) Answer(now time.Time, e *Estimate) {
	p.advance(now, e)
	p.answered++
}

// Take reports whether a request may be admitted now, and if so takes it out of the
// credit of its rank. waiting is the number of requests that wait for admission.
func (p *Pacer) Take(now time.Time, e *Estimate, rank, waiting int) bool {
	p.advance(now, e)
	if !Limits(e, waiting) {
		p.tokens = maxCredit
		for _, r := range p.ranks {
			r.credit, r.floor = 0, 0
		}
		return true
	}
	p.computeShares(e)
	r := p.state(rank)
	switch {
	case r.share >= 1 && p.tokens > -maxDebt: // in advance
	case p.tokens >= 1 && (r.credit >= 1 || rank == p.order[0]): // not what is left for more urgent ranks
	case r.floor >= 1:
		r.floor--
	default:
		return false
	}
	p.tokens--
	r.credit = max(0, r.credit-1)
	return true
}

// Wait returns the expected time until a request of the rank is admitted, with a
// number of requests of the same rank ahead of it.
func (p *Pacer) Wait(now time.Time, e *Estimate, rank, ahead int) time.Duration {
	p.advance(now, e)
	p.computeShares(e)
	r := p.state(rank)
	missing := float64(ahead+1) - max(0, min(r.credit, p.tokens))
	if missing <= 0 {
		return 0
	}
	rate := r.share * r.arrived / p.seconds(now)
	if rank == p.order[0] {
		rate = max(rate, p.rate(now, e))
	}
	return time.Duration(min(missing/max(rate, 1e-9), maxWait.Seconds()) * float64(time.Second))
}

// maxWait bounds expected waits.
const maxWait = time.Minute

// RetryAfter returns the time after which a refused request of the rank may find
// room.
func (p *Pacer) RetryAfter(now time.Time, e *Estimate, rank, ahead int) time.Duration {
	if e.Sheds() {
		// The targets take a share of the arrivals, whenever these come. A caller that
		// returns soon meets its goal; the more are shed, the more would return.
		wait := float64(minRetryAfter) * e.shedOdds()
		return min(max(time.Duration(wait), minRetryAfter), maxRetryAfter)
	}
	wait := p.Wait(now, e, rank, ahead)
	if wait < maxRetryAfter {
		wait += e.QueueDelay
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Reserve returns the number of extra attempts, per request of any rank, that requests
// of more urgent ranks need because targets shed them.
func (p *Pacer) Reserve(e *Estimate, rank int) float64 {
	if !e.Sheds() {
		return 0
	}
	urgent := 0.0
	for _, other := range p.order {
		if other < rank {
			urgent += p.ranks[other].arrived
		}
	}
	return urgent / max(p.arrivals, 1) * e.shedOdds()
}

// computeShares sets the shares of the arrivals that are admitted. Each rank gets
// fairShare of the total share; the rest goes to the most urgent ranks.
func (p *Pacer) computeShares(e *Estimate) {
	total := admittedShare(e.Utilization) * p.demand() / max(p.arrivals, 1e-9)
	if total >= 1 {
		for _, r := range p.ranks {
			r.share = total
		}
		return
	}
	least := fairShare * total
	left := total - least
	for _, rank := range p.order {
		r := p.ranks[rank]
		part := r.arrived / max(p.arrivals, 1e-9)
		extra := min(1-least, left/max(part, 1e-9))
		left -= extra * part
		r.share = least + extra
		if r.share > 1-1e-9 {
			r.share = 1
		}
	}
}

// admittedShare returns the admissions in proportion to the arrivals. It is above 1
// while there is room.
func admittedShare(utilization float64) float64 {
	if utilization <= limitUtilization {
		return 1 + catchUp*(limitUtilization-utilization)
	}
	slope := (1 - minShare) / (fullUtilization - limitUtilization)
	return max(minShare, 1-slope*(utilization-limitUtilization))
}

// rate returns the admissions a second.
func (p *Pacer) rate(now time.Time, e *Estimate) float64 {
	return admittedShare(e.Utilization) * p.demand() / p.seconds(now)
}

// demand returns the recent arrivals that count.
func (p *Pacer) demand() float64 {
	return min(p.arrivals, max(minDemand*p.arrivals, maxDemand*p.answered))
}

// seconds returns the time for which the decaying sums of requests stand.
func (p *Pacer) seconds(now time.Time) float64 {
	return max(0.1, mixMemory.Seconds()*(1-decay(now.Sub(p.startedAt), mixMemory)))
}

// advance adds the credit gained and lets the sums decay.
func (p *Pacer) advance(now time.Time, e *Estimate) {
	elapsed := now.Sub(p.updatedAt)
	if elapsed <= 0 {
		return
	}
	p.computeShares(e)
	remaining, seconds := decay(elapsed, mixMemory), p.seconds(now)
	p.tokens = min(maxCredit, p.tokens+elapsed.Seconds()*p.rate(now, e))
	least := fairShare * min(1, admittedShare(e.Utilization)*p.demand()/max(p.arrivals, 1e-9))
	for rank, r := range p.ranks {
		arrivals := elapsed.Seconds() * r.arrived / seconds
		r.credit = min(maxCredit, r.credit+arrivals*r.share)
		r.floor = min(maxCredit, r.floor+arrivals*least)
		r.arrived *= remaining
		if r.arrived < forgetArrivals {
			delete(p.ranks, rank)
			p.order = nil
		}
	}
	p.arrivals *= remaining
	p.answered *= remaining
	if p.order == nil {
		p.order = slices.Sorted(maps.Keys(p.ranks))
	}
	p.updatedAt = now
}

// forgetArrivals is the number of recent arrivals below which a rank is forgotten.
const forgetArrivals = 0.01

func (p *Pacer) state(rank int) *rankState {
	r := p.ranks[rank]
	if r == nil {
		r = &rankState{}
		p.ranks[rank] = r
		p.order = slices.Sorted(maps.Keys(p.ranks))
	}
	return r
}
