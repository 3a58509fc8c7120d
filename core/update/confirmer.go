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
)

// Confirmer decides when an instance asks which control replica for the newest revision
// that a majority holds. It is not safe for concurrent use.
type Confirmer struct {
	interval   time.Duration
	hedgeDelay time.Duration
	next       int // position in the list of the replica to ask next
	last       time.Time
	pending    value.Set[string] // replicas that have not answered
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
	if now.Sub(c.last) < c.wait(ready) || ready && len(c.pending) > 0 {
		return 0, false
	}
	for i := range replicas {
		position := (c.next + i) % len(replicas)
		if name := replicas[position]; !c.pending.Has(name) {
			c.pending.Add(name)
			c.last, c.next = now, position+1
			return position, true
		}
	}
	return 0, false
}

// Answered records that a replica has answered, or that the call to it has failed.
func (c *Confirmer) Answered(replica string) { c.pending.Remove(replica) }

func (c *Confirmer) wait(ready bool) time.Duration {
	switch {
	case ready:
		return c.interval
	case len(c.pending) > 0:
		return c.hedgeDelay
	}
	return unconfirmedInterval
}
