package raft

// changing tells whether a membership change must wait: one is under way, or
// the leader has not yet committed in its term. Without the second rule two
// leaders could commit with majorities that do not overlap.
func (c *Core) changing() bool {
	return c.membersIndex() > c.commit || c.commit < c.first
}

// promoteLag is how many entries a learner may lack when it is promoted. Under
// load the commit index moves by about this much between two replies.
const promoteLag = 256

// ReasonChanging refuses a membership change while another is under way.
const ReasonChanging = "another membership change is under way"

func (c *Core) change(members Members) {
	index := c.log.last() + 1
	c.appendLocal(Entry{Kind: EntryMembers, Data: members.encode()})
	c.syncPeers()
	c.out = append(c.out, Accepted{Index: index, Term: c.term, Count: 1})
	c.replicate()
}

func (c *Core) mayChange() bool {
	switch {
	case c.role != RoleLeader || c.transfer != 0:
		c.out = append(c.out, Refused{Leader: c.otherLeader()})
	case c.changing():
		c.out = append(c.out, Refused{Leader: c.cfg.ID, Reason: ReasonChanging})
	default:
		return true
	}
	return false
}

func (c *Core) add(e Add) {
	if !c.mayChange() {
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
	c.change(c.members().with(member))
}

func (c *Core) remove(id uint64) {
	if !c.mayChange() {
		return
	}
	if _, ok := c.members().Find(id); !ok {
		c.out = append(c.out, Refused{Leader: c.cfg.ID, Reason: "no such replica"})
		return
	}
	members := c.members().without(id)
	if members.Voters() == 0 {
		c.out = append(c.out, Refused{Leader: c.cfg.ID, Reason: "the last voter cannot be removed"})
		return
	}
	c.change(members)
}

// admit records the new data folder of a replica that lost its disk or is new,
// and promotes a learner that has caught up. Both are membership changes.
func (c *Core) admit(m Message, p *progress) {
	if c.role != RoleLeader || c.transfer != 0 || c.changing() {
		return
	}
	member, ok := c.members().Find(m.From)
	if !ok {
		return
	}
	switch {
	case m.Recovering && member.Incarnation != m.Incarnation:
		member.Incarnation = m.Incarnation
	case member.Joining && !m.Recovering && p.match+promoteLag >= c.commit:
		member.Learner, member.Joining = false, false
	default:
		return
	}
	c.appendLocal(Entry{Kind: EntryMembers, Data: c.members().with(member).encode()})
	c.replicate()
}
