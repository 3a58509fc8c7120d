package raft

import "time"

// read is a read barrier that waits for a quorum to confirm the leader.
type read struct {
	token uint64
	round uint64 // zero until the leader has committed in its term
	index uint64
}

func timeOf(nanoseconds int64) time.Duration { return time.Duration(nanoseconds) }

// read starts a barrier. A quorum that answers a round started afterwards had
// no newer leader when the read was asked for.
func (c *Core) read(token uint64) {
	if c.role != RoleLeader {
		c.out = append(c.out, ReadRefused{Token: token, Leader: c.otherLeader()})
		return
	}
	c.reads = append(c.reads, read{token: token})
	c.releaseReads()
}

func (c *Core) releaseReads() {
	// Before its first own commit a leader may not know of everything that its
	// predecessor committed.
	if c.role != RoleLeader || len(c.reads) == 0 || c.commit < c.first {
		return
	}
	c.assignRounds()
	round := c.members().quorum(func(id uint64) uint64 {
		if id == c.cfg.ID {
			return c.round
		}
		if p := c.peers[id]; c.counted(p) {
			return p.round
		}
		return 0
	})
	for len(c.reads) > 0 && c.reads[0].round != 0 && c.reads[0].round <= round {
		c.out = append(c.out, ReadReady{Token: c.reads[0].token, Index: c.reads[0].index})
		c.reads = c.reads[1:]
	}
}

func (c *Core) assignRounds() {
	started := false
	for i := range c.reads {
		if c.reads[i].round != 0 {
			continue
		}
		if !started {
			c.startRound()
			started = true
		}
		c.reads[i].round, c.reads[i].index = c.round, c.commit
	}
}

func (c *Core) refuseReads(leader uint64) {
	for _, r := range c.reads {
		c.out = append(c.out, ReadRefused{Token: r.token, Leader: leader})
	}
	c.reads = nil
}
