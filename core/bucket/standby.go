package bucket

import (
	"math/rand/v2"
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

// ReplicaSilence is the time without an answer of the leader after which a replica
// continues at the rates that were promised to it. Replicas are in touch with the leader
// all the time, so it is shorter than SilenceLimit.
const ReplicaSilence = 300 * time.Millisecond

// standbyWait is the longest time after which an entry is told to ask again.
const standbyWait = 300 * time.Millisecond

// standbyAhead is the time for which an entry gets what the replica may grant to all.
const standbyAhead = 20 * time.Millisecond

// Standby is the part of a replica: it answers the questions of entries while the leader
// does not, out of what the leader promised to the replica. It is not safe for
// concurrent use.
type Standby struct {
	random   *rand.Rand
	office   uint64
	contact  time.Duration // when the last answered batch was sent, 0 for never
	asking   time.Duration // when the first unanswered batch after that was sent, 0 for none
	promises map[uint64]*promise
}

// NewStandby returns a standby without promises.
func NewStandby(random *rand.Rand) *Standby {
	return &Standby{random: random, promises: map[uint64]*promise{}}
}

// Question returns the replica's own part of a batch that is sent now.
func (s *Standby) Question(now time.Duration) wire.TokenRequest {
	if s.asking == 0 {
		s.asking = now
	}
	var q wire.TokenRequest
	if s.contact > 0 {
		q.Silence = min(now-s.contact, time.Hour).Milliseconds()
	}
	for number, p := range s.promises {
		if r := p.report(now); r > 0 {
			q.List = append(q.List, wire.TokenDemand{Workspace: number, Release: r})
		}
	}
	return q
}

// Office returns the term of the leader whose promises the replica uses.
func (s *Standby) Office() uint64 { return s.office }

// Receive records the answer to a batch with the given question. It returns false if the
// answer is no contact with the leader.
func (s *Standby) Receive(now, sent time.Duration, q wire.TokenRequest, a wire.TokenBatchAnswer) bool {
	former := a.Office < s.office && now-s.contact < 2*ContinueLimit
	if a.Pending || former {
		return false
	}
	if a.Office != s.office {
		s.office = a.Office
		for _, p := range s.promises {
			p.end(now)
		}
	} else {
		for _, d := range q.List {
			s.promise(d.Workspace).released = 0
		}
	}
	s.contact, s.asking = max(s.contact, sent), 0
	for _, given := range a.Promises {
		s.promise(given.Workspace).set(float64(given.Rate)/1000, sent)
	}
	for number, p := range s.promises {
		if p.now(now) < minShare && p.report(now) == 0 {
			delete(s.promises, number)
		}
	}
	return true
}

func (s *Standby) promise(number uint64) *promise {
	p := s.promises[number]
	if p == nil {
		p = &promise{}
		s.promises[number] = p
	}
	return p
}

// Serves reports whether the replica continues without the leader.
func (s *Standby) Serves(now time.Duration) bool {
	unanswered := s.asking > 0 && now-s.asking >= ReplicaSilence
	return s.contact > 0 && unanswered && now-s.contact <= ContinueLimit
}

// most returns how many of the wanted tokens an entry gets at once: only a few of those
// that it asks for ahead, which would be missing at other entries.
func (s *Standby) most(now time.Duration, p *promise, want int) int {
	return min(want, 1+int(p.now(now)*standbyAhead.Seconds()))
}

// Serve answers a question of an entry while Serves is true.
func (s *Standby) Serve(now time.Duration, q wire.TokenRequest) wire.TokenAnswer {
	answer := wire.TokenAnswer{Office: s.office, Standby: true}
	for _, d := range q.List {
		g := wire.TokenGrant{}
		if p := s.promises[d.Workspace]; p != nil {
			g.Tokens = p.take(now, s.contact, s.contact+ReplicaSilence, s.most(now, p, d.Want), s.random.Float64)
		}
		if g.Tokens < d.Want {
			g.Wait = int(standbyWait.Milliseconds())
		}
		answer.List = append(answer.List, g)
	}
	return answer
}
