package update

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Freshness tells which decisions about keys the configuration in force supports.
type Freshness int

// Degrees of freshness.
const (
	// Outdated means that a key in the configuration may have been withdrawn too long
	// ago to be accepted.
	Outdated Freshness = iota
	// Usable means that a key in the configuration is accepted. One that is not in it
	// may have been added meanwhile.
	Usable
	// Newest means that, in addition, a key that is not in the configuration is unknown.
	Newest
)

const (
	// usableShare is the part of the time until a withdrawn key must be refused for which
	// a confirmation lasts. Entries have to serve for 0.6 of it without control; the rest
	// covers the time from a check to the first byte sent.
	usableShare = 0.8
	// newestShare and maxNewest limit the age up to which an unknown key is refused for
	// good. A new key must be accepted 2.5 s after its configuration was acknowledged.
	newestShare = 0.4
	maxNewest   = 2 * time.Second
	// maxUnapplied limits the confirmations of revisions that are not in force yet.
	maxUnapplied = 8
	never        = math.MinInt64
)

// Age measures how long ago the configuration in force was certainly the newest one.
// All times are read from a clock that counts suspension, such as boot.Now: a
// suspended instance must not take an old confirmation for a recent one. The zero age
// is that of a question to control that the configuration in force answers. It is
// safe for concurrent use.
type Age struct {
	revoke time.Duration
	asked  atomic.Int64 // time of the last question whose answer is in force, or never

	mu        sync.Mutex
	number    uint64         // of the revision in force
	unapplied []confirmation // of higher revisions
}

// confirmation is the answer to a question which revision is the newest.
type confirmation struct {
	asked  time.Duration
	number uint64
}

// NewAge returns an Age without any confirmation. A withdrawn key must be refused
// within revoke; 0 means that there is no bound.
func NewAge(revoke time.Duration) *Age {
	a := &Age{revoke: revoke}
	a.asked.Store(never)
	return a
}

// Confirm records that a majority of control held no revision above number at some
// time after asked, the time before the question was sent.
func (a *Age) Confirm(asked time.Duration, number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if number <= a.number {
		a.advance(asked)
		return
	}
	if len(a.unapplied) == maxUnapplied {
		a.unapplied = a.unapplied[1:] // only makes the view look older
	}
	a.unapplied = append(a.unapplied, confirmation{asked: asked, number: number})
}

// Apply records the revision in force. Readers must already see it when Apply is
// called, so that none takes an earlier one for confirmed.
func (a *Age) Apply(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if number <= a.number {
		return
	}
	a.number = number
	kept := a.unapplied[:0]
	for _, c := range a.unapplied {
		if c.number > number {
			kept = append(kept, c)
			continue
		}
		a.advance(c.asked)
	}
	a.unapplied = kept
}

func (a *Age) advance(asked time.Duration) {
	a.asked.Store(max(a.asked.Load(), int64(asked)))
}

// Of returns how long ago the configuration in force was certainly the newest, and
// false if that has never been confirmed.
func (a *Age) Of(now time.Duration) (time.Duration, bool) {
	asked := a.asked.Load()
	return now - time.Duration(asked), asked != never
}

// Freshness returns the freshness of the configuration in force. A reader that then
// reads the configuration sees this one or a newer one.
func (a *Age) Freshness(now time.Duration) Freshness {
	age, confirmed := a.Of(now)
	switch {
	case confirmed && age <= a.newest():
		return Newest
	case a.revoke == 0, confirmed && age <= time.Duration(usableShare*float64(a.revoke)):
		return Usable
	}
	return Outdated
}

func (a *Age) newest() time.Duration {
	if a.revoke == 0 {
		return maxNewest
	}
	return min(maxNewest, time.Duration(newestShare*float64(a.revoke)))
}
