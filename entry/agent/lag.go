package agent

import (
	"time"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// lagLogInterval is the interval of log lines while a newer revision is known than
	// the one in force.
	lagLogInterval = time.Second
	// staleLimit is how long an entry serves by its configuration while it knows of a
	// newer one. A change must be in force within 2.5 s of its acceptance, and an entry
	// hears of it within a few round trips.
	staleLimit = 1500 * time.Millisecond
)

// hearRevision records the announcement of a revision. It runs on the goroutines of
// the links, so that the lag includes the time in the queue of events.
func (a *Agent) hearRevision(c *link.Conn, r wire.Revision) {
	a.lag.Hear(time.Now(), r.Number)
	a.post(func(now time.Time) { a.receiveRevision(now, c, r) })
}

// logLag logs that the entry lags, if it does.
func (a *Agent) logLag(now time.Time) {
	behind, newest := a.lag.Behind(now)
	if behind < lagLogInterval || now.Sub(a.lastLagLog) < lagLogInterval {
		return
	}
	a.lastLagLog = now
	a.log.WithField("revision", a.update.Number()).WithField("newest", newest).WithField("lag", behind.String()).
		WithField("links", len(*a.controlLinks.Load())).Warn("revision lags")
}

// IsStale reports whether the entry has known for longer than staleLimit that a
// replica in reach has a newer configuration. An entry that reaches no replica, or
// cannot parse the newer text, goes on with the one it has.
func (a *Agent) IsStale(now time.Time) bool {
	return a.registry != nil && a.RevisionLag(now) >= staleLimit
}

// RevisionLag returns how long the entry has known of a newer revision than the one
// in force, 0 if it knows of none.
func (a *Agent) RevisionLag(now time.Time) time.Duration {
	behind, _ := a.lag.Behind(now)
	return behind
}
