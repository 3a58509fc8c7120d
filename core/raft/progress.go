package raft

import "time"

// progress is a leader's view of another replica.
type progress struct {
	match          uint64 // last index acknowledged as durable
	next           uint64 // index of the next entry to send
	probing        bool   // one message at a time until the logs are known to match
	paused         bool   // a probe or snapshot part was sent and is unanswered
	inflight       []inflightAppend
	inflightBytes  int       // sum over inflight
	lastReply      time.Time // time of the last reply
	lastProgress   time.Time // time of the last reply that advanced match or the snapshot, or of the first append in flight
	round          uint64    // highest round in a reply
	incarnation    uint64
	recovering     bool
	snapshotIndex  uint64 // index of the snapshot being sent, zero for none
	snapshotOffset uint64 // acknowledged bytes of that snapshot
	snapshotSent   uint64 // bytes of that snapshot that were sent
	// snapshotStarted is true once a part was sent, which may be empty.
	snapshotStarted bool
}

// inflightAppend is an append that has not been acknowledged.
type inflightAppend struct {
	last  uint64
	bytes int
}

func (p *progress) probe(next uint64) {
	p.next, p.probing, p.paused = next, true, false
	p.inflight, p.inflightBytes = nil, 0
	p.snapshotIndex, p.snapshotOffset, p.snapshotSent, p.snapshotStarted = 0, 0, 0, false
}

func (p *progress) startSnapshot(index uint64, now time.Time) {
	p.snapshotIndex, p.snapshotOffset, p.snapshotSent, p.snapshotStarted = index, 0, 0, false
	p.lastProgress = now
}

func (p *progress) acknowledge(index uint64) {
	for len(p.inflight) > 0 && p.inflight[0].last <= index {
		p.inflightBytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
}
