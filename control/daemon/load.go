package daemon

import (
	"context"
	"time"

	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/pace"
)

const (
	// loadInterval is the interval at which the load of a replica is sampled.
	loadInterval = 100 * time.Millisecond
	// loadLogInterval is the least time between two log lines about the load.
	loadLogInterval = time.Second
	// loadLogDelay is the delay of messages, of the process or without a leader from
	// which the load is logged. It is half of the time after which a leader without
	// replies steps down.
	loadLogDelay = 500 * time.Millisecond
	// loadLogInbox is the number of waiting messages of the group from which the load
	// is logged.
	loadLogInbox = 256
)

// loadSample is the work that waits on a replica, the largest values since the last
// log line.
type loadSample struct {
	late    time.Duration // delay of a timer
	blocked time.Duration // the reader of a link waits for a handler
	peer    string        // peer of that link
	calls   int           // calls of one replica that are being handled
	queue   int           // messages to one replica that are not sent
	inbox   int           // messages of the group that are not processed
	reads   int           // reads that wait for a quorum
	waiting int           // commands that wait to be proposed
}

// merge keeps the largest values.
func (s *loadSample) merge(o loadSample) {
	if o.blocked > s.blocked {
		s.blocked, s.peer = o.blocked, o.peer
	}
	s.late = max(s.late, o.late)
	s.calls, s.queue = max(s.calls, o.calls), max(s.queue, o.queue)
	s.inbox, s.reads, s.waiting = max(s.inbox, o.inbox), max(s.reads, o.reads), max(s.waiting, o.waiting)
}

// fields returns the fields of the log line.
func (s *loadSample) fields() map[string]any {
	return map[string]any{
		"late": s.late.String(), "blocked": s.blocked.String(), "peer": s.peer,
		"calls": s.calls, "queue": s.queue, "inbox": s.inbox, "reads": s.reads, "waiting": s.waiting,
	}
}

// watchLoad logs the work that waits while it delays the control group, or while
// there is no leader.
func (d *Daemon) watchLoad(ctx context.Context) {
	start := time.Now()
	var expected, lastLog, lastLeader time.Duration // since start
	var largest loadSample
	expected = loadInterval
	pace.Every(ctx, loadInterval, func() {
		now := time.Since(start)
		status := d.parts.group.Status()
		if status.Leader != 0 {
			lastLeader = now
		}
		sample := d.sampleLoad(status)
		sample.late = now - expected
		expected = now + loadInterval
		largest.merge(sample)
		leaderless := now - lastLeader
		delayed := max(largest.late, largest.blocked, leaderless) >= loadLogDelay || largest.inbox >= loadLogInbox
		if !delayed || now-lastLog < loadLogInterval {
			return
		}
		d.parts.log.WithFields(largest.fields()).WithField("leaderless", leaderless.String()).
			WithField("staleness", status.Staleness.String()).Warn("messages of the control group are delayed")
		lastLog, largest = now, loadSample{}
	})
}

// sampleLoad returns the work that waits now.
func (d *Daemon) sampleLoad(status group.Status) loadSample {
	s := loadSample{inbox: status.Inbox, reads: status.Reads, waiting: d.parts.relay.Waiting()}
	for _, c := range d.parts.links.All() {
		l := c.Load()
		s.merge(loadSample{calls: l.Calls, queue: l.Queue, blocked: l.Blocked, peer: c.Peer().Instance})
	}
	return s
}
