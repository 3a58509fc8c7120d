package raft

// snapshotAssembly holds the parts of a snapshot received so far.
type snapshotAssembly struct {
	from    uint64
	term    uint64 // term of the leader that sends the snapshot
	index   uint64
	logTerm uint64
	total   uint64
	data    []byte
}

// sendSnapshot sends the next parts of the snapshot, as far as the window of the
// follower allows. After a time without progress it sends one part at a time from the
// last acknowledged one on, because parts may have been lost or the follower is busy
// storing the snapshot.
func (c *Core) sendSnapshot(id uint64, p *progress) {
	if p.snapshotIndex != c.snapshot.Index {
		p.startSnapshot(c.snapshot.Index, c.now)
	}
	p.probing, p.paused = true, true
	p.inflight, p.inflightBytes = nil, 0
	window := uint64(c.cfg.MaxInflightBytes)
	if c.now.Sub(p.lastProgress) >= retryAfterHeartbeats*c.cfg.HeartbeatInterval {
		p.snapshotSent, p.snapshotStarted, window = p.snapshotOffset, false, 1
	}
	total := uint64(len(c.snapshot.Data))
	for !p.snapshotStarted || p.snapshotSent < total && p.snapshotSent-p.snapshotOffset < window {
		end := min(total, p.snapshotSent+uint64(c.cfg.MaxMessageBytes))
		c.send(Message{
			Kind: MessageSnapshot, To: id, Round: c.round,
			Index: c.snapshot.Index, LogTerm: c.snapshot.Term, Members: c.snapshot.Members,
			Offset: p.snapshotSent, Total: total, Part: c.snapshot.Data[p.snapshotSent:end],
		})
		p.snapshotSent, p.snapshotStarted = end, true
	}
}

func (c *Core) handleSnapshotReply(p *progress, m Message) {
	if p.snapshotIndex == 0 || m.Index != p.snapshotIndex {
		return
	}
	if m.Offset > uint64(len(c.snapshot.Data)) || c.snapshot.Index != p.snapshotIndex {
		p.probe(p.next) // the snapshot has been replaced by a newer one
		return
	}
	switch {
	case m.Offset > p.snapshotOffset:
		p.snapshotSent = max(p.snapshotSent, m.Offset)
	case m.Offset < p.snapshotOffset:
		p.snapshotSent = m.Offset // the follower has lost the parts that it had
	default:
		return
	}
	p.snapshotOffset, p.paused, p.lastProgress = m.Offset, false, c.now
}

// handleSnapshot processes one part of a snapshot. The last part is answered
// with an append reply once the snapshot is stored.
func (c *Core) handleSnapshot(m Message) {
	if c.installing != nil {
		return
	}
	if m.Index <= c.commit {
		c.incomingSnapshot = nil
		c.send(Message{Kind: MessageAppendReply, To: m.From, Round: m.Round, Index: c.commit})
		return
	}
	a := c.incomingSnapshot
	if a == nil || a.from != m.From || a.term != m.Term || a.index != m.Index || a.total != m.Total {
		a = &snapshotAssembly{from: m.From, term: m.Term, index: m.Index, logTerm: m.LogTerm, total: m.Total}
		c.incomingSnapshot = a
	}
	if m.Offset == uint64(len(a.data)) {
		a.data = append(a.data, m.Part...)
	}
	if uint64(len(a.data)) < a.total {
		c.send(Message{Kind: MessageSnapshotReply, To: m.From, Round: m.Round, Index: m.Index, Offset: uint64(len(a.data)), Total: a.total})
		return
	}
	c.incomingSnapshot = nil
	c.installSnapshot(Snapshot{Index: m.Index, Term: m.LogTerm, Members: m.Members, Data: a.data})
	c.send(Message{Kind: MessageAppendReply, To: m.From, Round: m.Round, Index: m.Index})
}

func (c *Core) installSnapshot(s Snapshot) {
	if term, ok := c.log.term(s.Index); ok && term == s.Term && s.Index <= c.durableIndex {
		c.matchIndex = max(c.matchIndex, s.Index) // the stored log already contains the entries that the snapshot replaces
		c.commitTo(s.Index)
		return
	}
	c.log.reset(s.Index, s.Term)
	c.memberships = []indexedMembers{{s.Index, s.Members}}
	c.unsaved = nil
	c.durableIndex = 0
	for i := range c.pendingPersists {
		c.pendingPersists[i].last = 0
	}
	c.commit, c.matchIndex, c.confirmed = s.Index, s.Index, c.now
	c.snapshot = s
	c.installing, c.installSeq = &s, 0
}

// finishInstall passes a stored snapshot to the state machine.
func (c *Core) finishInstall() {
	c.actions = append(c.actions, Restore{*c.installing})
	c.applied = c.installing.Index
	c.installing, c.installSeq = nil, 0
}
