package raft_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/wire"
)

// driver runs one core with events that a test chooses.
type driver struct {
	core         *raft.Core
	now          time.Time
	holdPersists bool // Persist actions are not acknowledged
	reads        int  // ReadReady actions seen
	sent         []raft.Message
}

func newDriver(t *testing.T, cfg raft.Config) *driver {
	t.Helper()
	d := &driver{now: time.Unix(0, 0)}
	if cfg.Snapshot.Index == 0 && !cfg.Recovering {
		cfg.Snapshot = raft.Founding(raft.Members{{ID: 1}, {ID: 2}, {ID: 3}})
	}
	cfg.Rand = rand.New(rand.NewSource(1))
	core, err := raft.New(cfg, d.now)
	if err != nil {
		t.Fatal(err)
	}
	d.core = core
	return d
}

func (d *driver) step(event raft.Event) {
	for queue := []raft.Event{event}; len(queue) > 0; queue = queue[1:] {
		for _, action := range d.core.Step(d.now, queue[0]) {
			switch a := action.(type) {
			case raft.Persist:
				if !d.holdPersists {
					queue = append(queue, raft.Persisted{Seq: a.Seq})
				}
			case raft.Send:
				d.sent = append(d.sent, a.Message)
			case raft.ReadReady:
				d.reads++
			}
		}
	}
}

// receive passes a message from the given replica to the core. If it has no term,
// it gets the core's.
func (d *driver) receive(from uint64, m raft.Message) {
	s := d.core.Status()
	m.From, m.To = from, s.ID
	if m.Term == 0 {
		m.Term = s.Term
	}
	d.step(raft.Receive{Message: m})
}

func (d *driver) acknowledge(from, index uint64) {
	d.receive(from, raft.Message{Kind: raft.MessageAppendReply, Index: index, Incarnation: from})
}

// winElection makes the core the leader with the vote of replica 2.
func (d *driver) winElection() {
	d.now = d.now.Add(3 * time.Second)
	d.step(raft.Tick{})
	d.receive(2, raft.Message{Kind: raft.MessagePreVoteReply, Term: d.core.Status().Term + 1})
	d.receive(2, raft.Message{Kind: raft.MessageVoteReply})
}

// Guards against a leader that commits an entry of an earlier term before one of
// its own term. A later leader could replace such an entry.
func TestCommitNeedsOwnTerm(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, raft.Config{ID: 1, Hard: raft.HardState{Term: 2}, Entries: []raft.Entry{{Index: 2, Term: 2}}})
	d.winElection()
	is.Equal(d.core.Role(), raft.RoleLeader)
	d.acknowledge(2, 2)
	is.Equal(d.core.Status().Commit, uint64(1))
	d.acknowledge(2, 3)
	is.Equal(d.core.Status().Commit, uint64(3))
}

// Guards against a leader that counts itself towards a quorum before its own disk
// has stored the entry.
func TestCommitNeedsOwnDisk(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, raft.Config{ID: 1})
	d.winElection()
	d.acknowledge(2, 2)
	is.Equal(d.core.Status().Commit, uint64(2))
	d.holdPersists = true
	d.step(raft.Propose{Commands: [][]byte{[]byte("a")}})
	d.acknowledge(2, 3)
	is.Equal(d.core.Status().Commit, uint64(2))
	d.step(raft.Persisted{Seq: 100})
	is.Equal(d.core.Status().Commit, uint64(3))
}

// Guards against a quorum that includes a replica which lost its disk and has not
// recovered.
func TestRecoveringIsNotCounted(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, raft.Config{ID: 1})
	d.winElection()
	lost := raft.Message{Kind: raft.MessageAppendReply, Index: 2, Incarnation: 7, Recovering: true, Round: 9}
	d.receive(2, lost)
	is.Equal(d.core.Status().Commit, uint64(1))
	d.acknowledge(3, 2)
	is.Equal(d.core.Status().Commit, uint64(2))
	d.step(raft.Read{Token: 1})
	lost.Round = 100
	d.receive(2, lost)
	is.Equal(d.reads, 0)
}

func encodeMembers(t *testing.T, members raft.Members) []byte {
	t.Helper()
	data, err := wire.Encode(members)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a replica that ends its recovery because of an uncommitted entry,
// or votes before it is admitted.
func TestAdmissionIsCommitted(t *testing.T) {
	is := is.New(t)
	members := raft.Members{{ID: 1}, {ID: 2}, {ID: 3, Incarnation: 7}}
	d := newDriver(t, raft.Config{ID: 3, Incarnation: 7, Recovering: true})
	snapshot := raft.Founding(raft.Members{{ID: 1}, {ID: 2}, {ID: 3}})
	d.receive(1, raft.Message{
		Kind: raft.MessageSnapshot, Term: 2, Index: snapshot.Index, LogTerm: 1, Members: snapshot.Members,
	})
	entry := raft.Entry{Index: 2, Term: 2, Kind: raft.EntryMembers, Data: encodeMembers(t, members)}
	d.receive(1, raft.Message{Kind: raft.MessageAppend, Index: 1, LogTerm: 1, Entries: []raft.Entry{entry}})
	is.Equal(d.core.Role(), raft.RoleRecovering)
	d.now = d.now.Add(10 * time.Second) // the leader's last message has expired
	d.sent = nil
	d.receive(2, raft.Message{Kind: raft.MessageVote, Term: 3, Index: 9, LogTerm: 2})
	is.Equal(len(d.sent), 1)
	is.True(d.sent[0].Reject)
	d.receive(1, raft.Message{Kind: raft.MessageHeartbeat, Term: 2, Commit: 2})
	is.Equal(d.core.Role(), raft.RoleFollower)
}

// Guards against a vote for a candidate that skips the pre-vote and whose log lacks
// committed entries.
func TestVoteNeedsLog(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, raft.Config{ID: 1, Hard: raft.HardState{Term: 2}, Entries: []raft.Entry{{Index: 2, Term: 2}}})
	for _, behind := range []raft.Message{{Index: 1, LogTerm: 2}, {Index: 9, LogTerm: 1}} {
		behind.Kind, behind.Term = raft.MessageVote, 5
		d.sent = nil
		d.receive(2, behind)
		is.True(d.sent[0].Reject)
	}
	d.sent = nil
	d.receive(3, raft.Message{Kind: raft.MessageVote, Term: 5, Index: 2, LogTerm: 2})
	is.True(!d.sent[0].Reject)
}

// Guards against a read that is answered by a deposed leader, or by a new leader
// before it knows which entries its predecessor committed.
func TestReadNeedsQuorum(t *testing.T) {
	is := is.New(t)
	early := newDriver(t, raft.Config{ID: 1})
	early.winElection()
	early.step(raft.Read{Token: 1})
	early.receive(2, raft.Message{Kind: raft.MessageHeartbeatReply, Incarnation: 2, Round: 2})
	is.Equal(early.reads, 0) // no entry of the new term is committed

	d := newDriver(t, raft.Config{ID: 1})
	d.winElection()
	d.step(raft.Read{Token: 1})
	is.Equal(d.reads, 0)
	d.acknowledge(2, 2)
	is.Equal(d.reads, 0) // not a reply to a round after the read
	d.receive(2, raft.Message{Kind: raft.MessageHeartbeatReply, Incarnation: 2, Round: 2})
	is.Equal(d.reads, 1)
}
