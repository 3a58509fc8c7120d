package daemon

import (
	"context"
	"time"

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

// watchLoad logs the work that waits while it delays the control group, or while
// there is no leader.
func (d *Daemon) watchLoad(ctx context.Context) {
	start := time.Now()
	expected, lastLog, lastLeader := loadInterval, time.Duration(0), time.Duration(0)
	var largest loadSample
	pace.Every(ctx, loadInterval, func() {
		now := time.Since(start)
		largest.late = max(largest.late, now-expected)
		expected = now + loadInterval
		status := d.parts.group.Status()
		if status.Leader != 0 {
			lastLeader = now
		}
		largest.inbox, largest.reads = max(largest.inbox, status.Inbox), max(largest.reads, status.Reads)
		largest.waiting = max(largest.waiting, d.parts.relay.Waiting())
		for _, c := range d.parts.links.All() {
			l := c.Load()
			largest.calls, largest.queue = max(largest.calls, l.Calls), max(largest.queue, l.Queue)
			if l.Blocked > largest.blocked {
				largest.blocked, largest.peer = l.Blocked, c.Peer().Instance
			}
		}
		delay := max(largest.late, largest.blocked, now-lastLeader)
		if now-lastLog < loadLogInterval || delay < loadLogDelay && largest.inbox < loadLogInbox {
			return
		}
		d.parts.log.WithFields(map[string]any{
			"late": largest.late.String(), "blocked": largest.blocked.String(), "peer": largest.peer,
			"calls": largest.calls, "queue": largest.queue, "inbox": largest.inbox, "reads": largest.reads, "waiting": largest.waiting,
			"leaderless": (now - lastLeader).String(), "staleness": status.Staleness.String(),
		}).Warn("messages of the control group are delayed")
		lastLog, largest = now, loadSample{}
	})
}
