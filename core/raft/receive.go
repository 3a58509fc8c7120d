package raft

func (c *Core) receive(m Message) {
	if m.To != c.cfg.ID {
		return
	}
	c.doubt(m)
	switch m.Kind {
	case MessagePreVote, MessageVote:
		c.handleVote(m)
	case MessagePreVoteReply, MessageVoteReply:
		c.handleVoteReply(m)
	case MessageAppend, MessageHeartbeat, MessageSnapshot, MessageElect:
		c.handleLeader(m)
	default:
		c.handleReply(m)
	}
}

// handleLeader takes a message that only a leader sends.
func (c *Core) handleLeader(m Message) {
	if m.Term < c.term {
		// The sender has been deposed, or this replica has a term that no
		// leader knows of. Either way the sender has to learn the term.
		c.send(Message{Kind: MessageHeartbeatReply, To: m.From, Reject: true})
		return
	}
	if m.Term > c.term || c.role != RoleFollower || c.leader != m.From {
		c.become(m.Term, m.From)
	}
	c.contact = c.now
	c.resetElection()
	switch m.Kind {
	case MessageAppend:
		c.handleAppend(m)
	case MessageSnapshot:
		c.handleSnapshot(m)
	case MessageElect:
		if c.electable() {
			c.campaign(false, true)
		}
	case MessageHeartbeat:
		c.commitTo(m.Commit)
		c.send(Message{Kind: MessageHeartbeatReply, To: m.From, Round: m.Round, Hint: c.matched})
	}
}

// commitTo takes the leader's commit index as far as the log is known to agree
// with the leader's. What the leader believes to be acknowledged is no proof,
// because the disk may have been lost since.
func (c *Core) commitTo(index uint64) {
	c.commit = max(c.commit, min(index, c.matched))
	c.confirmed = c.now
}

func (c *Core) handleAppend(m Message) {
	reply := Message{Kind: MessageAppendReply, To: m.From, Round: m.Round}
	if c.installing != nil {
		return
	}
	entries, index, term := m.Entries, m.Index, m.LogTerm
	// Entries up to the commit index agree with the leader's.
	if index < c.commit {
		skip := min(c.commit-index, uint64(len(entries)))
		if skip > 0 {
			term = entries[skip-1].Term
		}
		entries, index = entries[skip:], index+skip
		if index < c.commit {
			c.matched = max(c.matched, c.commit)
			reply.Index = index
			c.send(reply)
			return
		}
	}
	if own, ok := c.log.term(index); !ok || own != term {
		reply.Reject, reply.Index, reply.Hint = true, m.Index, c.hint(index)
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
				return // Decode has checked the entries
			}
		}
		break
	}
	last := index + uint64(len(entries))
	c.matched = max(c.matched, last)
	c.commitTo(m.Commit)
	reply.Index = last
	c.send(reply)
}

// hint returns the last index at which the logs may agree, skipping a whole
// term of the own log that conflicts at index.
func (c *Core) hint(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last()
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
