package update

import (
	"time"

	"github.com/galenalock/galenalock/core/value"
)

const (
	// unconfirmedInterval is the interval of calls until the first confirmation. A round
	// trip between regions takes 50 ms.
	unconfirmedInterval = 100 * time.Millisecond
	// confirmHedgeDelay is the time after which an instance that is not ready asks a
	// further replica. The first one may be cut off from the majority, which it tells
	// after seconds only.
	confirmHedgeDelay = 250 * time.Millisecond
	// maxFrequentInterval is the longest interval of calls of a ready instance that needs a
	// recent confirmation. After frequentHedgeShare of the interval it asks a further replica.
	maxFrequentInterval = time.Second
	frequentHedgeShare  = 0.3
	// intervalsPerBound is the number of calls in the time until a withdrawn key must be
	// refused. A confirmation lasts for four of them.
	intervalsPerBound = 5
)

// FrequentInterval returns the interval of calls of an instance that must refuse a
// withdrawn key within revoke; 0 means that there is no bound.
func FrequentInterval(revoke time.Duration) time.Duration {
	if revoke == 0 {
		return maxFrequentInterval
	}
	return min(maxFrequentInterval, revoke/intervalsPerBound)
}

// Confirmer decides when an instance asks which control replica for the newest revision
// that a majority holds. It is not safe for concurrent use.
type Confirmer struct {
	interval   time.Duration
	hedgeDelay time.Duration
	next       int // position in the list of the replica to ask next
	last       time.Time
	pending    value.Set[string] // replicas that have not answered
	frequent   time.Duration     // interval while recent confirmations are needed, otherwise 0
	round      time.Time         // first call since the last one that was answered
	confirmed  bool              // a call since round was answered
}

// ConfirmerOption configures a Confirmer.
type ConfirmerOption func(*Confirmer)

// WithFirst sets the position in the list of the replica that is asked first, so that
// instances that start together ask different ones.
func WithFirst(position int) ConfirmerOption { return func(c *Confirmer) { c.next = position } }

// WithHedgeDelay sets the time after which an instance that is not ready asks a further
// replica. Only tests replace it, to show what it is for.
func WithHedgeDelay(d time.Duration) ConfirmerOption {
	return func(c *Confirmer) { c.hedgeDelay = d }
}

// NewConfirmer returns a Confirmer for a ready instance that asks at the given interval.
func NewConfirmer(interval time.Duration, opts ...ConfirmerOption) *Confirmer {
	c := &Confirmer{interval: interval, hedgeDelay: confirmHedgeDelay, pending: value.NewSet[string]()}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Ask returns the position of the replica to ask now, which then counts as asked. It
// returns false if none is to be asked.
func (c *Confirmer) Ask(now time.Time, ready bool, replicas []string) (int, bool) {
	if !c.due(now, ready) {
		return 0, false
	}
	for i := range replicas {
		position := (c.next + i) % len(replicas)
		if name := replicas[position]; !c.pending.Has(name) {
			c.pending.Add(name)
			c.last, c.next = now, position+1
			if c.confirmed || c.round.IsZero() {
				c.round, c.confirmed = now, false
			}
			return position, true
		}
	}
	return 0, false
}

// Answered records that a replica has answered, or that the call to it has failed.
func (c *Confirmer) Answered(replica string) { c.pending.Remove(replica) }

// Confirmed records that the call made at the given time was answered with the newest
// revision.
func (c *Confirmer) Confirmed(asked time.Time) {
	c.confirmed = c.confirmed || !asked.Before(c.round)
}

// SetFrequent makes a ready instance ask at this interval instead of its usual one, and
// not wait for a replica that does not answer; 0 ends that.
func (c *Confirmer) SetFrequent(interval time.Duration) { c.frequent = interval }

func (c *Confirmer) due(now time.Time, ready bool) bool {
	switch {
	case ready && c.frequent > 0 && c.confirmed:
		return now.Sub(c.round) >= c.frequent
	case ready && c.frequent > 0:
		return now.Sub(c.last) >= time.Duration(frequentHedgeShare*float64(c.frequent))
	}
	return now.Sub(c.last) >= c.wait(ready) && (!ready || len(c.pending) == 0)
}

func (c *Confirmer) wait(ready bool) time.Duration {
	switch {
	case ready:
		return c.interval
	case len(c.pending) > 0:
		return c.hedgeDelay
	}
	return unconfirmedInterval
}
