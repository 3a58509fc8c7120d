package raft_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/raft"
)

// firstToFollower returns the kind of the message that a leader sends to a follower
// which has the first entries of the log only. The leader has committed 100 commands of
// 1,000 bytes each with another follower and has taken a snapshot of them.
func firstToFollower(t *testing.T, trailingBytes int, has uint64) raft.MessageKind {
	t.Helper()
	is := is.New(t)
	now := time.Unix(0, 0)
	core, err := raft.New(raft.Config{
		ID: 1, Snapshot: raft.Founding(raft.Members{{ID: 1}, {ID: 2}, {ID: 3}}),
		Rand: rand.New(rand.NewSource(1)), TrailingBytes: trailingBytes,
	}, now)
	is.NoErr(err)
	var sent []raft.Message // to the follower that lags
	applied := 0
	feed := func(event raft.Event) {
		queue := []raft.Event{event}
		for len(queue) > 0 {
			actions := core.Step(now, queue[0])
			queue = queue[1:]
			for _, action := range actions {
				switch a := action.(type) {
				case raft.Persist:
					queue = append(queue, raft.Persisted{Seq: a.Seq})
				case raft.Apply:
					applied += len(a.Entries)
				case raft.Send:
					if a.Message.To == 3 {
						sent = append(sent, a.Message)
						continue
					}
					reply, _ := acknowledgeEmpty(a.Message)
					if reply.Kind != "" {
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
		feed(raft.Propose{Commands: [][]byte{make([]byte, 1000)}})
	}
	is.True(applied >= 100)
	feed(raft.Compact{Snapshot: core.SnapshotMetadata()})

	sent = nil
	feed(raft.Receive{Message: raft.Message{
		From: 3, To: 1, Term: core.Status().Term, Incarnation: 7, Kind: raft.MessageAppendReply, Index: has,
	}})
	is.True(len(sent) > 0)
	return sent[0].Kind
}

// Guards against a log that grows with the size of its commands for followers that may
// come back: one that lacks more than the limit gets the snapshot.
func TestTrailingEntriesAreLimitedInBytes(t *testing.T) {
	is := is.New(t)
	const last = raft.FoundingIndex + 101 // the first entry of the term and 100 commands
	is.Equal(firstToFollower(t, 5000, last-50), raft.MessageSnapshot)
	is.Equal(firstToFollower(t, 5000, last-3), raft.MessageAppend)
	is.Equal(firstToFollower(t, 1<<20, last-50), raft.MessageAppend) // the limit is not reached
}

// snapshotRoundTrips returns the number of round trips in which a leader sends a snapshot
// of 8 MiB to a follower that loses every message of one round trip.
func snapshotRoundTrips(t *testing.T, inflight, lostRound int) int {
	t.Helper()
	const size, roundTrip = 8 << 20, 40 * time.Millisecond
	is := is.New(t)
	now := time.Unix(0, 0)
	snapshot := raft.Founding(raft.Members{{ID: 1}, {ID: 2}})
	snapshot.Index, snapshot.Term, snapshot.Data = 500, 1, make([]byte, size)
	core, err := raft.New(raft.Config{
		ID: 1, Snapshot: snapshot, Hard: raft.HardState{Term: 1, Commit: 500},
		Rand: rand.New(rand.NewSource(1)), MaxInflightBytes: inflight,
	}, now)
	is.NoErr(err)
	received := uint64(0)
	installed := false
	answer := func(m raft.Message) raft.Message {
		reply, _ := acknowledgeEmpty(m)
		switch m.Kind {
		case raft.MessageHeartbeat:
			reply.Kind, reply.Round = raft.MessageHeartbeatReply, m.Round
		case raft.MessageAppend:
			reply.Kind, reply.Reject, reply.Index, reply.Hint = raft.MessageAppendReply, !installed, m.Index, 0
		case raft.MessageSnapshot:
			if m.Offset == received {
				received += uint64(len(m.Part))
			}
			installed = received == size
			reply.Kind, reply.Index, reply.Offset, reply.Total = raft.MessageSnapshotReply, m.Index, received, size
			if installed {
				reply.Kind = raft.MessageAppendReply
			}
		}
		return reply
	}
	events := []raft.Event{raft.Tick{}}
	now = now.Add(3 * time.Second)
	for round := range 500 {
		var sent []raft.Message
		for len(events) > 0 {
			actions := core.Step(now, events[0])
			events = events[1:]
			for _, action := range actions {
				switch a := action.(type) {
				case raft.Persist:
					events = append(events, raft.Persisted{Seq: a.Seq})
				case raft.Send:
					sent = append(sent, a.Message)
				}
			}
		}
		if installed {
			return round
		}
		now = now.Add(roundTrip)
		events = append(events, raft.Tick{})
		if round == lostRound {
			continue
		}
		for _, m := range sent {
			if reply := answer(m); reply.Kind != "" {
				events = append(events, raft.Receive{Message: reply})
			}
		}
	}
	t.Fatal("the snapshot was not installed")
	return 0
}

// Guards against a snapshot that takes a round trip for each of its parts, so that a
// replica with an empty disk is missing for seconds, and against one that stops after a
// loss.
func TestPartsOfASnapshotAreInFlightTogether(t *testing.T) {
	is := is.New(t)
	is.True(snapshotRoundTrips(t, raft.DefaultMaxInflightBytes, -1) <= 10)
	is.True(snapshotRoundTrips(t, 1, -1) >= 32) // one part of 256 KiB at a time
	for lost := 2; lost < 10; lost++ {          // after the election
		is.True(snapshotRoundTrips(t, raft.DefaultMaxInflightBytes, lost) <= 20)
	}
}
