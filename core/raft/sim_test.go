package raft_test

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"github.com/galenalock/galenalock/core/raft"
)

// world runs replicas on simulated time, disks and links, and checks the
// invariants after every action. The first violation is kept.
type world struct {
	now       time.Time
	rng       *rand.Rand
	without   raft.Rules
	founders  raft.Members
	nodes     map[uint64]*node
	ids       []uint64 // in order of creation, so that runs repeat
	queue     events
	seq       int
	cut       map[[2]uint64]bool
	loss      float64
	duplicate float64
	delay     time.Duration // longest extra delay
	serial    uint64
	careful   bool // schedules keep a majority of disks

	chosen  map[uint64]string // committed entry by index
	highest uint64            // highest committed index
	acked   map[string]uint64 // acknowledged command to index
	leaders map[uint64]uint64 // by term
	pending map[readKey]uint64
	broken  error
	steps   int
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

func newWorld(seed int64, replicas int, without raft.Rules) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewSource(seed)), without: without,
		nodes: map[uint64]*node{}, cut: map[[2]uint64]bool{}, delay: 5 * time.Millisecond,
		chosen: map[uint64]string{}, acked: map[string]uint64{}, leaders: map[uint64]uint64{},
		pending: map[readKey]uint64{},
	}
	for id := uint64(1); id <= uint64(replicas); id++ {
		w.founders = append(w.founders, raft.Member{ID: id})
	}
	for id := uint64(1); id <= uint64(replicas); id++ {
		w.create(id, true)
	}
	return w
}

// create makes a replica with a new disk.
func (w *world) create(id uint64, founder bool) *node {
	n := &node{w: w, id: id}
	n.wipe(founder)
	w.nodes[id] = n
	w.ids = append(w.ids, id)
	n.start()
	return n
}

func (w *world) fail(format string, args ...any) {
	if w.broken == nil {
		w.broken = fmt.Errorf(format, args...)
	}
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), w.seq, run})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for w.broken == nil && len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
		w.steps++
	}
	w.now = end
}

// until runs until the condition holds, at most for d.
func (w *world) until(d time.Duration, holds func() bool) bool {
	for end := w.now.Add(d); w.now.Before(end) && w.broken == nil; {
		if holds() {
			return true
		}
		w.run(20 * time.Millisecond)
	}
	return holds()
}

func (w *world) deliver(m raft.Message) {
	data, err := raft.Encode(m)
	if err != nil {
		w.fail("encode: %v", err)
		return
	}
	copies := 1
	if w.rng.Float64() < w.duplicate {
		copies = 2
	}
	for range copies {
		if w.rng.Float64() < w.loss {
			continue
		}
		late := time.Millisecond + time.Duration(w.rng.Int63n(int64(w.delay)))
		w.after(late, func() {
			n := w.nodes[m.To]
			if n == nil || !n.up || w.cut[[2]uint64{m.From, m.To}] {
				return
			}
			got, err := raft.Decode(data)
			if err != nil {
				w.fail("own message refused: %v", err)
				return
			}
			n.step(raft.Receive{Message: got})
		})
	}
}

func (w *world) isolate(id uint64) {
	for _, other := range w.ids {
		w.cut[[2]uint64{id, other}] = true
		w.cut[[2]uint64{other, id}] = true
	}
}

// deafen cuts only what is sent to the replica.
func (w *world) deafen(id uint64) {
	for _, other := range w.ids {
		w.cut[[2]uint64{other, id}] = true
	}
}

func (w *world) heal() {
	w.cut = map[[2]uint64]bool{}
	w.loss, w.duplicate, w.delay = 0, 0, 5*time.Millisecond
}

// repair heals the links and starts all replicas.
func (w *world) repair() {
	w.heal()
	for _, id := range w.ids {
		w.nodes[id].restart()
	}
}

// leader returns the running leader with the highest term.
func (w *world) leader() *node {
	var best *node
	for _, id := range w.ids {
		n := w.nodes[id]
		if n.up && n.core.Role() == raft.RoleLeader && (best == nil || n.core.Status().Term > best.core.Status().Term) {
			best = n
		}
	}
	return best
}

// elect runs until there is a leader that has committed in its term.
func (w *world) elect(d time.Duration) *node {
	var l *node
	w.until(d, func() bool {
		l = w.leader()
		return l != nil && l.core.Status().Backlog == 0
	})
	return l
}

// propose appends a new command at the replica.
func (w *world) propose(n *node) string {
	w.serial++
	command := fmt.Sprintf("c%d", w.serial)
	n.proposed = []string{command}
	n.step(raft.Propose{Commands: [][]byte{[]byte(command)}})
	return command
}

// commit proposes at the leader until a command is acknowledged.
func (w *world) commit(d time.Duration) bool {
	var command string
	return w.until(d, func() bool {
		if _, ok := w.acked[command]; ok {
			return true
		}
		if l := w.leader(); l != nil && (command == "" || w.now.UnixMilli()%500 < 20) {
			command = w.propose(l)
		}
		return false
	})
}
