package raft

func (c *Core) receive(m Message) {
	if m.To != c.cfg.ID {
		return
	}
	c.checkFounder(m)
	switch m.Kind {
	case MessagePreVote, MessageVote:
		c.handleVote(m)
	case MessagePreVoteReply, MessageVoteReply:
		c.handleVoteReply(m)
	case MessageAppend, MessageHeartbeat, MessageSnapshot, MessageElect:
		c.handleLeaderMessage(m)
	default:
		c.handleReply(m)
	}
}

// handleLeaderMessage processes a message that only a leader sends.
func (c *Core) handleLeaderMessage(m Message) {
	if m.Term < c.term {
		// The sender has been deposed, or this replica has a term that no
		// leader knows of. In both cases the sender has to learn the term.
		c.send(Message{Kind: MessageHeartbeatReply, To: m.From, Reject: true})
		return
	}
	if m.Term > c.term || c.role != RoleFollower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.lastContact = c.now
	c.resetElectionTimeout()
	switch m.Kind {
	case MessageAppend:
		c.handleAppend(m)
	case MessageSnapshot:
		c.handleSnapshot(m)
	case MessageElect:
		if c.canCampaign() {
			c.campaign(false, true)
		}
	case MessageHeartbeat:
		c.commitTo(m.Commit)
		c.send(Message{Kind: MessageHeartbeatReply, To: m.From, Round: m.Round, Hint: c.matchIndex})
	}
}

// commitTo advances the commit index to the leader's, but only as far as the log
// is known to match the leader's. An acknowledgement that the leader has is not
// enough, because the disk may have been lost since.
func (c *Core) commitTo(index uint64) {
	c.commit = max(c.commit, min(index, c.matchIndex))
	c.confirmed = c.now
}

func (c *Core) handleAppend(m Message) {
	reply := Message{Kind: MessageAppendReply, To: m.From, Round: m.Round}
	if c.installing != nil {
		return
	}
	entries, index, term := m.Entries, m.Index, m.LogTerm
	// Entries up to the commit index match the leader's.
	if index < c.commit {
		skip := min(c.commit-index, uint64(len(entries)))
		if skip > 0 {
			term = entries[skip-1].Term
		}
		entries, index = entries[skip:], index+skip
		if index < c.commit {
			c.matchIndex = max(c.matchIndex, c.commit)
			reply.Index = index
			c.send(reply)
			return
		}
	}
	if own, ok := c.log.term(index); !ok || own != term {
		reply.Reject, reply.Index, reply.Hint = true, m.Index, c.conflictHint(index)
		c.send(reply)
		return
	}
	for i, entry := range entries {
		own, ok := c.log.term(entry.Index)
		if ok && own == entry.Term {
			continue
		}
		if ok {
			c.truncate(entry.Index)
		}
		for _, e := range entries[i:] {
			if c.append(e) != nil {
				return // not reached, because Decode validated the entries
			}
		}
		break
	}
	last := index + uint64(len(entries))
	c.matchIndex = max(c.matchIndex, last)
	c.commitTo(m.Commit)
	reply.Index = last
	c.send(reply)
}

// conflictHint returns the last index at which the logs may match. It skips all
// entries of the term that conflicts at index.
func (c *Core) conflictHint(index uint64) uint64 {
	if index > c.log.lastIndex() {
		return c.log.lastIndex()
	}
	conflict, ok := c.log.term(index)
	if !ok {
		return c.commit
	}
	for index > c.commit {
		index--
		if term, ok := c.log.term(index); !ok || term != conflict {
			break
		}
	}
	return index
}
