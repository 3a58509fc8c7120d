package raft

// flush emits one Persist for all that changed in this step, then the messages
// that depend on nothing that is still being written.
func (c *Core) flush() {
	if len(c.unsaved) > 0 || c.hardDirty || c.marked || c.installing != nil && c.installSeq == 0 {
		c.emitPersist()
	}
	for _, m := range c.stepSends {
		need := c.needed(m.Kind)
		if need > c.acked {
			c.held = append(c.held, held{need, m})
			continue
		}
		c.out = append(c.out, Send{m})
	}
	c.stepSends = nil
}

func (c *Core) emitPersist() {
	c.seq++
	p := Persist{Seq: c.seq, Entries: c.unsaved}
	if c.marked {
		recovering := c.recovering
		p.Recovering = &recovering
	}
	if c.installing != nil && c.installSeq == 0 {
		p.Snapshot = c.installing
		c.installSeq = c.seq
	}
	if c.hardDirty {
		c.hardSeq = c.seq
	}
	p.Hard = &HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
	c.pending = append(c.pending, persist{c.seq, c.log.last()})
	c.unsaved, c.hardDirty, c.marked = nil, false, false
	c.out = append(c.out, p)
}

// needed returns the Persist that a message must wait for. Entries leave the
// leader while its own disk writes them, because its own acknowledgement
// counts only after the write. Acknowledgements wait for everything, other
// messages for the term and the vote.
func (c *Core) needed(kind MessageKind) uint64 {
	switch kind {
	case MessageAppendReply, MessageSnapshotReply:
		return c.seq
	default:
		return c.hardSeq
	}
}

// persisted takes the acknowledgement of all Persist actions up to seq.
func (c *Core) persisted(seq uint64) {
	if seq <= c.acked {
		return
	}
	c.acked = seq
	for len(c.pending) > 0 && c.pending[0].seq <= seq {
		c.durable = max(c.durable, c.pending[0].last)
		c.pending = c.pending[1:]
	}
	kept := c.held[:0]
	for _, h := range c.held {
		if h.seq <= seq {
			c.out = append(c.out, Send{h.message})
			continue
		}
		kept = append(kept, h)
	}
	c.held = kept
	if c.installing != nil && c.installSeq != 0 && c.installSeq <= seq {
		c.finishInstall()
	}
	c.countVotes()
}

// advance commits what a quorum has stored and applies what is committed and
// stored here.
func (c *Core) advance() {
	if c.role == RoleLeader {
		c.advanceCommit()
	}
	if c.installing != nil {
		return
	}
	if to := min(c.commit, c.durable); to > c.applied {
		entries := c.log.slice(c.applied, to, maxApply)
		for len(entries) > 0 {
			c.out = append(c.out, Apply{entries})
			c.applied += uint64(len(entries))
			entries = c.log.slice(c.applied, to, maxApply)
		}
	}
	c.checkRecovered()
}

// maxApply bounds the bytes in one Apply action.
const maxApply = 4 << 20

// checkRecovered ends the recovery of a lost disk. The group has then
// committed, without counting this replica, an entry that names the new data
// folder. That entry follows everything that the lost folder may have
// acknowledged, no candidate that collected a vote of the lost folder can win
// against the replicas that stored it, and it is stored here as well.
func (c *Core) checkRecovered() {
	if !c.recovering {
		return
	}
	members, index := c.membersAt(min(c.commit, c.durable))
	self, ok := members.Find(c.cfg.ID)
	if !ok || self.Incarnation != c.cfg.Incarnation || index > c.durable {
		return
	}
	c.mark(false)
}

// mark changes whether the replica is recovering. Messages that tell it wait
// for the Persist.
func (c *Core) mark(recovering bool) {
	c.recovering, c.marked, c.hardDirty = recovering, true, true
}

// doubt makes a founder recover if the group has a history that the founder
// does not know of, although it never voted: its disk was lost and the setting
// to found a group was left on, or the others founded the group without it. A
// founder that did take part has voted for the leader or is asked for its vote
// by a replica that knows no more than itself.
func (c *Core) doubt(m Message) {
	if !c.cfg.Founder || c.recovering || c.cfg.Without.Recovery || c.cfg.Without.Doubt ||
		c.vote != 0 || c.log.last() != FoundingIndex {
		return
	}
	history := false
	switch m.Kind {
	case MessagePreVote, MessageVote:
		history = m.Index > FoundingIndex
	case MessageAppend, MessageHeartbeat, MessageSnapshot, MessageElect:
		history = m.Term >= c.term
	}
	if history {
		c.mark(true)
		c.held = nil // written as a founder
	}
}

// membersAt returns the configuration at index and the index of its entry.
func (c *Core) membersAt(index uint64) (Members, uint64) {
	for i := len(c.configs) - 1; i >= 0; i-- {
		if c.configs[i].index <= index {
			return c.configs[i].members, c.configs[i].index
		}
	}
	return nil, 0
}

// compact takes a snapshot that the owner has stored, and drops the log before
// it except for the entries that slow followers may still need.
func (c *Core) compact(s Snapshot) {
	if s.Index <= c.snapshot.Index || s.Index > c.applied {
		return
	}
	c.snapshot = s
	if s.Index > c.cfg.Trailing {
		c.dropBefore(min(s.Index-c.cfg.Trailing, c.applied))
	}
}

func (c *Core) dropBefore(index uint64) {
	c.log.compact(index)
	for len(c.configs) > 1 && c.configs[1].index <= index {
		c.configs = c.configs[1:]
	}
}

// Describe returns the snapshot of the applied state without its data, for the
// owner to fill in.
func (c *Core) Describe() Snapshot {
	term, _ := c.log.term(c.applied)
	members, _ := c.membersAt(c.applied)
	return Snapshot{Index: c.applied, Term: term, Members: members}
}
