package raft

// startTransfer hands leadership to another voter. Proposals are refused until
// it has taken over or an election timeout has passed.
func (c *Core) startTransfer(to uint64) {
	if c.role != RoleLeader || c.transfer != 0 {
		return
	}
	if to == 0 {
		to = c.successor()
	}
	p := c.peers[to]
	if p == nil || p.recovering || !c.members().voter(to) {
		return
	}
	c.transfer, c.deadline = to, c.now.Add(c.cfg.Election)
	c.continueTransfer()
}

// successor returns the voter that has acknowledged most and answers.
func (c *Core) successor() uint64 {
	best, match := uint64(0), uint64(0)
	for _, member := range c.members() {
		p := c.peers[member.ID]
		if p == nil || p.recovering || member.Learner || c.now.Sub(p.heard) >= c.cfg.Election {
			continue
		}
		if best == 0 || p.match > match {
			best, match = member.ID, p.match
		}
	}
	return best
}

func (c *Core) continueTransfer() {
	p := c.peers[c.transfer]
	if c.transfer == 0 || p == nil || p.match != c.log.last() {
		return
	}
	c.send(Message{Kind: MessageElect, To: c.transfer})
}
