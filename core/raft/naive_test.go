package raft_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/raft"
)

// others returns all replicas except the given one.
func (c *simCluster) others(than *node) []*node {
	var out []*node
	for _, id := range c.ids {
		if id != than.id {
			out = append(out, c.nodes[id])
		}
	}
	return out
}

// runLostDisk makes one of three replicas lose its disk, then crashes the leader.
// With partitioned, the leader crashes at once, and the third replica is isolated
// while the last command is committed, so that only the other two have it.
// Otherwise the leader crashes after the replica has been admitted again.
func runLostDisk(seed int64, partitioned bool, lose func(*node), disabledRules raft.Rules) error {
	c := newCluster(seed, 3, disabledRules)
	l := c.elect(10 * time.Second)
	lost, third := c.others(l)[0], c.others(l)[1]
	c.commit(10 * time.Second)
	c.run(time.Second)
	if partitioned {
		c.isolate(third.id)
	}
	if !c.commit(10 * time.Second) {
		return errors.New("no command committed before the disk was lost")
	}
	lose(lost)
	admitted := !partitioned && c.runUntil(3*time.Second, func() bool {
		return lost.core.Role() == raft.RoleFollower && lost.applied == l.applied
	})
	l.crash()
	c.healLinks()
	committed := c.commit(10 * time.Second)
	if committed != admitted && c.violation == nil {
		return errors.New("the group commits without a majority of disks, or does not commit with one")
	}
	l.restart()
	c.commit(10 * time.Second)
	c.run(5 * time.Second)
	for _, id := range c.ids {
		if c.violation == nil {
			c.checkCommands(c.nodes[id], c.leader())
		}
	}
	return c.violation
}

// Guards against a replica that votes or counts towards a quorum after it lost its
// disk. An acknowledged command is then lost when a second replica fails.
func TestLostDisk(t *testing.T) {
	is := is.New(t)
	const seed = 7
	err := runLostDisk(seed, true, (*node).loseDisk, raft.Rules{DiskRecovery: true})
	t.Log("without the rule:", err)
	is.True(err != nil)
	is.NoErr(runLostDisk(seed, true, (*node).loseDisk, raft.Rules{}))
	is.NoErr(runLostDisk(seed, false, (*node).loseDisk, raft.Rules{})) // admitted before the leader fails
}

// Guards against the failure of TestLostDisk when the setting to found a group was
// left on.
func TestFoundAgain(t *testing.T) {
	is := is.New(t)
	const seed = 7
	err := runLostDisk(seed, true, (*node).foundAgain, raft.Rules{FounderCheck: true})
	t.Log("without the rule:", err)
	is.True(err != nil)
	is.NoErr(runLostDisk(seed, true, (*node).foundAgain, raft.Rules{}))
	is.NoErr(runLostDisk(seed, false, (*node).foundAgain, raft.Rules{}))
}

// Guards against the failure of TestLostDisk in a random schedule.
func TestLostDiskSchedule(t *testing.T) {
	is := is.New(t)
	_, _, err := runSeed(lostDiskSeed, raft.Rules{DiskRecovery: true})
	t.Log("without the rule:", err)
	is.True(err != nil)
	_, _, err = runSeed(lostDiskSeed, raft.Rules{})
	is.NoErr(err)
}

// lostDiskSeed is the first seed whose schedule violates an invariant without the
// lost-disk rule.
const lostDiskSeed = 17

// runPartition cuts the links of a follower for ten minutes, with inboundOnly only
// those to it, and reports whether the leader kept its term.
func runPartition(seed int64, inboundOnly bool, disabledRules raft.Rules) (bool, error) {
	c := newCluster(seed, 3, disabledRules)
	l := c.elect(10 * time.Second)
	term := l.core.Status().Term
	follower := c.others(l)[0]
	if inboundOnly {
		c.cutInbound(follower.id)
	} else {
		c.isolate(follower.id)
	}
	c.run(10 * time.Minute)
	c.commit(10 * time.Second)
	c.healLinks()
	c.run(10 * time.Second)
	if c.violation == nil && c.leader() != nil {
		c.checkCommands(follower, c.leader())
	}
	return len(c.leaders) == 1 && l.core.Status().Term == term, c.violation
}

// Guards against a replica that was isolated for long, or that can send but not
// receive, and whose higher term deposes a working leader.
func TestPartitionedFollower(t *testing.T) {
	for name, inboundOnly := range map[string]bool{"both ways": false, "inbound only": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const seed = 3
			kept, _ := runPartition(seed, inboundOnly, raft.Rules{PreVote: true})
			is.True(!kept) // without the pre-vote the leader is deposed
			kept, err := runPartition(seed, inboundOnly, raft.Rules{})
			is.NoErr(err)
			is.True(kept)
		})
	}
}

// runDeafLeader cuts the inbound links of the leader and reports whether the group
// commits again within 10 s.
func runDeafLeader(seed int64, disabledRules raft.Rules) (bool, error) {
	c := newCluster(seed, 3, disabledRules)
	c.cutInbound(c.elect(10 * time.Second).id)
	return c.commit(10 * time.Second), c.violation
}

// Guards against a leader that can send but not receive, and so stays leader
// without committing anything.
func TestLeaderWithoutInbound(t *testing.T) {
	is := is.New(t)
	const seed = 5
	commits, _ := runDeafLeader(seed, raft.Rules{CheckQuorum: true})
	is.True(!commits) // without check-quorum the leader stays
	commits, err := runDeafLeader(seed, raft.Rules{})
	is.NoErr(err)
	is.True(commits)
}
