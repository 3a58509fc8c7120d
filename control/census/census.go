// Package census detects targets that have stopped announcing themselves.
//
// Each replica records the announcements that it receives and sends a list of
// them to the leader once a second. Only missing announcements have an effect,
// so they are not part of the replicated log. The leader reports a target as
// silent, until it is marked so, when no replica has received an announcement of
// it for the time to live.
package census

import (
	"time"

	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/wire"
)

// Tracker records the last announcement of each target at one replica. It is not
// safe for concurrent use.
type Tracker struct {
	ttl         time.Duration
	announced   map[string]announcement
	pending     map[string]wire.HeardTarget // received here since the last batch
	leaderSince time.Time                   // zero while not leading
}

// announcement is the last known announcement of a target.
type announcement struct {
	start    time.Time
	seq      uint64
	received time.Time
}

// New returns a tracker that regards a target as silent after ttl without an
// announcement.
func New(ttl time.Duration) *Tracker {
	return &Tracker{ttl: ttl, announced: map[string]announcement{}, pending: map[string]wire.HeardTarget{}}
}

// Record records an announcement that this replica received.
func (c *Tracker) Record(now time.Time, name string, start time.Time, seq uint64) {
	c.update(now, name, start, seq)
	c.pending[name] = wire.HeardTarget{Name: name, Start: start.UnixMilli(), Seq: seq}
}

// Merge records the announcements that another replica received.
func (c *Tracker) Merge(now time.Time, list wire.Heard) {
	for _, t := range list.Targets {
		c.update(now, t.Name, time.UnixMilli(t.Start).UTC(), t.Seq)
	}
}

func (c *Tracker) update(now time.Time, name string, start time.Time, seq uint64) {
	known, ok := c.announced[name]
	if ok && (start.Before(known.start) || start.Equal(known.start) && seq < known.seq) {
		return
	}
	c.announced[name] = announcement{start: start, seq: seq, received: now}
}

// TakeBatch returns the targets whose announcements were received here since the
// last call.
func (c *Tracker) TakeBatch() wire.Heard {
	var list wire.Heard
	for _, t := range c.pending {
		list.Targets = append(list.Targets, t)
	}
	clear(c.pending)
	return list
}

// Silent returns the live targets that the leader should mark as silent, except
// those already marked. A new leader knows only the announcements that it
// received itself, so the time to live starts again with its first call.
func (c *Tracker) Silent(now time.Time, leading bool, targets enrol.View) []enrol.Incarnation {
	if !leading {
		c.leaderSince = time.Time{}
		return nil
	}
	if c.leaderSince.IsZero() {
		c.leaderSince = now
	}
	var out []enrol.Incarnation
	for _, t := range targets.Rows() {
		if !t.Live() || t.Silent {
			continue
		}
		last := announcement{start: t.Start, seq: t.Seq, received: c.leaderSince}
		if known, ok := c.announced[t.Name]; ok && known.start.Equal(t.Start) && known.received.After(c.leaderSince) {
			last = known
		}
		if now.Sub(last.received) >= c.ttl {
			out = append(out, enrol.Incarnation{Name: t.Name, Start: t.Start, Seq: max(last.seq, t.Seq)})
		}
	}
	return out
}

// Prune removes targets that are no longer registered.
func (c *Tracker) Prune(targets enrol.View) {
	for name := range c.announced {
		if row := targets.Find(name); row == nil || !row.Live() {
			delete(c.announced, name)
		}
	}
}
