package raft_test

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/galenalock/galenalock/core/raft"
)

// node is a replica with a simulated disk. Its state machine is the list of the
// applied commands.
type node struct {
	cluster  *simCluster
	id       uint64
	core     *raft.Core
	running  bool
	epoch    int
	nextTick time.Time

	// State on disk.
	incarnation uint64
	recovering  bool
	founder     bool
	refounded   bool // founded the group again after its disk was lost
	hard        raft.HardState
	snapshot    raft.Snapshot
	entries     []raft.Entry
	unsynced    []raft.Persist // not yet durable

	// State in memory.
	appliedCommands  []string
	applied          uint64
	pendingProposals map[uint64]pendingProposal
	proposed         []string
	token            uint64
}

type pendingProposal struct {
	term    uint64
	command string
}

// replaceDisk replaces the disk by an empty one. Without the recovery rule the
// replica then starts like a founder.
func (n *node) replaceDisk(founder bool) {
	n.incarnation = n.cluster.rng.Uint64() | 1
	n.recovering, n.founder = !founder, founder
	n.hard, n.snapshot, n.entries, n.unsynced = raft.HardState{}, raft.Snapshot{}, nil, nil
	if founder || n.cluster.disabledRules.DiskRecovery {
		n.snapshot = raft.Founding(n.cluster.founders)
	}
}

func (n *node) start() {
	n.running = true
	n.epoch++
	n.appliedCommands, n.pendingProposals = nil, map[uint64]pendingProposal{}
	n.restore(n.snapshot)
	core, err := raft.New(raft.Config{
		ID: n.id, Incarnation: n.incarnation, Recovering: n.recovering, Founder: n.founder,
		Hard: n.hard, Snapshot: n.snapshot, Entries: slices.Clone(n.entries),
		Rand:            rand.New(rand.NewSource(n.cluster.rng.Int63())),
		MaxMessageBytes: 200, MaxInflightBytes: 600, TrailingEntries: 4, DisabledRules: n.cluster.disabledRules,
	}, n.cluster.now)
	if err != nil {
		n.cluster.fail("replica %d does not start: %v", n.id, err)
		n.running = false
		return
	}
	n.core, n.nextTick = core, time.Time{}
	n.step(raft.Tick{})
}

// crash stops the replica. It loses its memory and a random number of the latest
// unsynced writes.
func (n *node) crash() {
	if !n.running {
		return
	}
	n.running = false
	for range n.cluster.rng.Intn(len(n.unsynced) + 1) {
		n.syncNext()
	}
	n.unsynced = nil
}

func (n *node) restart() {
	if !n.running {
		n.start()
	}
}

func (n *node) loseDisk() {
	n.crash()
	n.replaceDisk(false)
	n.start()
}

// canFoundAgain reports whether the group can detect that this founder has lost
// its disk, because the other replicas all know more than the founding snapshot.
func (n *node) canFoundAgain() bool {
	if _, founder := n.cluster.founders.Find(n.id); !founder || len(n.cluster.founders) < 2 {
		return false
	}
	for _, other := range n.cluster.others(n) {
		if len(other.entries) == 0 && other.snapshot.Index <= raft.FoundingIndex && !other.recovering {
			return false
		}
	}
	return true
}

// foundAgain replaces the disk of a replica whose setting to found a group was left
// on.
func (n *node) foundAgain() {
	if !n.canFoundAgain() {
		return
	}
	n.crash()
	n.replaceDisk(true)
	n.refounded = true
	n.start()
}

// scheduleTick schedules a Tick for the time that the core requests.
func (n *node) scheduleTick() {
	next := n.core.Next()
	if !next.After(n.cluster.now) {
		next = n.cluster.now.Add(time.Millisecond)
	}
	if n.nextTick.After(n.cluster.now) && !next.Before(n.nextTick) {
		return
	}
	n.nextTick = next
	epoch := n.epoch
	n.cluster.schedule(next.Sub(n.cluster.now), func() {
		if n.running && n.epoch == epoch && n.nextTick.Equal(next) {
			n.step(raft.Tick{})
		}
	})
}

func (n *node) step(event raft.Event) {
	for _, action := range n.core.Step(n.cluster.now, event) {
		n.handleAction(action)
	}
	s := n.core.Status()
	if s.Role == raft.RoleLeader {
		if other, ok := n.cluster.leaders[s.Term]; ok && other != n.id {
			n.cluster.fail("replicas %d and %d lead term %d", other, n.id, s.Term)
		}
		n.cluster.leaders[s.Term] = n.id
	}
	n.scheduleTick()
}

func (n *node) handleAction(action raft.Action) {
	switch a := action.(type) {
	case raft.Persist:
		n.unsynced = append(n.unsynced, a)
		epoch := n.epoch
		latency := time.Duration(n.cluster.rng.Int63n(int64(8 * time.Millisecond)))
		n.cluster.schedule(latency, func() {
			if n.running && n.epoch == epoch && len(n.unsynced) > 0 && n.unsynced[0].Seq <= a.Seq {
				for len(n.unsynced) > 0 && n.unsynced[0].Seq <= a.Seq {
					n.syncNext()
				}
				n.step(raft.Persisted{Seq: a.Seq})
			}
		})
	case raft.Send:
		n.checkDurable(a.Message)
		n.cluster.deliver(a.Message)
	case raft.Apply:
		for _, entry := range a.Entries {
			n.apply(entry)
		}
	case raft.Restore:
		n.restore(a.Snapshot)
	case raft.Accepted:
		for i, command := range n.proposed {
			n.pendingProposals[a.Index+uint64(i)] = pendingProposal{a.Term, command}
		}
		n.proposed = nil
	case raft.Refused:
		n.proposed = nil
	case raft.ReadReady:
		if minIndex := n.cluster.minReadIndex[readKey{n.id, a.Token}]; a.Index < minIndex {
			n.cluster.fail("replica %d reads at index %d although %d was committed", n.id, a.Index, minIndex)
		}
	}
}

// syncNext makes the oldest unsynced Persist durable.
func (n *node) syncNext() {
	p := n.unsynced[0]
	n.unsynced = n.unsynced[1:]
	if p.Recovering != nil {
		n.recovering = *p.Recovering
	}
	if p.Snapshot != nil {
		n.snapshot, n.entries = *p.Snapshot, nil
	}
	for _, entry := range p.Entries {
		keep := entry.Index - n.snapshot.Index - 1
		if keep > uint64(len(n.entries)) {
			n.cluster.fail("replica %d stores %d after %d", n.id, entry.Index, len(n.entries))
			return
		}
		n.entries = append(n.entries[:keep:keep], entry)
	}
	n.hard = *p.Hard
}

// checkDurable fails if the replica sends a vote, an acknowledgement or an admitted
// status that it could lose in a crash.
func (n *node) checkDurable(m raft.Message) {
	if m.Kind == raft.MessageVoteReply && !m.Reject && (n.hard.Term < m.Term || n.hard.Term == m.Term && n.hard.Vote != m.To) {
		n.cluster.fail("replica %d sends a vote for term %d that is not stored", n.id, m.Term)
	}
	last := n.snapshot.Index + uint64(len(n.entries))
	if m.Kind == raft.MessageAppendReply && !m.Reject && n.hard.Term == m.Term && last < m.Index {
		n.cluster.fail("replica %d acknowledges %d and has stored %d", n.id, m.Index, last)
	}
	if !m.Recovering && n.recovering && !n.cluster.disabledRules.DiskRecovery {
		n.cluster.fail("replica %d claims to be admitted before that is stored", n.id)
	}
}

func (n *node) apply(entry raft.Entry) {
	if entry.Index != n.applied+1 {
		n.cluster.fail("replica %d applies %d after %d", n.id, entry.Index, n.applied)
	}
	n.applied = entry.Index
	value := fmt.Sprintf("%d %d %q", entry.Term, entry.Kind, entry.Data)
	if other, ok := n.cluster.committed[entry.Index]; ok && other != value {
		n.cluster.fail("index %d holds %s at replica %d and %s elsewhere", entry.Index, value, n.id, other)
	}
	n.cluster.committed[entry.Index] = value
	n.cluster.highest = max(n.cluster.highest, entry.Index)
	if entry.Kind == raft.EntryCommand {
		n.appliedCommands = append(n.appliedCommands, string(entry.Data))
	}
	if proposal, ok := n.pendingProposals[entry.Index]; ok && proposal.term == entry.Term {
		if proposal.command != string(entry.Data) {
			n.cluster.fail("index %d acknowledges another command", entry.Index)
		}
		n.cluster.acked[proposal.command] = entry.Index
		delete(n.pendingProposals, entry.Index)
	}
}

func (n *node) restore(s raft.Snapshot) {
	n.applied, n.appliedCommands = s.Index, nil
	if len(s.Data) > 0 {
		n.appliedCommands = strings.Split(string(s.Data), ",")
	}
}

// compact stores a snapshot of the state machine, as package group does.
func (n *node) compact() {
	if len(n.unsynced) > 0 || n.applied <= n.snapshot.Index {
		return
	}
	s := n.core.SnapshotMetadata()
	s.Data = []byte(strings.Join(n.appliedCommands, ","))
	n.entries = slices.Clone(n.entries[s.Index-n.snapshot.Index:])
	n.snapshot = s
	n.step(raft.Compact{Snapshot: s})
}

func (n *node) read() {
	n.token++
	key := readKey{n.id, uint64(n.epoch)<<32 + n.token}
	n.cluster.minReadIndex[key] = n.cluster.highest
	n.step(raft.Read{Token: key.token})
}
