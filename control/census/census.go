// Package census collects at the leader which targets still announce
// themselves.
//
// Each replica notes the announcements that it receives and passes a list of
// them on once a second. Only their absence matters, so they are not part of
// the replicated log. A target that no replica has heard for the time to live is
// reported once as silent.
package census

import (
	"time"

	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/wire"
)

// Census is the state of one replica. It is not safe for concurrent use.
type Census struct {
	life  time.Duration
	heard map[string]sign
	fresh map[string]wire.HeardTarget // since the last batch
	since time.Time                   // start of the leadership, zero: not leading
}

// sign is the last announcement of a target that is known here.
type sign struct {
	start time.Time
	seq   uint64
	at    time.Time
}

// New returns a census that takes a target for silent after life.
func New(life time.Duration) *Census {
	return &Census{life: life, heard: map[string]sign{}, fresh: map[string]wire.HeardTarget{}}
}

// Hear notes an announcement that this replica received.
func (c *Census) Hear(now time.Time, name string, start time.Time, seq uint64) {
	c.note(now, name, start, seq)
	c.fresh[name] = wire.HeardTarget{Name: name, Start: start.UnixMilli(), Seq: seq}
}

// Merge takes the list of another replica.
func (c *Census) Merge(now time.Time, h wire.Heard) {
	for _, t := range h.Targets {
		c.note(now, t.Name, time.UnixMilli(t.Start).UTC(), t.Seq)
	}
}

func (c *Census) note(now time.Time, name string, start time.Time, seq uint64) {
	known, ok := c.heard[name]
	if ok && (start.Before(known.start) || start.Equal(known.start) && seq < known.seq) {
		return
	}
	c.heard[name] = sign{start: start, seq: seq, at: now}
}

// Batch returns what was received here since the last call.
func (c *Census) Batch() wire.Heard {
	var h wire.Heard
	for _, t := range c.fresh {
		h.Targets = append(h.Targets, t)
	}
	clear(c.fresh)
	return h
}

// Silent returns the targets that the leader should mark as silent. A new leader
// knows only what it received itself, so the time to live counts from its first
// call.
func (c *Census) Silent(now time.Time, leads bool, targets enrol.View) []enrol.Incarnation {
	if !leads {
		c.since = time.Time{}
		return nil
	}
	if c.since.IsZero() {
		c.since = now
	}
	var out []enrol.Incarnation
	for _, t := range targets.Rows() {
		if !t.Live() || t.Silent {
			continue
		}
		last := sign{start: t.Start, seq: t.Seq, at: c.since}
		if known, ok := c.heard[t.Name]; ok && known.start.Equal(t.Start) && known.at.After(c.since) {
			last = known
		}
		if now.Sub(last.at) >= c.life {
			out = append(out, enrol.Incarnation{Name: t.Name, Start: t.Start, Seq: max(last.seq, t.Seq)})
		}
	}
	return out
}

// Forget drops targets that are not in the registry any more.
func (c *Census) Forget(targets enrol.View) {
	for name := range c.heard {
		if row := targets.Find(name); row == nil || !row.Live() {
			delete(c.heard, name)
		}
	}
}
