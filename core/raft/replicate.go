package raft

// appendLocal appends an entry to the log of the leader.
func (c *Core) appendLocal(entry Entry) {
	entry.Index, entry.Term = c.log.last()+1, c.term
	if err := c.append(entry); err != nil {
		panic(err) // the leader encoded the entry itself
	}
}

func (c *Core) propose(commands [][]byte) {
	if c.role != RoleLeader || c.transfer != 0 {
		c.out = append(c.out, Refused{Leader: c.otherLeader()})
		return
	}
	index := c.log.last() + 1
	for _, command := range commands {
		c.appendLocal(Entry{Kind: EntryCommand, Data: command})
	}
	c.out = append(c.out, Accepted{Index: index, Term: c.term, Count: len(commands)})
	c.replicate()
}

// otherLeader returns where to send what this replica refuses.
func (c *Core) otherLeader() uint64 {
	if c.leader == c.cfg.ID {
		return c.transfer
	}
	return c.leader
}

func (c *Core) tickLeader() {
	if !c.cfg.Without.CheckQuorum && c.now.Sub(c.confirmed) >= c.cfg.Election {
		c.become(c.term, 0)
		return
	}
	if c.transfer != 0 && !c.now.Before(c.deadline) {
		c.transfer = 0
	}
	if !c.now.Before(c.heartbeat) {
		c.beat()
	}
}

// beat sends heartbeats and retries what was lost.
func (c *Core) beat() {
	c.heartbeat = c.now.Add(c.cfg.Heartbeat)
	c.startRound()
	for _, member := range c.members() {
		p := c.peers[member.ID]
		if p == nil {
			continue
		}
		p.paused = false
		if !p.probing && len(p.flights) > 0 && c.now.Sub(p.acked) >= retryAfter*c.cfg.Heartbeat {
			p.probe(p.match + 1)
		}
	}
	c.replicate()
	c.confirm()
}

// retryAfter is the number of heartbeats without progress after which unacknowledged
// entries are sent again; it covers a sync of 100 ms and a round trip of 20 ms twice.
const retryAfter = 3

// startRound sends a heartbeat with a new round to every other member.
func (c *Core) startRound() {
	c.round++
	for _, member := range c.members() {
		if p := c.peers[member.ID]; p != nil {
			c.send(Message{Kind: MessageHeartbeat, To: member.ID, Round: c.round, Commit: min(c.commit, p.match)})
		}
	}
}

// replicate sends to every follower what its window allows.
func (c *Core) replicate() {
	for _, member := range c.members() {
		if p := c.peers[member.ID]; p != nil {
			c.replicateTo(member.ID, p)
		}
	}
}

func (c *Core) replicateTo(id uint64, p *progress) {
	for {
		if p.paused || p.bytes >= c.cfg.MaxInflight {
			return
		}
		term, ok := c.log.term(p.next - 1)
		if !ok || p.sending != 0 {
			c.sendPart(id, p)
			return
		}
		entries := c.log.slice(p.next-1, c.log.last(), c.cfg.MaxMessage)
		if len(entries) == 0 && !p.probing {
			return
		}
		if p.probing {
			entries = nil // find the point of agreement before sending data
			p.paused = true
		}
		c.send(Message{
			Kind: MessageAppend, To: id, Round: c.round,
			Index: p.next - 1, LogTerm: term, Entries: entries, Commit: c.commit,
		})
		if p.probing {
			return
		}
		c.launch(p, entries)
	}
}

func (c *Core) launch(p *progress, entries []Entry) {
	size := 0
	for _, entry := range entries {
		size += entry.size()
	}
	if len(p.flights) == 0 {
		p.acked = c.now
	}
	p.next += uint64(len(entries))
	p.flights = append(p.flights, flight{p.next - 1, size})
	p.bytes += size
}

// handleReply takes an answer to a message of the leader.
func (c *Core) handleReply(m Message) {
	if m.Term > c.term {
		c.become(m.Term, 0)
		return
	}
	p := c.peers[m.From]
	if c.role != RoleLeader || m.Term < c.term || p == nil || !c.identify(p, m) {
		return
	}
	p.heard = c.now
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
	c.confirm()
	c.admit(m, p)
	if c.role == RoleLeader {
		c.replicateTo(m.From, p)
		c.continueTransfer()
	}
}

// identify notices that a replica answers from another data folder than before,
// and forgets what the former one had acknowledged. A reply that echoes an
// older round may be a late one of the former folder.
func (c *Core) identify(p *progress, m Message) bool {
	if p.incarnation != m.Incarnation {
		if m.Round < p.round {
			return false
		}
		if p.incarnation != 0 {
			p.match = 0
			p.probe(c.log.last() + 1)
		}
		p.incarnation = m.Incarnation
	}
	p.recovering = m.Recovering
	return true
}

func (c *Core) handleAppendReply(p *progress, m Message) {
	if m.Reject {
		if m.Index >= p.next || m.Index <= p.match && m.Index != p.next-1 {
			return // answers an older message
		}
		p.probe(max(1, min(m.Index, m.Hint+1)))
		return
	}
	if m.Index > c.log.last() {
		return
	}
	if m.Index > p.match {
		p.match, p.acked = m.Index, c.now
	}
	p.acknowledge(m.Index)
	if p.sending != 0 && p.match >= p.sending {
		p.probe(p.match + 1)
	}
	if p.probing && m.Index+1 >= p.next {
		p.probing, p.paused = false, false
		p.next = p.match + 1
	}
	p.next = max(p.next, p.match+1)
}

// counted tells whether a member's replies count towards a quorum.
func (c *Core) counted(p *progress) bool { return p != nil && !p.recovering }

func (c *Core) advanceCommit() {
	index := c.members().quorum(func(id uint64) uint64 {
		if id == c.cfg.ID {
			return c.durable
		}
		if p := c.peers[id]; c.counted(p) {
			return p.match
		}
		return 0
	})
	if index <= c.commit {
		return
	}
	// Entries of earlier terms are committed only together with one of this
	// term, because a later leader could otherwise replace them.
	if term, _ := c.log.term(index); term != c.term {
		return
	}
	c.commit = index
	if _, ok := c.members().Find(c.cfg.ID); !ok && c.membersIndex() <= c.commit {
		c.beatCommit()
		c.become(c.term, 0)
		return
	}
	c.releaseReads()
	c.beatCommit()
}

// beatCommit tells the followers the commit index without waiting for the next
// heartbeat, so that they apply at the pace of the leader.
func (c *Core) beatCommit() {
	for _, member := range c.members() {
		if p := c.peers[member.ID]; p != nil && p.match > 0 {
			c.send(Message{Kind: MessageHeartbeat, To: member.ID, Round: c.round, Commit: min(c.commit, p.match)})
		}
	}
}

// confirm notes when a quorum last answered, and releases reads.
func (c *Core) confirm() {
	if c.role != RoleLeader {
		return
	}
	heard := c.members().quorum(func(id uint64) uint64 {
		if id == c.cfg.ID {
			return uint64(c.now.UnixNano())
		}
		if p := c.peers[id]; c.counted(p) {
			return uint64(p.heard.UnixNano())
		}
		return 0
	})
	if ago := c.now.UnixNano() - int64(heard); heard != 0 && ago < c.now.Sub(c.confirmed).Nanoseconds() {
		c.confirmed = c.now.Add(-timeOf(ago))
	}
	c.releaseReads()
}
