package raft_test

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/galenalock/galenalock/core/raft"
)

// node is a replica with a simulated disk. Its machine is the list of commands.
type node struct {
	w     *world
	id    uint64
	core  *raft.Core
	up    bool
	epoch int
	alarm time.Time // next Tick

	// Disk.
	incarnation uint64
	recovering  bool
	founder     bool
	refounded   bool // a founder again after a lost disk
	hard        raft.HardState
	snapshot    raft.Snapshot
	entries     []raft.Entry
	writing     []raft.Persist // not yet durable

	// Memory.
	machine  []string
	applied  uint64
	waiting  map[uint64]wait
	proposed []string
	token    uint64
}

type wait struct {
	term    uint64
	command string
}

// wipe replaces the disk. Without the recovery rule a replica with a new disk
// starts like a founder.
func (n *node) wipe(founder bool) {
	n.incarnation = n.w.rng.Uint64() | 1
	n.recovering, n.founder = !founder, founder
	n.hard, n.snapshot, n.entries, n.writing = raft.HardState{}, raft.Snapshot{}, nil, nil
	if founder || n.w.without.Recovery {
		n.snapshot = raft.Founding(n.w.founders)
	}
}

func (n *node) start() {
	n.up = true
	n.epoch++
	n.machine, n.waiting = nil, map[uint64]wait{}
	n.restore(n.snapshot)
	core, err := raft.New(raft.Config{
		ID: n.id, Incarnation: n.incarnation, Recovering: n.recovering, Founder: n.founder,
		Hard: n.hard, Snapshot: n.snapshot, Entries: slices.Clone(n.entries),
		Rand:       rand.New(rand.NewSource(n.w.rng.Int63())),
		MaxMessage: 200, MaxInflight: 600, Trailing: 4, Without: n.w.without,
	}, n.w.now)
	if err != nil {
		n.w.fail("replica %d does not start: %v", n.id, err)
		n.up = false
		return
	}
	n.core, n.alarm = core, time.Time{}
	n.step(raft.Tick{})
}

// crash loses the memory and a random part of what was being written.
func (n *node) crash() {
	if !n.up {
		return
	}
	n.up = false
	for range n.w.rng.Intn(len(n.writing) + 1) {
		n.write()
	}
	n.writing = nil
}

func (n *node) restart() {
	if !n.up {
		n.start()
	}
}

func (n *node) loseDisk() {
	n.crash()
	n.wipe(false)
	n.start()
}

// mayFoundAgain reports whether the group can tell that this replica is a
// founder for the second time: the other replicas know more than the founding.
func (n *node) mayFoundAgain() bool {
	if _, founder := n.w.founders.Find(n.id); !founder || len(n.w.founders) < 2 {
		return false
	}
	for _, other := range n.w.others(n) {
		if len(other.entries) == 0 && other.snapshot.Index <= raft.FoundingIndex && !other.recovering {
			return false
		}
	}
	return true
}

// foundAgain loses the disk of a replica whose setting to found a group was left
// on.
func (n *node) foundAgain() {
	if !n.mayFoundAgain() {
		return
	}
	n.crash()
	n.wipe(true)
	n.refounded = true
	n.start()
}

// arm schedules a Tick when the core wants one.
func (n *node) arm() {
	next := n.core.Next()
	if !next.After(n.w.now) {
		next = n.w.now.Add(time.Millisecond)
	}
	if n.alarm.After(n.w.now) && !next.Before(n.alarm) {
		return
	}
	n.alarm = next
	epoch := n.epoch
	n.w.after(next.Sub(n.w.now), func() {
		if n.up && n.epoch == epoch && n.alarm.Equal(next) {
			n.step(raft.Tick{})
		}
	})
}

func (n *node) step(event raft.Event) {
	for _, action := range n.core.Step(n.w.now, event) {
		n.act(action)
	}
	s := n.core.Status()
	if s.Role == raft.RoleLeader {
		if other, ok := n.w.leaders[s.Term]; ok && other != n.id {
			n.w.fail("replicas %d and %d lead term %d", other, n.id, s.Term)
		}
		n.w.leaders[s.Term] = n.id
	}
	n.arm()
}

func (n *node) act(action raft.Action) {
	switch a := action.(type) {
	case raft.Persist:
		n.writing = append(n.writing, a)
		epoch := n.epoch
		slow := time.Duration(n.w.rng.Int63n(int64(8 * time.Millisecond)))
		n.w.after(slow, func() {
			if n.up && n.epoch == epoch && len(n.writing) > 0 && n.writing[0].Seq <= a.Seq {
				for len(n.writing) > 0 && n.writing[0].Seq <= a.Seq {
					n.write()
				}
				n.step(raft.Persisted{Seq: a.Seq})
			}
		})
	case raft.Send:
		n.checkDurable(a.Message)
		n.w.deliver(a.Message)
	case raft.Apply:
		for _, entry := range a.Entries {
			n.apply(entry)
		}
	case raft.Restore:
		n.restore(a.Snapshot)
	case raft.Accepted:
		for i, command := range n.proposed {
			n.waiting[a.Index+uint64(i)] = wait{a.Term, command}
		}
		n.proposed = nil
	case raft.Refused:
		n.proposed = nil
	case raft.ReadReady:
		if asked := n.w.pending[readKey{n.id, a.Token}]; a.Index < asked {
			n.w.fail("replica %d reads at %d what had committed %d", n.id, a.Index, asked)
		}
	}
}

// write makes the oldest Persist durable.
func (n *node) write() {
	p := n.writing[0]
	n.writing = n.writing[1:]
	if p.Recovering != nil {
		n.recovering = *p.Recovering
	}
	if p.Snapshot != nil {
		n.snapshot, n.entries = *p.Snapshot, nil
	}
	for _, entry := range p.Entries {
		keep := entry.Index - n.snapshot.Index - 1
		if keep > uint64(len(n.entries)) {
			n.w.fail("replica %d stores %d after %d", n.id, entry.Index, len(n.entries))
			return
		}
		n.entries = append(n.entries[:keep:keep], entry)
	}
	n.hard = *p.Hard
}

// checkDurable fails on a promise that a crash could make the replica forget.
func (n *node) checkDurable(m raft.Message) {
	if m.Kind == raft.MessageVoteReply && !m.Reject && (n.hard.Term < m.Term || n.hard.Term == m.Term && n.hard.Vote != m.To) {
		n.w.fail("replica %d sends a vote for term %d that is not stored", n.id, m.Term)
	}
	last := n.snapshot.Index + uint64(len(n.entries))
	if m.Kind == raft.MessageAppendReply && !m.Reject && n.hard.Term == m.Term && last < m.Index {
		n.w.fail("replica %d acknowledges %d and has stored %d", n.id, m.Index, last)
	}
	if !m.Recovering && n.recovering && !n.w.without.Recovery {
		n.w.fail("replica %d claims to be admitted before that is stored", n.id)
	}
}

func (n *node) apply(entry raft.Entry) {
	if entry.Index != n.applied+1 {
		n.w.fail("replica %d applies %d after %d", n.id, entry.Index, n.applied)
	}
	n.applied = entry.Index
	value := fmt.Sprintf("%d %d %q", entry.Term, entry.Kind, entry.Data)
	if other, ok := n.w.chosen[entry.Index]; ok && other != value {
		n.w.fail("index %d holds %s at replica %d and %s elsewhere", entry.Index, value, n.id, other)
	}
	n.w.chosen[entry.Index] = value
	n.w.highest = max(n.w.highest, entry.Index)
	if entry.Kind == raft.EntryCommand {
		n.machine = append(n.machine, string(entry.Data))
	}
	if wait, ok := n.waiting[entry.Index]; ok && wait.term == entry.Term {
		if wait.command != string(entry.Data) {
			n.w.fail("index %d acknowledges another command", entry.Index)
		}
		n.w.acked[wait.command] = entry.Index
		delete(n.waiting, entry.Index)
	}
}

func (n *node) restore(s raft.Snapshot) {
	n.applied, n.machine = s.Index, nil
	if len(s.Data) > 0 {
		n.machine = strings.Split(string(s.Data), ",")
	}
}

// compact stores the machine as a snapshot, as the group does.
func (n *node) compact() {
	if len(n.writing) > 0 || n.applied <= n.snapshot.Index {
		return
	}
	s := n.core.Describe()
	s.Data = []byte(strings.Join(n.machine, ","))
	n.entries = slices.Clone(n.entries[s.Index-n.snapshot.Index:])
	n.snapshot = s
	n.step(raft.Compact{Snapshot: s})
}

func (n *node) read() {
	n.token++
	key := readKey{n.id, uint64(n.epoch)<<32 + n.token}
	n.w.pending[key] = n.w.highest
	n.step(raft.Read{Token: key.token})
}
