package raft

import "time"

const (
	// retryPart is the part of the election timeout after which a pre-vote that was
	// not won, or a vote that cannot be won any more, is tried again, up to twice as
	// long. A round trip between regions and a sync take a tenth of the timeout.
	retryPart = 8
	// yieldPart is the part of the election timeout for which a replica makes way
	// for another one that collects pre-votes, and for which it insists on its own
	// right of way. It is shorter than the pause between two pre-votes, so that a
	// replica which cannot win holds up the others only at times.
	yieldPart = 10
)

// campaign asks for votes: with pre, whether an election could be won, without
// raising the term; with force, in spite of a live leader.
func (c *Core) campaign(pre, force bool) {
	c.become(c.term, 0)
	c.role, c.pre, c.force = RoleCandidate, pre, force
	c.resetElection()
	if pre {
		// A pre-vote disturbs nobody, so it is tried again soon: after a loss of
		// power the first ones find too few replicas that have started.
		c.retrySoon()
		c.began = c.now
	}
	c.refused, c.hopeless = map[uint64]bool{}, false
	c.votes = map[uint64]bool{c.cfg.ID: true}
	kind, term := MessagePreVote, c.term+1
	if !pre {
		kind = MessageVote
		c.setTerm(term, c.cfg.ID)
		c.voteSeq = c.seq + 1
	}
	for _, member := range c.members() {
		if member.ID == c.cfg.ID || member.Learner {
			continue
		}
		c.send(Message{Kind: kind, To: member.ID, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), Force: force})
	}
}

func (c *Core) retrySoon() {
	part := int64(c.cfg.Election) / retryPart
	c.election = c.now.Add(time.Duration(part + c.cfg.Rand.Int63n(part)))
}

// countRefusal notes that a voter refused its vote. When the others do not make
// a majority, for instance because candidates split the votes of the only
// replicas that survived, waiting for the timeout would win nothing.
func (c *Core) countRefusal(from uint64) {
	if c.votes[from] || c.refused[from] {
		return
	}
	c.refused[from] = true
	possible := c.majority(func(id uint64) bool { return !c.refused[id] })
	if !possible && !c.hopeless {
		c.hopeless = true
		c.retrySoon()
	}
}

// electable tells whether the replica may campaign. A voter whose removal is not
// yet committed still may, because it can be the only one whose log is complete
// enough to win.
func (c *Core) electable() bool {
	if c.recovering || c.installing != nil {
		return false
	}
	committed, _ := c.membersAt(c.commit)
	return c.members().voter(c.cfg.ID) || committed.voter(c.cfg.ID)
}

func (c *Core) countVotes() {
	if c.role != RoleCandidate {
		return
	}
	if !c.pre && c.acked < c.voteSeq {
		return
	}
	switch {
	case !c.majority(func(id uint64) bool { return c.votes[id] }):
	case c.pre:
		c.campaign(false, false)
	default:
		c.lead()
	}
}

// majority reports whether a majority of the voters is counted.
func (c *Core) majority(counted func(id uint64) bool) bool {
	return c.members().quorum(func(id uint64) uint64 {
		if counted(id) {
			return 1
		}
		return 0
	}) != 0
}

// handleVote answers a request for a vote or a pre-vote.
func (c *Core) handleVote(m Message) {
	pre := m.Kind == MessagePreVote
	reply := Message{Kind: MessageVoteReply, To: m.From, Reject: true}
	if pre {
		reply.Kind = MessagePreVoteReply
	}
	live := c.leaderIsLive() && !m.Force && !c.cfg.Without.PreVote
	// A replica without its former disk does not know what it voted for, and
	// a vote request must not raise the term of a group with a live leader.
	if live || c.recovering || c.installing != nil {
		c.send(reply)
		return
	}
	if pre {
		if m.Term > c.term && c.log.upToDate(m.Index, m.LogTerm) && !c.precedes(m) {
			reply.Reject, reply.Term = false, m.Term
			c.makeWay()
		}
		c.send(reply)
		return
	}
	if m.Term > c.term {
		c.become(m.Term, 0)
	}
	free := c.vote == 0 || c.vote == m.From
	if m.Term == c.term && free && c.log.upToDate(m.Index, m.LogTerm) {
		c.become(c.term, 0)
		c.setTerm(c.term, m.From)
		c.resetElection()
		reply.Reject = false
	}
	c.send(reply)
}

// precedes reports whether this replica collects pre-votes at the same time as
// another one with the same log, and goes first. Without an order both would win
// the pre-vote and split the votes.
func (c *Core) precedes(m Message) bool {
	return c.role == RoleCandidate && c.pre && c.now.Sub(c.began) < c.yield() &&
		m.Index == c.log.last() && m.LogTerm == c.log.lastTerm() && c.cfg.ID < m.From
}

// makeWay ends a pre-vote of this replica and puts off the next one, so that the
// replica that got its grant can win.
func (c *Core) makeWay() {
	if c.role == RoleCandidate && c.pre {
		c.become(c.term, 0)
		c.election = c.now
	}
	if wait := c.now.Add(c.yield()); c.election.Before(wait) {
		c.election = wait
	}
}

func (c *Core) yield() time.Duration { return c.cfg.Election / yieldPart }

func (c *Core) leaderIsLive() bool {
	if c.role == RoleLeader {
		return true
	}
	return c.leader != 0 && c.now.Sub(c.contact) < c.cfg.Election
}

func (c *Core) handleVoteReply(m Message) {
	pre := m.Kind == MessagePreVoteReply
	if m.Reject && m.Term > c.term {
		c.become(m.Term, 0)
		return
	}
	if m.Reject && !pre && c.role == RoleCandidate && !c.pre {
		c.countRefusal(m.From)
		return
	}
	want := c.term
	if pre {
		want++
	}
	if c.role != RoleCandidate || c.pre != pre || m.Reject || m.Term != want || m.Recovering {
		return
	}
	c.votes[m.From] = true
	c.countVotes()
}

// lead starts the term of this replica as leader.
func (c *Core) lead() {
	c.role, c.leader, c.votes = RoleLeader, c.cfg.ID, nil
	c.confirmed = c.now
	c.transfer, c.reads = 0, nil
	c.peers = map[uint64]*progress{}
	c.first = c.log.last() + 1
	c.syncPeers()
	c.appendLocal(Entry{Kind: EntryEmpty})
	c.beat()
}

// syncPeers keeps one progress for each other member.
func (c *Core) syncPeers() {
	for _, member := range c.members() {
		if member.ID != c.cfg.ID && c.peers[member.ID] == nil {
			c.peers[member.ID] = &progress{next: c.log.last() + 1, probing: true, heard: c.now}
		}
	}
	for id := range c.peers {
		if _, ok := c.members().Find(id); !ok {
			delete(c.peers, id)
		}
	}
}
