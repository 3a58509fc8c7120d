package raft_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/raft"
)

// Guards against messages whose indexes or terms would corrupt the log or
// overflow.
func TestDecodeRefuses(t *testing.T) {
	append1 := raft.Message{Kind: raft.MessageAppend, From: 1, To: 2, Term: 3, Index: 5, LogTerm: 2}
	with := func(change func(*raft.Message)) raft.Message {
		m := append1
		change(&m)
		return m
	}
	cases := map[string]raft.Message{
		"unknown kind":           with(func(m *raft.Message) { m.Kind = "shout" }),
		"same replica":           with(func(m *raft.Message) { m.To = 1 }),
		"gap":                    with(func(m *raft.Message) { m.Entries = []raft.Entry{{Index: 7, Term: 3}} }),
		"decreasing term":        with(func(m *raft.Message) { m.Entries = []raft.Entry{{Index: 6, Term: 1}} }),
		"term above the message": with(func(m *raft.Message) { m.Entries = []raft.Entry{{Index: 6, Term: 4}} }),
		"huge index":             with(func(m *raft.Message) { m.Index = 1 << 63 }),
		"members":                with(func(m *raft.Message) { m.Entries = []raft.Entry{{Index: 6, Term: 3, Kind: raft.EntryMembers}} }),
		"entries in a vote":      with(func(m *raft.Message) { m.Kind, m.Entries = raft.MessageVote, []raft.Entry{{Index: 6, Term: 3}} }),
		"part too long":          with(func(m *raft.Message) { m.Kind, m.Part, m.Total = raft.MessageSnapshot, []byte("abc"), 2 }),
		"huge snapshot":          with(func(m *raft.Message) { m.Kind, m.Total = raft.MessageSnapshot, 1<<40 }),
	}
	for name, m := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := raft.Encode(m)
			is.NoErr(err)
			_, err = raft.Decode(data)
			is.True(err != nil)
		})
	}
}

// Guards against input from a peer that crashes the decoder, and against a
// decoded message that crashes a follower or a leader.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := raft.Decode(data)
		if err != nil {
			return
		}
		for _, replicas := range []int{1, 3} {
			c := newCluster(1, replicas, raft.Rules{})
			n := c.elect(10 * time.Second)
			c.commit(10 * time.Second)
			for _, to := range []*node{n, c.nodes[c.ids[len(c.ids)-1]]} {
				got := m
				got.To = to.id
				to.core.Step(c.now, raft.Receive{Message: got})
				to.core.Step(c.now.Add(time.Minute), raft.Tick{})
			}
		}
	})
}
