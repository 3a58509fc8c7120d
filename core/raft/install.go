package raft

// assembly collects the parts of a snapshot.
type assembly struct {
	from    uint64
	term    uint64 // of the leader that sends it
	index   uint64
	logTerm uint64
	total   uint64
	data    []byte
}

// sendPart sends the next part of the snapshot, one at a time.
func (c *Core) sendPart(id uint64, p *progress) {
	if p.sending != c.snapshot.Index {
		p.sending, p.offset = c.snapshot.Index, 0
	}
	p.probing, p.paused = true, true
	p.flights, p.bytes = nil, 0
	data := c.snapshot.Data
	end := min(uint64(len(data)), p.offset+uint64(c.cfg.MaxMessage))
	c.send(Message{
		Kind: MessageSnapshot, To: id, Round: c.round,
		Index: c.snapshot.Index, LogTerm: c.snapshot.Term, Members: c.snapshot.Members,
		Offset: p.offset, Total: uint64(len(data)), Part: data[p.offset:end],
	})
}

func (c *Core) handleSnapshotReply(p *progress, m Message) {
	if p.sending == 0 || m.Index != p.sending {
		return
	}
	if m.Offset > uint64(len(c.snapshot.Data)) || c.snapshot.Index != p.sending {
		p.probe(p.next) // the snapshot has been replaced by a newer one
		return
	}
	if m.Offset != p.offset {
		p.offset, p.paused = m.Offset, false
	}
}

// handleSnapshot takes a part. The last part is answered like an append, once
// the snapshot is stored.
func (c *Core) handleSnapshot(m Message) {
	if c.installing != nil {
		return
	}
	if m.Index <= c.commit {
		c.incoming = nil
		c.send(Message{Kind: MessageAppendReply, To: m.From, Round: m.Round, Index: c.commit})
		return
	}
	a := c.incoming
	if a == nil || a.from != m.From || a.term != m.Term || a.index != m.Index || a.total != m.Total {
		a = &assembly{from: m.From, term: m.Term, index: m.Index, logTerm: m.LogTerm, total: m.Total}
		c.incoming = a
	}
	if m.Offset == uint64(len(a.data)) {
		a.data = append(a.data, m.Part...)
	}
	if uint64(len(a.data)) < a.total {
		c.send(Message{Kind: MessageSnapshotReply, To: m.From, Round: m.Round, Index: m.Index, Offset: uint64(len(a.data)), Total: a.total})
		return
	}
	c.incoming = nil
	c.install(Snapshot{Index: m.Index, Term: m.LogTerm, Members: m.Members, Data: a.data})
	c.send(Message{Kind: MessageAppendReply, To: m.From, Round: m.Round, Index: m.Index})
}

func (c *Core) install(s Snapshot) {
	if term, ok := c.log.term(s.Index); ok && term == s.Term && s.Index <= c.durable {
		c.matched = max(c.matched, s.Index) // the log already holds what the snapshot replaces
		c.commitTo(s.Index)
		return
	}
	c.log.reset(s.Index, s.Term)
	c.configs = []placed{{s.Index, s.Members}}
	c.unsaved = nil
	c.durable = 0
	for i := range c.pending {
		c.pending[i].last = 0
	}
	c.commit, c.matched, c.confirmed = s.Index, s.Index, c.now
	c.snapshot = s
	c.installing, c.installSeq = &s, 0
}

// finishInstall passes a stored snapshot to the machine.
func (c *Core) finishInstall() {
	c.out = append(c.out, Restore{*c.installing})
	c.applied = c.installing.Index
	c.installing, c.installSeq = nil, 0
}
