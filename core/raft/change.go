package raft

// changePending reports whether a membership change must wait because another
// one is uncommitted or the leader has not committed an entry of its term.
// Without the second condition two leaders could commit with majorities that do
// not overlap.
func (c *Core) changePending() bool {
	return c.membersIndex() > c.commit || c.commit < c.termStartIndex
}

// maxPromotionLag is the number of entries by which a learner may trail the
// commit index when it is promoted. Under load the commit index advances by
// about this many entries between two replies.
const maxPromotionLag = 256

// ReasonChangePending is the reason of a Refused while another membership
// change is uncommitted.
const ReasonChangePending = "another membership change is under way"

func (c *Core) appendMembers(members Members) {
	index := c.log.lastIndex() + 1
	c.appendLocal(Entry{Kind: EntryMembers, Data: members.encode()})
	c.syncPeers()
	c.actions = append(c.actions, Accepted{Index: index, Term: c.term, Count: 1})
	c.replicate()
}

func (c *Core) acceptsChange() bool {
	switch {
	case c.role != RoleLeader || c.transferee != 0:
		c.actions = append(c.actions, Refused{Leader: c.leaderHint()})
	case c.changePending():
		c.actions = append(c.actions, Refused{Leader: c.cfg.ID, Reason: ReasonChangePending})
	default:
		return true
	}
	return false
}

func (c *Core) addMember(e Add) {
	if !c.acceptsChange() {
		return
	}
	member, ok := c.members().Find(e.ID)
	if !ok {
		member = Member{ID: e.ID, Learner: true}
	}
	if member.Learner {
		member.Joining = !e.Learner
	}
	member.Addr = e.Addr
	c.appendMembers(c.members().with(member))
}

func (c *Core) removeMember(id uint64) {
	if !c.acceptsChange() {
		return
	}
	if _, ok := c.members().Find(id); !ok {
		c.actions = append(c.actions, Refused{Leader: c.cfg.ID, Reason: "no such replica"})
		return
	}
	members := c.members().without(id)
	if members.Voters() == 0 {
		c.actions = append(c.actions, Refused{Leader: c.cfg.ID, Reason: "the last voter cannot be removed"})
		return
	}
	c.appendMembers(members)
}

// updateMember records the incarnation of a replica with a new data directory, or
// promotes a learner that has caught up. Both are membership changes.
func (c *Core) updateMember(m Message, p *progress) {
	if c.role != RoleLeader || c.transferee != 0 || c.changePending() {
		return
	}
	member, ok := c.members().Find(m.From)
	if !ok {
		return
	}
	switch {
	case m.Recovering && member.Incarnation != m.Incarnation:
		member.Incarnation = m.Incarnation
	case member.Joining && !m.Recovering && p.match+maxPromotionLag >= c.commit:
		member.Learner, member.Joining = false, false
	default:
		return
	}
	c.appendLocal(Entry{Kind: EntryMembers, Data: c.members().with(member).encode()})
	c.replicate()
}
