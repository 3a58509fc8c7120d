package raft_test

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/raft"
)

// op is one step of a schedule. A and B choose replicas, N a number.
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

// perform runs a schedule, then heals everything and checks that nothing that
// was acknowledged is lost. It returns the first violation and whether the group
// could be expected to work at the end.
func (w *world) perform(ops []op) (live bool, err error) {
	for _, o := range ops {
		if w.broken != nil {
			return false, w.broken
		}
		w.do(o)
	}
	w.repair()
	w.run(5 * time.Second)
	if w.broken != nil || !w.expectLive(0) {
		return false, w.broken
	}
	if !w.commit(time.Minute) {
		w.fail("no command commits after everything healed: %s", w.describe())
	}
	w.run(10 * time.Second)
	l := w.leader()
	if l == nil {
		w.fail("no leader after everything healed")
	}
	for _, id := range w.ids {
		if w.broken == nil {
			w.checkComplete(w.nodes[id], l)
		}
	}
	return true, w.broken
}

func (w *world) checkComplete(n, leader *node) {
	if _, ok := leader.core.Status().Members.Find(n.id); !ok {
		return
	}
	if n.applied != leader.applied {
		w.fail("replica %d has applied %d, the leader %d: %s", n.id, n.applied, leader.applied, w.describe())
	}
	for command := range w.acked {
		if !slices.Contains(n.machine, command) {
			w.fail("acknowledged command %s is lost at replica %d", command, n.id)
		}
	}
	seen := map[string]bool{}
	for _, command := range n.machine {
		if seen[command] {
			w.fail("command %s is applied twice at replica %d", command, n.id)
		}
		seen[command] = true
	}
}

// expectLive tells whether every replica sees a majority of voters, besides the
// given one, that have not lost their disk. Otherwise the group rightly stands
// still.
func (w *world) expectLive(without uint64) bool {
	known := false
	for _, id := range w.ids {
		members := w.nodes[id].core.Status().Members
		sound := 0
		for _, m := range members {
			n := w.nodes[m.ID]
			if n == nil || n.id == without || n.refounded && n.applied <= raft.FoundingIndex {
				continue
			}
			if !m.Learner && n.core.Role() != raft.RoleRecovering {
				sound++
			}
		}
		if len(members) > 0 && sound <= members.Voters()/2 {
			return false
		}
		known = known || len(members) > 0
	}
	return known
}

func (w *world) describe() string {
	out := ""
	for _, id := range w.ids {
		s := w.nodes[id].core.Status()
		out += fmt.Sprintf("\n  %d up=%v %s term=%d leader=%d commit=%d last=%d members=%v",
			id, w.nodes[id].up, s.Role, s.Term, s.Leader, s.Commit, s.Last, s.Members)
	}
	return out
}

func (w *world) pick(i int) *node { return w.nodes[w.ids[i%len(w.ids)]] }

func (w *world) do(o op) {
	a, b := w.pick(o.A), w.pick(o.B)
	switch o.Kind {
	case "run":
		w.run(time.Duration(o.N*3) * time.Millisecond)
	case "propose":
		w.doPropose(a, o.N)
	case "read":
		if a.up {
			a.read()
		}
	case "cut":
		w.cut[[2]uint64{a.id, b.id}] = true
	case "isolate":
		w.isolate(a.id)
	case "deafen":
		w.deafen(a.id)
	case "heal":
		w.heal()
	case "crash":
		a.crash()
	case "restart":
		a.restart()
	case "wipe":
		if !w.careful || w.expectLive(a.id) {
			a.loseDisk()
		}
	case "repair":
		w.repair()
		w.elect(4 * time.Second)
	case "crashleader":
		if l := w.leader(); l != nil {
			l.crash()
		}
	case "found":
		if !w.careful || w.expectLive(a.id) {
			a.foundAgain()
		}
	case "fault":
		w.loss, w.duplicate = float64(o.N%4)*0.1, float64(o.N%3)*0.1
		w.delay = time.Duration(o.N+1) * time.Millisecond
	case "compact":
		if a.up {
			a.compact()
		}
	default:
		w.doAdmin(o, a)
	}
}

// doPropose proposes at the leader, or anywhere for some numbers.
func (w *world) doPropose(a *node, n int) {
	if l := w.leader(); l != nil && n%5 > 0 {
		a = l
	}
	for range 1 + n%4 {
		if a.up {
			w.propose(a)
		}
	}
	if n%2 == 0 {
		w.run(time.Duration(n/10) * time.Millisecond)
	}
}

func (w *world) doAdmin(o op, a *node) {
	l := w.leader()
	if l == nil {
		return
	}
	switch o.Kind {
	case "transfer":
		l.step(raft.Transfer{To: a.id})
	case "add":
		if len(w.ids) < 7 && o.N%2 == 0 {
			a = w.create(uint64(len(w.ids)+1), false)
		}
		l.step(raft.Add{ID: a.id, Learner: o.N%5 == 0})
	case "remove":
		if w.careful && (l.core.Status().Members.Voters() <= 3 || !w.expectLive(a.id)) {
			return
		}
		l.step(raft.Remove{ID: a.id})
	}
}
