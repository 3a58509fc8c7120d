package raft_test

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/raft"
)

// op is one operation of a schedule. A and B select replicas, N is a numeric
// parameter.
type op struct {
	Kind    string
	A, B, N int
}

var opKinds = []string{
	"run", "run", "run", "run", "propose", "propose", "propose", "propose", "propose", "read", "cut", "cut",
	"isolate", "deafen", "heal", "crash", "crashleader", "restart", "restart", "wipe", "found", "fault", "transfer",
	"compact", "compact", "add", "remove", "repair", "repair",
}

func randomOps(rng *rand.Rand, count int) []op {
	ops := make([]op, count)
	for i := range ops {
		ops[i] = op{opKinds[rng.Intn(len(opKinds))], rng.Intn(7), rng.Intn(7), rng.Intn(1000)}
	}
	return ops
}

// runOps runs a schedule, then heals all links, restarts all replicas and checks
// that no acknowledged command is lost. It returns the first violation and whether
// the group had to make progress at the end.
func (c *simCluster) runOps(ops []op) (canProgress bool, err error) {
	for _, o := range ops {
		if c.violation != nil {
			return false, c.violation
		}
		c.performOp(o)
	}
	c.repairAll()
	c.run(5 * time.Second)
	if c.violation != nil || !c.canMakeProgress(0) {
		return false, c.violation
	}
	if !c.commit(time.Minute) {
		c.fail("no command commits after everything healed: %s", c.describe())
	}
	c.run(10 * time.Second)
	l := c.leader()
	if l == nil {
		c.fail("no leader after everything healed")
	}
	for _, id := range c.ids {
		if c.violation == nil {
			c.checkCommands(c.nodes[id], l)
		}
	}
	return true, c.violation
}

func (c *simCluster) checkCommands(n, leader *node) {
	if _, ok := leader.core.Status().Members.Find(n.id); !ok {
		return
	}
	if n.applied != leader.applied {
		c.fail("replica %d has applied %d, the leader %d: %s", n.id, n.applied, leader.applied, c.describe())
	}
	for command := range c.acked {
		if !slices.Contains(n.appliedCommands, command) {
			c.fail("acknowledged command %s is lost at replica %d", command, n.id)
		}
	}
	seen := map[string]bool{}
	for _, command := range n.appliedCommands {
		if seen[command] {
			c.fail("command %s is applied twice at replica %d", command, n.id)
		}
		seen[command] = true
	}
}

// canMakeProgress reports whether in the configuration of every replica a majority
// of the voters, without counting the given replica, have not lost their disk.
// Otherwise the group is allowed to make no progress.
func (c *simCluster) canMakeProgress(excluded uint64) bool {
	known := false
	for _, id := range c.ids {
		members := c.nodes[id].core.Status().Members
		available := 0
		for _, m := range members {
			n := c.nodes[m.ID]
			if n == nil || n.id == excluded || n.refounded && n.applied <= raft.FoundingIndex {
				continue
			}
			if !m.Learner && n.core.Role() != raft.RoleRecovering {
				available++
			}
		}
		if len(members) > 0 && available <= members.Voters()/2 {
			return false
		}
		known = known || len(members) > 0
	}
	return known
}

func (c *simCluster) describe() string {
	out := ""
	for _, id := range c.ids {
		s := c.nodes[id].core.Status()
		out += fmt.Sprintf("\n  %d up=%v %s term=%d leader=%d commit=%d last=%d members=%v",
			id, c.nodes[id].running, s.Role, s.Term, s.Leader, s.Commit, s.LastIndex, s.Members)
	}
	return out
}

func (c *simCluster) pick(i int) *node { return c.nodes[c.ids[i%len(c.ids)]] }

func (c *simCluster) performOp(o op) {
	a, b := c.pick(o.A), c.pick(o.B)
	switch o.Kind {
	case "run":
		c.run(time.Duration(o.N*3) * time.Millisecond)
	case "propose":
		c.performPropose(a, o.N)
	case "read":
		if a.running {
			a.read()
		}
	case "cut":
		c.cutLinks[[2]uint64{a.id, b.id}] = true
	case "isolate":
		c.isolate(a.id)
	case "deafen":
		c.cutInbound(a.id)
	case "heal":
		c.healLinks()
	case "crash":
		a.crash()
	case "restart":
		a.restart()
	case "wipe":
		if !c.keepMajority || c.canMakeProgress(a.id) {
			a.loseDisk()
		}
	case "repair":
		c.repairAll()
		c.elect(4 * time.Second)
	case "crashleader":
		if l := c.leader(); l != nil {
			l.crash()
		}
	case "found":
		if !c.keepMajority || c.canMakeProgress(a.id) {
			a.foundAgain()
		}
	case "fault":
		c.lossRate, c.duplicateRate = float64(o.N%4)*0.1, float64(o.N%3)*0.1
		c.maxDelay = time.Duration(o.N+1) * time.Millisecond
	case "compact":
		if a.running {
			a.compact()
		}
	default:
		c.performAdmin(o, a)
	}
}

// performPropose proposes commands at the leader. If n is a multiple of five or
// there is no leader, it proposes them at replica a.
func (c *simCluster) performPropose(a *node, n int) {
	if l := c.leader(); l != nil && n%5 > 0 {
		a = l
	}
	for range 1 + n%4 {
		if a.running {
			c.propose(a)
		}
	}
	if n%2 == 0 {
		c.run(time.Duration(n/10) * time.Millisecond)
	}
}

func (c *simCluster) performAdmin(o op, a *node) {
	l := c.leader()
	if l == nil {
		return
	}
	switch o.Kind {
	case "transfer":
		l.step(raft.Transfer{To: a.id})
	case "add":
		if len(c.ids) < 7 && o.N%2 == 0 {
			a = c.create(uint64(len(c.ids)+1), false)
		}
		l.step(raft.Add{ID: a.id, Learner: o.N%5 == 0})
	case "remove":
		if c.keepMajority && (l.core.Status().Members.Voters() <= 3 || !c.canMakeProgress(a.id)) {
			return
		}
		l.step(raft.Remove{ID: a.id})
	}
}
