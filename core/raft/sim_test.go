package raft_test

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"github.com/galenalock/galenalock/core/raft"
)

// simCluster runs replicas with simulated time, disks and links. It checks invariants
// as the replicas act and keeps the first violation.
type simCluster struct {
	now           time.Time
	rng           *rand.Rand
	disabledRules raft.Rules
	founders      raft.Members
	nodes         map[uint64]*node
	ids           []uint64 // in order of creation, so that runs are deterministic
	queue         events
	seq           int
	cutLinks      map[[2]uint64]bool
	lossRate      float64
	duplicateRate float64
	maxDelay      time.Duration // longest extra delay
	commandCount  uint64
	keepMajority  bool // schedules keep a majority of the disks

	committed    map[uint64]string // committed entry by index
	highest      uint64            // highest committed index
	acked        map[string]uint64 // log index by acknowledged command
	leaders      map[uint64]uint64 // replica by term
	minReadIndex map[readKey]uint64
	violation    error
	steps        int
}

type readKey struct{ node, token uint64 }

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newCluster(seed int64, replicas int, disabledRules raft.Rules) *simCluster {
	c := &simCluster{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewSource(seed)), disabledRules: disabledRules,
		nodes: map[uint64]*node{}, cutLinks: map[[2]uint64]bool{}, maxDelay: 5 * time.Millisecond,
		committed: map[uint64]string{}, acked: map[string]uint64{}, leaders: map[uint64]uint64{},
		minReadIndex: map[readKey]uint64{},
	}
	for id := uint64(1); id <= uint64(replicas); id++ {
		c.founders = append(c.founders, raft.Member{ID: id})
	}
	for id := uint64(1); id <= uint64(replicas); id++ {
		c.create(id, true)
	}
	return c
}

// create adds and starts a replica with an empty disk.
func (c *simCluster) create(id uint64, founder bool) *node {
	n := &node{cluster: c, id: id}
	n.replaceDisk(founder)
	c.nodes[id] = n
	c.ids = append(c.ids, id)
	n.start()
	return n
}

func (c *simCluster) fail(format string, args ...any) {
	if c.violation == nil {
		c.violation = fmt.Errorf(format, args...)
	}
}

func (c *simCluster) schedule(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, event{c.now.Add(d), c.seq, run})
}

// run advances the simulated time by d and runs the events that are due.
func (c *simCluster) run(d time.Duration) {
	end := c.now.Add(d)
	for c.violation == nil && len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
		c.steps++
	}
	c.now = end
}

// runUntil runs until the condition holds, for at most d, and reports whether it
// holds.
func (c *simCluster) runUntil(d time.Duration, holds func() bool) bool {
	for end := c.now.Add(d); c.now.Before(end) && c.violation == nil; {
		if holds() {
			return true
		}
		c.run(20 * time.Millisecond)
	}
	return holds()
}

func (c *simCluster) deliver(m raft.Message) {
	data, err := raft.Encode(m)
	if err != nil {
		c.fail("encode: %v", err)
		return
	}
	copies := 1
	if c.rng.Float64() < c.duplicateRate {
		copies = 2
	}
	for range copies {
		if c.rng.Float64() < c.lossRate {
			continue
		}
		latency := time.Millisecond + time.Duration(c.rng.Int63n(int64(c.maxDelay)))
		c.schedule(latency, func() {
			n := c.nodes[m.To]
			if n == nil || !n.running || c.cutLinks[[2]uint64{m.From, m.To}] {
				return
			}
			got, err := raft.Decode(data)
			if err != nil {
				c.fail("own message refused: %v", err)
				return
			}
			n.step(raft.Receive{Message: got})
		})
	}
}

func (c *simCluster) isolate(id uint64) {
	for _, other := range c.ids {
		c.cutLinks[[2]uint64{id, other}] = true
		c.cutLinks[[2]uint64{other, id}] = true
	}
}

// cutInbound cuts only the links to the replica.
func (c *simCluster) cutInbound(id uint64) {
	for _, other := range c.ids {
		c.cutLinks[[2]uint64{other, id}] = true
	}
}

func (c *simCluster) healLinks() {
	c.cutLinks = map[[2]uint64]bool{}
	c.lossRate, c.duplicateRate, c.maxDelay = 0, 0, 5*time.Millisecond
}

// repairAll heals all links and starts all stopped replicas.
func (c *simCluster) repairAll() {
	c.healLinks()
	for _, id := range c.ids {
		c.nodes[id].restart()
	}
}

// leader returns the running leader with the highest term.
func (c *simCluster) leader() *node {
	var best *node
	for _, id := range c.ids {
		n := c.nodes[id]
		if n.running && n.core.Role() == raft.RoleLeader && (best == nil || n.core.Status().Term > best.core.Status().Term) {
			best = n
		}
	}
	return best
}

// elect runs until there is a leader without uncommitted entries, for at most d.
func (c *simCluster) elect(d time.Duration) *node {
	var l *node
	c.runUntil(d, func() bool {
		l = c.leader()
		return l != nil && l.core.Status().Backlog == 0
	})
	return l
}

// propose proposes a new command at the replica and returns it.
func (c *simCluster) propose(n *node) string {
	c.commandCount++
	command := fmt.Sprintf("c%d", c.commandCount)
	n.proposed = []string{command}
	n.step(raft.Propose{Commands: [][]byte{[]byte(command)}})
	return command
}

// commit proposes a command at the leader until it is acknowledged, for at most d.
func (c *simCluster) commit(d time.Duration) bool {
	var command string
	return c.runUntil(d, func() bool {
		if _, ok := c.acked[command]; ok {
			return true
		}
		if l := c.leader(); l != nil && (command == "" || c.now.UnixMilli()%500 < 20) {
			command = c.propose(l)
		}
		return false
	})
}
