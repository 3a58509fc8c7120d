package raft

import "time"

// progress is what a leader knows of another replica.
type progress struct {
	match       uint64 // acknowledged as durable
	next        uint64 // first index to send
	probing     bool   // one message at a time until the logs are known to agree
	paused      bool   // probing, and the message is out
	flights     []flight
	bytes       int       // sum of flights
	heard       time.Time // last reply
	acked       time.Time // last reply that moved match, or start of the flights
	round       uint64    // highest round echoed
	incarnation uint64
	recovering  bool
	sending     uint64 // index of the snapshot being sent, zero for none
	offset      uint64 // bytes of it acknowledged
}

// flight is an unacknowledged append.
type flight struct {
	last  uint64
	bytes int
}

func (p *progress) probe(next uint64) {
	p.next, p.probing, p.paused = next, true, false
	p.flights, p.bytes = nil, 0
	p.sending, p.offset = 0, 0
}

func (p *progress) acknowledge(index uint64) {
	for len(p.flights) > 0 && p.flights[0].last <= index {
		p.bytes -= p.flights[0].bytes
		p.flights = p.flights[1:]
	}
}
