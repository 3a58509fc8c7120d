package raft

// startTransfer starts a leadership transfer to another voter. Proposals are
// refused until that voter has become leader or an election timeout has passed.
func (c *Core) startTransfer(to uint64) {
	if c.role != RoleLeader || c.transferee != 0 {
		return
	}
	if to == 0 {
		to = c.successor()
	}
	p := c.peers[to]
	if p == nil || p.recovering || !c.members().isVoter(to) {
		return
	}
	c.transferee, c.transferDeadline = to, c.now.Add(c.cfg.ElectionTimeout)
	c.continueTransfer()
}

// successor returns the voter with the highest acknowledged index among those
// that replied within the election timeout, or zero if there is none.
func (c *Core) successor() uint64 {
	best, match := uint64(0), uint64(0)
	for _, member := range c.members() {
		p := c.peers[member.ID]
		if p == nil || p.recovering || member.Learner || c.now.Sub(p.lastReply) >= c.cfg.ElectionTimeout {
			continue
		}
		if best == 0 || p.match > match {
			best, match = member.ID, p.match
		}
	}
	return best
}

func (c *Core) continueTransfer() {
	p := c.peers[c.transferee]
	if c.transferee == 0 || p == nil || p.match != c.log.lastIndex() {
		return
	}
	c.send(Message{Kind: MessageElect, To: c.transferee})
}
