package raft_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/raft"
)

// Guards against a leader that sends without limit to a follower that does not
// acknowledge, which fills its memory and the link.
func TestInflightIsBounded(t *testing.T) {
	is := is.New(t)
	const window, command = 1000, 100
	now := time.Unix(0, 0)
	core, err := raft.New(raft.Config{
		ID: 1, Snapshot: raft.Founding(raft.Members{{ID: 1}, {ID: 2}}),
		Rand: rand.New(rand.NewSource(1)), MaxMessageBytes: 300, MaxInflightBytes: window,
	}, now)
	is.NoErr(err)
	sent := 0
	feed := func(event raft.Event) {
		queue := []raft.Event{event}
		for len(queue) > 0 {
			actions := core.Step(now, queue[0])
			queue = queue[1:]
			for _, action := range actions {
				switch a := action.(type) {
				case raft.Persist:
					queue = append(queue, raft.Persisted{Seq: a.Seq})
				case raft.Send:
					for _, entry := range a.Message.Entries {
						sent += len(entry.Data)
					}
					if reply, ok := acknowledgeEmpty(a.Message); ok {
						queue = append(queue, raft.Receive{Message: reply})
					}
				}
			}
		}
	}
	now = now.Add(3 * time.Second)
	feed(raft.Tick{})
	is.Equal(core.Role(), raft.RoleLeader)
	for range 100 {
		feed(raft.Propose{Commands: [][]byte{make([]byte, command)}})
	}
	is.True(sent > 0)
	is.True(sent <= window+300)
}

// acknowledgeEmpty returns the positive reply to a vote request or to an append
// without command data, and false for other messages.
func acknowledgeEmpty(m raft.Message) (raft.Message, bool) {
	reply := raft.Message{From: m.To, To: m.From, Term: m.Term, Round: m.Round, Incarnation: 9}
	switch m.Kind {
	case raft.MessagePreVote:
		reply.Kind = raft.MessagePreVoteReply
	case raft.MessageVote:
		reply.Kind = raft.MessageVoteReply
	case raft.MessageAppend:
		reply.Kind, reply.Index = raft.MessageAppendReply, m.Index+uint64(len(m.Entries))
		for _, entry := range m.Entries {
			if len(entry.Data) > 0 {
				return reply, false
			}
		}
	default:
		return reply, false
	}
	return reply, true
}

// Guards against a leadership transfer that loses commands or leaves the group
// without a leader for an election timeout.
func TestTransfer(t *testing.T) {
	is := is.New(t)
	c := newCluster(11, 3, raft.Rules{})
	l := c.elect(10 * time.Second)
	is.True(c.commit(10 * time.Second))
	to := c.others(l)[0]
	l.step(raft.Transfer{To: to.id})
	is.True(c.runUntil(200*time.Millisecond, func() bool { return c.leader() == to }))
	is.True(c.commit(time.Second))
	is.NoErr(c.violation)
}

// Guards against new replicas that become voters before they have caught up, and
// against a removed leader that stays leader.
func TestMembership(t *testing.T) {
	is := is.New(t)
	c := newCluster(12, 1, raft.Rules{})
	l := c.elect(10 * time.Second)
	for range 20 {
		is.True(c.commit(time.Second))
	}
	l.compact()
	for id := uint64(2); id <= 3; id++ {
		n := c.create(id, false)
		l.step(raft.Add{ID: id})
		is.True(c.runUntil(5*time.Second, func() bool {
			return l.core.Status().Members.Voters() == int(id) && l.core.Status().Backlog == 0
		}))
		is.Equal(n.core.Role(), raft.RoleFollower)
	}
	is.True(c.commit(time.Second))
	l.step(raft.Remove{ID: l.id})
	is.True(c.runUntil(10*time.Second, func() bool { return c.leader() != nil && c.leader() != l }))
	is.True(c.commit(time.Second))
	is.Equal(c.leader().core.Status().Members.Voters(), 2)
	is.NoErr(c.violation)
}
