package raft

// flush emits one Persist for all changes of this step, followed by the messages
// that do not depend on a pending write.
func (c *Core) flush() {
	if len(c.unsaved) > 0 || c.hardDirty || c.recoveringDirty || c.installing != nil && c.installSeq == 0 {
		c.emitPersist()
	}
	for _, m := range c.stepSends {
		need := c.requiredSeq(m.Kind)
		if need > c.ackedSeq {
			c.heldMessages = append(c.heldMessages, heldMessage{need, m})
			continue
		}
		c.actions = append(c.actions, Send{m})
	}
	c.stepSends = nil
}

func (c *Core) emitPersist() {
	c.seq++
	p := Persist{Seq: c.seq, Entries: c.unsaved}
	if c.recoveringDirty {
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
	c.pendingPersists = append(c.pendingPersists, pendingPersist{c.seq, c.log.lastIndex()})
	c.unsaved, c.hardDirty, c.recoveringDirty = nil, false, false
	c.actions = append(c.actions, p)
}

// requiredSeq returns the sequence number of the Persist that a message has to
// wait for. The leader sends entries while its own disk writes them, because it
// counts itself only after the write. Acknowledgements wait for all writes,
// other messages for the term and the vote.
func (c *Core) requiredSeq(kind MessageKind) uint64 {
	switch kind {
	case MessageAppendReply, MessageSnapshotReply:
		return c.seq
	default:
		return c.hardSeq
	}
}

// handlePersisted processes the acknowledgement of all Persist actions up to seq.
func (c *Core) handlePersisted(seq uint64) {
	if seq <= c.ackedSeq {
		return
	}
	c.ackedSeq = seq
	for len(c.pendingPersists) > 0 && c.pendingPersists[0].seq <= seq {
		c.durableIndex = max(c.durableIndex, c.pendingPersists[0].last)
		c.pendingPersists = c.pendingPersists[1:]
	}
	kept := c.heldMessages[:0]
	for _, h := range c.heldMessages {
		if h.seq <= seq {
			c.actions = append(c.actions, Send{h.message})
			continue
		}
		kept = append(kept, h)
	}
	c.heldMessages = kept
	if c.installing != nil && c.installSeq != 0 && c.installSeq <= seq {
		c.finishInstall()
	}
	c.countVotes()
}

// advance commits the entries that a quorum has stored, and applies those that
// are both committed and stored on this replica.
func (c *Core) advance() {
	if c.role == RoleLeader {
		c.advanceCommit()
	}
	if c.installing != nil {
		return
	}
	if to := min(c.commit, c.durableIndex); to > c.applied {
		entries := c.log.slice(c.applied, to, maxApplyBytes)
		for len(entries) > 0 {
			c.actions = append(c.actions, Apply{entries})
			c.applied += uint64(len(entries))
			entries = c.log.slice(c.applied, to, maxApplyBytes)
		}
	}
	c.finishRecovery()
}

// maxApplyBytes limits the size of the entries in one Apply action.
const maxApplyBytes = 4 << 20

// finishRecovery ends the recovery from a lost disk once an entry that names the
// new data directory is committed and stored here. The group commits that entry
// without counting this replica. The entry follows everything that the lost
// directory may have acknowledged, and a candidate that holds a vote of the lost
// directory cannot win against the replicas that stored the entry.
func (c *Core) finishRecovery() {
	if !c.recovering {
		return
	}
	members, index := c.membersAt(min(c.commit, c.durableIndex))
	self, ok := members.Find(c.cfg.ID)
	if !ok || self.Incarnation != c.cfg.Incarnation || index > c.durableIndex {
		return
	}
	c.setRecovering(false)
}

// setRecovering changes the recovering flag. Messages that contain the new value
// wait for the Persist.
func (c *Core) setRecovering(recovering bool) {
	c.recovering, c.recoveringDirty, c.hardDirty = recovering, true, true
}

// checkFounder puts a founder that has never voted into recovery if m shows that
// the group has entries or a leader that the founder does not know of. Either
// its disk was lost while the setting to found a group was left on, or the
// others founded the group without it. A founder that took part has voted for
// the leader, or gets a vote request from a replica whose log is no longer than
// its own.
func (c *Core) checkFounder(m Message) {
	if !c.cfg.Founder || c.recovering || c.cfg.DisabledRules.DiskRecovery || c.cfg.DisabledRules.FounderCheck ||
		c.vote != 0 || c.log.lastIndex() != FoundingIndex {
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
		c.setRecovering(true)
		c.heldMessages = nil // created before the replica was recovering
	}
}

// membersAt returns the configuration in force at index and the index of its
// entry.
func (c *Core) membersAt(index uint64) (Members, uint64) {
	for i := len(c.memberships) - 1; i >= 0; i-- {
		if c.memberships[i].index <= index {
			return c.memberships[i].members, c.memberships[i].index
		}
	}
	return nil, 0
}

// compact switches to a snapshot that the owner has stored, and drops the log
// before it except for the entries that slow followers may still need, which have a
// limit in number and bytes.
func (c *Core) compact(s Snapshot) {
	if s.Index <= c.snapshot.Index || s.Index > c.applied {
		return
	}
	c.snapshot = s
	if first := c.log.firstKept(s.Index, c.cfg.TrailingEntries, c.cfg.TrailingBytes); first > 0 {
		c.compactLog(min(first-1, c.applied))
	}
}

func (c *Core) compactLog(index uint64) {
	c.log.compact(index)
	for len(c.memberships) > 1 && c.memberships[1].index <= index {
		c.memberships = c.memberships[1:]
	}
}

// SnapshotMetadata returns a snapshot of the applied state without its data,
// which the owner adds.
func (c *Core) SnapshotMetadata() Snapshot {
	term, _ := c.log.term(c.applied)
	members, _ := c.membersAt(c.applied)
	return Snapshot{Index: c.applied, Term: term, Members: members}
}
