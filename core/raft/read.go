package raft

import "time"

// pendingRead is a read barrier that waits for a quorum to confirm the leader.
type pendingRead struct {
	token uint64
	round uint64 // zero until the leader has committed an entry of its term
	index uint64
}

func toDuration(nanoseconds int64) time.Duration { return time.Duration(nanoseconds) }

// startRead starts a read barrier. A quorum of replies to a round that started
// after the request shows that there was no newer leader at its time.
func (c *Core) startRead(token uint64) {
	if c.role != RoleLeader {
		c.actions = append(c.actions, ReadRefused{Token: token, Leader: c.leaderHint()})
		return
	}
	c.pendingReads = append(c.pendingReads, pendingRead{token: token})
	c.releaseReads()
}

func (c *Core) releaseReads() {
	// Until it commits an entry of its own term, a leader may not know the whole
	// commit index of its predecessor.
	if c.role != RoleLeader || len(c.pendingReads) == 0 || c.commit < c.termStartIndex {
		return
	}
	c.assignRounds()
	round := c.members().quorumValue(func(id uint64) uint64 {
		if id == c.cfg.ID {
			return c.round
		}
		if p := c.peers[id]; c.countsForQuorum(p) {
			return p.round
		}
		return 0
	})
	for len(c.pendingReads) > 0 && c.pendingReads[0].round != 0 && c.pendingReads[0].round <= round {
		c.actions = append(c.actions, ReadReady{Token: c.pendingReads[0].token, Index: c.pendingReads[0].index})
		c.pendingReads = c.pendingReads[1:]
	}
}

func (c *Core) assignRounds() {
	started := false
	for i := range c.pendingReads {
		if c.pendingReads[i].round != 0 {
			continue
		}
		if !started {
			c.startRound()
			started = true
		}
		c.pendingReads[i].round, c.pendingReads[i].index = c.round, c.commit
	}
}

func (c *Core) refuseReads(leader uint64) {
	for _, r := range c.pendingReads {
		c.actions = append(c.actions, ReadRefused{Token: r.token, Leader: leader})
	}
	c.pendingReads = nil
}
