package raft

import "time"

// appendLocal appends an entry to the leader's own log.
func (c *Core) appendLocal(entry Entry) {
	entry.Index, entry.Term = c.log.lastIndex()+1, c.term
	if err := c.append(entry); err != nil {
		panic(err) // the entry was encoded by this replica
	}
}

func (c *Core) propose(commands [][]byte) {
	if c.role != RoleLeader || c.transferee != 0 {
		c.actions = append(c.actions, Refused{Leader: c.leaderHint()})
		return
	}
	index := c.log.lastIndex() + 1
	for _, command := range commands {
		c.appendLocal(Entry{Kind: EntryCommand, Data: command})
	}
	c.actions = append(c.actions, Accepted{Index: index, Term: c.term, Count: len(commands)})
	c.replicate()
}

// leaderHint returns the replica to which refused requests should go, zero if
// unknown.
func (c *Core) leaderHint() uint64 {
	if c.leader == c.cfg.ID {
		return c.transferee
	}
	return c.leader
}

func (c *Core) tickLeader() {
	if !c.cfg.DisabledRules.CheckQuorum && c.now.Sub(c.confirmed) >= c.cfg.ElectionTimeout {
		c.becomeFollower(c.term, 0)
		return
	}
	if c.transferee != 0 && !c.now.Before(c.transferDeadline) {
		c.transferee = 0
	}
	if !c.now.Before(c.nextHeartbeat) {
		c.broadcastHeartbeat()
	}
}

// broadcastHeartbeat starts a new heartbeat round and resends lost messages.
func (c *Core) broadcastHeartbeat() {
	c.nextHeartbeat = c.now.Add(c.cfg.HeartbeatInterval)
	c.startRound()
	for _, member := range c.members() {
		p := c.peers[member.ID]
		if p == nil {
			continue
		}
		p.paused = false
		if !p.probing && len(p.inflight) > 0 && c.now.Sub(p.lastProgress) >= retryAfterHeartbeats*c.cfg.HeartbeatInterval {
			p.probe(p.match + 1)
		}
	}
	c.replicate()
	c.confirmQuorum()
}

// retryAfterHeartbeats is the number of heartbeat intervals without progress
// after which unacknowledged entries are sent again. At the default interval this
// covers two syncs of 100 ms and two round trips of 20 ms.
const retryAfterHeartbeats = 3

// startRound sends a heartbeat with a new round to every other member.
func (c *Core) startRound() {
	c.round++
	for _, member := range c.members() {
		if p := c.peers[member.ID]; p != nil {
			c.send(Message{Kind: MessageHeartbeat, To: member.ID, Round: c.round, Commit: min(c.commit, p.match)})
		}
	}
}

// replicate sends entries to every other member as far as its window allows.
func (c *Core) replicate() {
	for _, member := range c.members() {
		if p := c.peers[member.ID]; p != nil {
			c.replicateTo(member.ID, p)
		}
	}
}

func (c *Core) replicateTo(id uint64, p *progress) {
	for {
		if p.paused || p.inflightBytes >= c.cfg.MaxInflightBytes {
			return
		}
		term, ok := c.log.term(p.next - 1)
		if !ok || p.snapshotIndex != 0 {
			c.sendSnapshot(id, p)
			return
		}
		entries := c.log.slice(p.next-1, c.log.lastIndex(), c.cfg.MaxMessageBytes)
		if len(entries) == 0 && !p.probing {
			return
		}
		if p.probing {
			entries = nil // find the last matching index before sending data
			p.paused = true
		}
		c.send(Message{
			Kind: MessageAppend, To: id, Round: c.round,
			Index: p.next - 1, LogTerm: term, Entries: entries, Commit: c.commit,
		})
		if p.probing {
			return
		}
		c.trackInflight(p, entries)
	}
}

func (c *Core) trackInflight(p *progress, entries []Entry) {
	size := 0
	for _, entry := range entries {
		size += entry.size()
	}
	if len(p.inflight) == 0 {
		p.lastProgress = c.now
	}
	p.next += uint64(len(entries))
	p.inflight = append(p.inflight, inflightAppend{p.next - 1, size})
	p.inflightBytes += size
}

// handleReply processes a reply to a message of the leader.
func (c *Core) handleReply(m Message) {
	if m.Term > c.term {
		c.becomeFollower(m.Term, 0)
		return
	}
	p := c.peers[m.From]
	if c.role != RoleLeader || m.Term < c.term || p == nil || !c.checkIncarnation(p, m) {
		return
	}
	p.lastReply = c.now
	p.round = max(p.round, m.Round)
	switch m.Kind {
	case MessageAppendReply:
		c.handleAppendReply(p, m)
	case MessageSnapshotReply:
		c.handleSnapshotReply(p, m)
	case MessageHeartbeatReply:
		if m.Hint < p.match && !p.probing {
			p.probe(p.match + 1) // the follower restarted and must check its log again
		}
	}
	if c.peers[m.From] != p {
		return
	}
	c.confirmQuorum()
	c.updateMember(m, p)
	if c.role == RoleLeader {
		c.replicateTo(m.From, p)
		c.continueTransfer()
	}
}

// checkIncarnation resets the progress of a replica that replies from a new data
// directory. It reports false for a reply with another incarnation and an older
// round, which may be a late reply from the former data directory.
func (c *Core) checkIncarnation(p *progress, m Message) bool {
	if p.incarnation != m.Incarnation {
		if m.Round < p.round {
			return false
		}
		if p.incarnation != 0 {
			p.match = 0
			p.probe(c.log.lastIndex() + 1)
		}
		p.incarnation = m.Incarnation
	}
	p.recovering = m.Recovering
	return true
}

func (c *Core) handleAppendReply(p *progress, m Message) {
	if m.Reject {
		if m.Index >= p.next || m.Index <= p.match && m.Index != p.next-1 {
			return // reply to an older message
		}
		p.probe(max(1, min(m.Index, m.Hint+1)))
		return
	}
	if m.Index > c.log.lastIndex() {
		return
	}
	if m.Index > p.match {
		p.match, p.lastProgress = m.Index, c.now
	}
	p.acknowledge(m.Index)
	if p.snapshotIndex != 0 && p.match >= p.snapshotIndex {
		p.probe(p.match + 1)
	}
	if p.probing && m.Index+1 >= p.next {
		p.probing, p.paused = false, false
		p.next = p.match + 1
	}
	p.next = max(p.next, p.match+1)
}

// countsForQuorum reports whether a member's replies count towards a quorum.
func (c *Core) countsForQuorum(p *progress) bool { return p != nil && !p.recovering }

func (c *Core) advanceCommit() {
	index := c.members().quorumValue(func(id uint64) uint64 {
		if id == c.cfg.ID {
			return c.durableIndex
		}
		if p := c.peers[id]; c.countsForQuorum(p) {
			return p.match
		}
		return 0
	})
	if index <= c.commit {
		return
	}
	// Entries of earlier terms are committed only together with one of this
	// term. Otherwise a later leader could replace them.
	if term, _ := c.log.term(index); term != c.term {
		return
	}
	c.commit = index
	if _, ok := c.members().Find(c.cfg.ID); !ok && c.membersIndex() <= c.commit {
		c.broadcastCommit()
		c.becomeFollower(c.term, 0)
		return
	}
	c.releaseReads()
	c.broadcastCommit()
}

// broadcastCommit sends the commit index to the other members without waiting
// for the next heartbeat, so that they apply entries as soon as the leader does.
func (c *Core) broadcastCommit() {
	for _, member := range c.members() {
		if p := c.peers[member.ID]; p != nil && p.match > 0 {
			c.send(Message{Kind: MessageHeartbeat, To: member.ID, Round: c.round, Commit: min(c.commit, p.match)})
		}
	}
}

// confirmQuorum records when a quorum last replied, and releases reads.
func (c *Core) confirmQuorum() {
	if c.role != RoleLeader {
		return
	}
	quorumReply := c.members().quorumValue(func(id uint64) uint64 {
		if id == c.cfg.ID {
			return c.sinceStart(c.now)
		}
		if p := c.peers[id]; c.countsForQuorum(p) {
			return c.sinceStart(p.lastReply)
		}
		return 0
	})
	age := toDuration(int64(c.sinceStart(c.now) - quorumReply))
	if quorumReply != 0 && age < c.now.Sub(c.confirmed) {
		c.confirmed = c.now.Add(-age)
	}
	c.releaseReads()
}

// sinceStart returns the nanoseconds from the start of the core to a time, at least 1.
// It does not follow steps of the time of day.
func (c *Core) sinceStart(t time.Time) uint64 { return uint64(max(1, t.Sub(c.started))) }
