package raft_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/wire"
)

// driver feeds one core by hand.
type driver struct {
	core  *raft.Core
	now   time.Time
	stuck bool // Persist actions are not acknowledged
	reads int  // ReadReady actions seen
	sent  []raft.Message
}

func drive(t *testing.T, cfg raft.Config) *driver {
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
				if !d.stuck {
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

// receive passes a message of the core's term from the replica.
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

// win makes replica 1 the leader with the vote of replica 2.
func (d *driver) win() {
	d.now = d.now.Add(3 * time.Second)
	d.step(raft.Tick{})
	d.receive(2, raft.Message{Kind: raft.MessagePreVoteReply, Term: d.core.Status().Term + 1})
	d.receive(2, raft.Message{Kind: raft.MessageVoteReply})
}

// Guards against an entry of an earlier term that is committed alone, and that a
// later leader could then replace.
func TestCommitNeedsOwnTerm(t *testing.T) {
	is := is.New(t)
	d := drive(t, raft.Config{ID: 1, Hard: raft.HardState{Term: 2}, Entries: []raft.Entry{{Index: 2, Term: 2}}})
	d.win()
	is.Equal(d.core.Role(), raft.RoleLeader)
	d.acknowledge(2, 2)
	is.Equal(d.core.Status().Commit, uint64(1))
	d.acknowledge(2, 3)
	is.Equal(d.core.Status().Commit, uint64(3))
}

// Guards against a leader that counts itself before its own disk has the entry.
func TestCommitNeedsOwnDisk(t *testing.T) {
	is := is.New(t)
	d := drive(t, raft.Config{ID: 1})
	d.win()
	d.acknowledge(2, 2)
	is.Equal(d.core.Status().Commit, uint64(2))
	d.stuck = true
	d.step(raft.Propose{Commands: [][]byte{[]byte("a")}})
	d.acknowledge(2, 3)
	is.Equal(d.core.Status().Commit, uint64(2))
	d.step(raft.Persisted{Seq: 100})
	is.Equal(d.core.Status().Commit, uint64(3))
}

// Guards against a quorum that includes a replica without its disk.
func TestRecoveringIsNotCounted(t *testing.T) {
	is := is.New(t)
	d := drive(t, raft.Config{ID: 1})
	d.win()
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

// Guards against a replica that counts itself admitted by an entry that may
// still be replaced, or votes before it is admitted.
func TestAdmissionIsCommitted(t *testing.T) {
	is := is.New(t)
	members := raft.Members{{ID: 1}, {ID: 2}, {ID: 3, Incarnation: 7}}
	d := drive(t, raft.Config{ID: 3, Incarnation: 7, Recovering: true})
	snapshot := raft.Founding(raft.Members{{ID: 1}, {ID: 2}, {ID: 3}})
	d.receive(1, raft.Message{
		Kind: raft.MessageSnapshot, Term: 2, Index: snapshot.Index, LogTerm: 1, Members: snapshot.Members,
	})
	entry := raft.Entry{Index: 2, Term: 2, Kind: raft.EntryMembers, Data: encodeMembers(t, members)}
	d.receive(1, raft.Message{Kind: raft.MessageAppend, Index: 1, LogTerm: 1, Entries: []raft.Entry{entry}})
	is.Equal(d.core.Role(), raft.RoleRecovering)
	d.now = d.now.Add(10 * time.Second) // no leader any more
	d.sent = nil
	d.receive(2, raft.Message{Kind: raft.MessageVote, Term: 3, Index: 9, LogTerm: 2})
	is.Equal(len(d.sent), 1)
	is.True(d.sent[0].Reject)
	d.receive(1, raft.Message{Kind: raft.MessageHeartbeat, Term: 2, Commit: 2})
	is.Equal(d.core.Role(), raft.RoleFollower)
}

// Guards against a vote for a candidate that lacks committed entries and skips
// the pre-vote.
func TestVoteNeedsLog(t *testing.T) {
	is := is.New(t)
	d := drive(t, raft.Config{ID: 1, Hard: raft.HardState{Term: 2}, Entries: []raft.Entry{{Index: 2, Term: 2}}})
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

// Guards against a read that a deposed leader answers, or a new leader before it
// knows what its predecessor committed.
func TestReadNeedsQuorum(t *testing.T) {
	is := is.New(t)
	early := drive(t, raft.Config{ID: 1})
	early.win()
	early.step(raft.Read{Token: 1})
	early.receive(2, raft.Message{Kind: raft.MessageHeartbeatReply, Incarnation: 2, Round: 2})
	is.Equal(early.reads, 0) // nothing of the new term is committed

	d := drive(t, raft.Config{ID: 1})
	d.win()
	d.step(raft.Read{Token: 1})
	is.Equal(d.reads, 0)
	d.acknowledge(2, 2)
	is.Equal(d.reads, 0) // answers no round after the read
	d.receive(2, raft.Message{Kind: raft.MessageHeartbeatReply, Incarnation: 2, Round: 2})
	is.Equal(d.reads, 1)
}
