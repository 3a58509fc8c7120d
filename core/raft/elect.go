package raft

import "time"

const (
	// retryDivisor sets the delay before a replica repeats a pre-vote that it did
	// not win or a vote that it cannot win, which is one to two times the election
	// timeout / retryDivisor. A round trip between regions and a sync take a tenth
	// of the election timeout.
	retryDivisor = 8
	// yieldDivisor sets the time for which a replica delays its own campaign after
	// it grants a pre-vote, and for which its own pre-vote has priority over others:
	// the election timeout / yieldDivisor. It is shorter than the interval between
	// two pre-votes, so that a replica which cannot win blocks the others only
	// part of the time.
	yieldDivisor = 10
)

// campaign requests votes from the other voters. With pre it asks whether they
// would vote for this replica, without raising the term. With force the voters
// ignore a live leader.
func (c *Core) campaign(pre, force bool) {
	c.becomeFollower(c.term, 0)
	c.role, c.preVote, c.force = RoleCandidate, pre, force
	c.resetElectionTimeout()
	if pre {
		// A pre-vote does not disrupt the group, so it is repeated soon. After a
		// power failure the first ones reach too few started replicas.
		c.scheduleRetry()
		c.preVoteStart = c.now
	}
	c.rejections, c.unwinnable = map[uint64]bool{}, false
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
		c.send(Message{Kind: kind, To: member.ID, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Force: force})
	}
}

func (c *Core) scheduleRetry() {
	minDelay := int64(c.cfg.ElectionTimeout) / retryDivisor
	c.electionDeadline = c.now.Add(time.Duration(minDelay + c.cfg.Rand.Int63n(minDelay)))
}

// recordRejection records a rejected vote request. If the remaining voters are
// no majority, for instance because candidates split the votes of the surviving
// replicas, the next campaign starts soon instead of after the full timeout.
func (c *Core) recordRejection(from uint64) {
	if c.votes[from] || c.rejections[from] {
		return
	}
	c.rejections[from] = true
	possible := c.hasMajority(func(id uint64) bool { return !c.rejections[id] })
	if !possible && !c.unwinnable {
		c.unwinnable = true
		c.scheduleRetry()
	}
}

// canCampaign reports whether the replica may start an election. A voter whose
// removal is not committed may, because it can be the only replica whose log is
// complete enough to win.
func (c *Core) canCampaign() bool {
	if c.recovering || c.installing != nil {
		return false
	}
	committed, _ := c.membersAt(c.commit)
	return c.members().isVoter(c.cfg.ID) || committed.isVoter(c.cfg.ID)
}

func (c *Core) countVotes() {
	if c.role != RoleCandidate {
		return
	}
	if !c.preVote && c.ackedSeq < c.voteSeq {
		return
	}
	switch {
	case !c.hasMajority(func(id uint64) bool { return c.votes[id] }):
	case c.preVote:
		c.campaign(false, false)
	default:
		c.becomeLeader()
	}
}

// hasMajority reports whether counted is true for a majority of the voters.
func (c *Core) hasMajority(counted func(id uint64) bool) bool {
	return c.members().quorumValue(func(id uint64) uint64 {
		if counted(id) {
			return 1
		}
		return 0
	}) != 0
}

// handleVote answers a vote or pre-vote request.
func (c *Core) handleVote(m Message) {
	pre := m.Kind == MessagePreVote
	reply := Message{Kind: MessageVoteReply, To: m.From, Reject: true}
	if pre {
		reply.Kind = MessagePreVoteReply
	}
	hasLeader := c.hasLiveLeader() && !m.Force && !c.cfg.DisabledRules.PreVote
	// A replica that lost its disk does not know how it voted, and a vote
	// request must not raise the term of a group with a live leader.
	if hasLeader || c.recovering || c.installing != nil {
		c.send(reply)
		return
	}
	if pre {
		if m.Term > c.term && c.log.upToDate(m.Index, m.LogTerm) && !c.hasPreVotePriority(m) {
			reply.Reject, reply.Term = false, m.Term
			c.yieldPreVote()
		}
		c.send(reply)
		return
	}
	if m.Term > c.term {
		c.becomeFollower(m.Term, 0)
	}
	voteFree := c.vote == 0 || c.vote == m.From
	if m.Term == c.term && voteFree && c.log.upToDate(m.Index, m.LogTerm) {
		c.becomeFollower(c.term, 0)
		c.setTerm(c.term, m.From)
		c.resetElectionTimeout()
		reply.Reject = false
	}
	c.send(reply)
}

// hasPreVotePriority reports whether this replica collects pre-votes at the same
// time as the sender of m, with the same last log entry and a lower ID. Without this
// order both would win the pre-vote and split the votes.
func (c *Core) hasPreVotePriority(m Message) bool {
	return c.role == RoleCandidate && c.preVote && c.now.Sub(c.preVoteStart) < c.yieldTimeout() &&
		m.Index == c.log.lastIndex() && m.LogTerm == c.log.lastTerm() && c.cfg.ID < m.From
}

// yieldPreVote cancels this replica's pre-vote and delays the next one, so that
// the replica whose pre-vote it granted can win.
func (c *Core) yieldPreVote() {
	if c.role == RoleCandidate && c.preVote {
		c.becomeFollower(c.term, 0)
		c.electionDeadline = c.now
	}
	if wait := c.now.Add(c.yieldTimeout()); c.electionDeadline.Before(wait) {
		c.electionDeadline = wait
	}
}

func (c *Core) yieldTimeout() time.Duration { return c.cfg.ElectionTimeout / yieldDivisor }

func (c *Core) hasLiveLeader() bool {
	if c.role == RoleLeader {
		return true
	}
	return c.leader != 0 && c.now.Sub(c.lastContact) < c.cfg.ElectionTimeout
}

func (c *Core) handleVoteReply(m Message) {
	pre := m.Kind == MessagePreVoteReply
	if m.Reject && m.Term > c.term {
		c.becomeFollower(m.Term, 0)
		return
	}
	if m.Reject && !pre && c.role == RoleCandidate && !c.preVote {
		c.recordRejection(m.From)
		return
	}
	wantTerm := c.term
	if pre {
		wantTerm++
	}
	if c.role != RoleCandidate || c.preVote != pre || m.Reject || m.Term != wantTerm || m.Recovering {
		return
	}
	c.votes[m.From] = true
	c.countVotes()
}

// becomeLeader makes the replica the leader of the current term.
func (c *Core) becomeLeader() {
	c.role, c.leader, c.votes = RoleLeader, c.cfg.ID, nil
	c.confirmed = c.now
	c.transferee, c.pendingReads = 0, nil
	c.peers = map[uint64]*progress{}
	c.termStartIndex = c.log.lastIndex() + 1
	c.syncPeers()
	c.appendLocal(Entry{Kind: EntryEmpty})
	c.broadcastHeartbeat()
}

// syncPeers adds and removes progress records to match the other members.
func (c *Core) syncPeers() {
	for _, member := range c.members() {
		if member.ID != c.cfg.ID && c.peers[member.ID] == nil {
			c.peers[member.ID] = &progress{next: c.log.lastIndex() + 1, probing: true, lastReply: c.now}
		}
	}
	for id := range c.peers {
		if _, ok := c.members().Find(id); !ok {
			delete(c.peers, id)
		}
	}
}
