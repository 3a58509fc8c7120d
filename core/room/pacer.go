package room

import (
	"maps"
	"math"
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
	// minArrivals is the number of recent arrivals of a rank from which its share is
	// compared to that of others.
	minArrivals = 2
	// maxTokens bounds the admissions that are saved up, maxDebt those that ranks
	// without limit take in advance.
	maxTokens = 1
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

// rankCounts are the recent requests of one rank.
type rankCounts struct{ arrived, admitted float64 }

// Pacer limits the rate of admissions of a service at one entry and shares it among
// the ranks. Rank 0 is the most urgent.
type Pacer struct {
	startedAt time.Time
	updatedAt time.Time
	tokens    float64 // admissions that are allowed now, negative after advances
	ranks     map[int]*rankCounts
	order     []int // ranks in ascending order
	arrivals  float64
	admitted  float64
	answered  float64
	allowance []float64 // scratch space of shares
}

// NewPacer returns a pacer without history.
func NewPacer(now time.Time) *Pacer {
	return &Pacer{startedAt: now, updatedAt: now, tokens: maxTokens, ranks: map[int]*rankCounts{}}
}

// Limits reports whether admissions are limited: the targets queue requests, or
// requests wait that were held back.
func Limits(e *Estimate, waiting int) bool {
	return e.Known() && (e.Utilization > limitUtilization || waiting > 0)
}

// Arrive records the arrival of a request.
func (p *Pacer) Arrive(now time.Time, e *Estimate, rank int) {
	p.advance(now, e)
	p.counts(rank).arrived++
	p.arrivals++
}

// Answer records that an admitted request was answered.
func (p *Pacer) Answer(now time.Time, e *Estimate) {
	p.advance(now, e)
	p.answered++
}

// Take reports whether a request may be admitted now, and if so records that it is.
// waiting is the number of requests that wait for admission, including this one if
// it does.
func (p *Pacer) Take(now time.Time, e *Estimate, rank, waiting int) bool {
	p.advance(now, e)
	switch {
	case !Limits(e, waiting):
		p.tokens = maxTokens
		p.record(rank)
		return true
	case p.tokens >= 1, p.tokens > -maxDebt && p.share(e, rank) >= 1:
		p.tokens--
		p.record(rank)
		return true
	}
	return false
}

// TakeElsewhere records the admission of a request to targets that are not limited.
func (p *Pacer) TakeElsewhere(now time.Time, e *Estimate, rank int) {
	p.advance(now, e)
	p.record(rank)
}

// Favoured returns the lowest rank that has been admitted less than its minimum
// share, and false if there is none.
func (p *Pacer) Favoured() (int, bool) {
	if p.arrivals <= 0 {
		return 0, false
	}
	least := fairShare * p.admitted / p.arrivals
	for _, rank := range slices.Backward(p.order) {
		if c := p.ranks[rank]; c.arrived >= minArrivals && c.admitted < least*c.arrived {
			return rank, true
		}
	}
	return 0, false
}

// Wait returns the expected time until a request of the rank is admitted, with a
// number of requests ahead of it.
func (p *Pacer) Wait(now time.Time, e *Estimate, rank, ahead int) time.Duration {
	p.advance(now, e)
	rate := p.rate(now, e)
	for i, other := range p.order {
		if other >= rank {
			break
		}
		// What more urgent ranks take is not left for this one.
		rate -= min(1, p.allowance[i]) * p.ranks[other].arrived / mixSeconds(now, p.startedAt)
	}
	missing := float64(ahead+1) - max(0, p.tokens)
	if missing <= 0 {
		return 0
	}
	if rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(min(missing/rate, 60) * float64(time.Second))
}

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

// share returns the share of the arrivals of a rank that is admitted. Each rank gets
// fairShare of the total share; the rest goes to the most urgent ranks.
func (p *Pacer) share(e *Estimate, rank int) float64 {
	p.computeShares(e)
	for i, other := range p.order {
		if other == rank {
			return p.allowance[i]
		}
	}
	return 0
}

func (p *Pacer) computeShares(e *Estimate) {
	total := admittedShare(e.Utilization)
	least := min(1, fairShare*total)
	left := total - least
	p.allowance = p.allowance[:0]
	for _, rank := range p.order {
		part := p.ranks[rank].arrived / max(p.arrivals, 1e-9)
		extra := min(1-least, left/max(part, 1e-9))
		left -= extra * part
		share := least + extra
		if share > 1-1e-9 {
			share = 1
		}
		p.allowance = append(p.allowance, share)
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
	p.computeShares(e)
	arrivals := min(p.arrivals, max(minDemand*p.arrivals, maxDemand*p.answered)) / mixSeconds(now, p.startedAt)
	return admittedShare(e.Utilization) * arrivals
}

// mixSeconds returns the time for which the decaying sum of arrivals stands.
func mixSeconds(now, startedAt time.Time) float64 {
	return max(0.1, mixMemory.Seconds()*(1-decay(now.Sub(startedAt), mixMemory)))
}

// advance adds the tokens gained and lets the counts decay.
func (p *Pacer) advance(now time.Time, e *Estimate) {
	elapsed := now.Sub(p.updatedAt)
	if elapsed <= 0 {
		return
	}
	p.tokens = min(maxTokens, p.tokens+elapsed.Seconds()*p.rate(now, e))
	remaining := decay(elapsed, mixMemory)
	for rank, c := range p.ranks {
		c.arrived *= remaining
		c.admitted *= remaining
		if c.arrived < forgetArrivals {
			delete(p.ranks, rank)
			p.order = nil
		}
	}
	p.arrivals *= remaining
	p.admitted *= remaining
	p.answered *= remaining
	if p.order == nil {
		p.order = slices.Sorted(maps.Keys(p.ranks))
	}
	p.updatedAt = now
}

// forgetArrivals is the number of recent arrivals below which a rank is forgotten.
const forgetArrivals = 0.01

func (p *Pacer) counts(rank int) *rankCounts {
	c := p.ranks[rank]
	if c == nil {
		c = &rankCounts{}
		p.ranks[rank] = c
		p.order = slices.Sorted(maps.Keys(p.ranks))
	}
	return c
}

func (p *Pacer) record(rank int) {
	p.counts(rank).admitted++
	p.admitted++
}
