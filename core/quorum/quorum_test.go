package quorum_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/quorum"
	"github.com/galenalock/galenalock/core/raft"
)

var now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// leader returns the status of replica 1, the leader. Each byte of kinds is a
// member: "v" is a voter, "l" a learner and "j" a joining learner. The ages are
// those of the last replies of the other replicas.
func leader(kinds string, ages ...time.Duration) group.Status {
	s := group.Status{ID: 1, Leader: 1, Commit: 1000}
	for i, kind := range kinds {
		id := uint64(i + 1)
		s.Members = append(s.Members, raft.Member{ID: id, Learner: kind != 'v', Joining: kind == 'j'})
		if i > 0 {
			s.Peers = append(s.Peers, raft.Peer{ID: id, LastReply: now.Add(-ages[i-1]), Match: 1000 - id})
		}
	}
	return s
}

func ExampleDecide() {
	change := quorum.Decide(now, leader("vvvl", 0, 0, 0), quorum.VotersFor(2))
	fmt.Println(change.Action, change.Member.ID)
	// Output: promote 4
}

// Guards against a group that stays too small, removes a voter before it has a
// replacement, removes a voter that replies, or replaces one after a short
// pause.
func TestDecide(t *testing.T) {
	const s, long = time.Second, 3 * time.Second
	for _, c := range []struct {
		name   string
		status group.Status
		wanted int
		action quorum.Action
		member uint64
	}{
		{"complete", leader("vvvvv", 0, 0, 0, 0), 5, quorum.None, 0},
		{"promotion in progress", leader("vvvvjl", 0, 0, 0, 0, 0), 5, quorum.None, 0},
		{"learner that does not reply", leader("vvvl", 0, 0, long), 5, quorum.None, 0},
		{"pause of a voter", leader("vvvl", 0, 2*s, 0), 3, quorum.None, 0},
		{"silent voter without replacement", leader("vvv", 0, long), 3, quorum.None, 0},
		{"silent voter", leader("vvvl", 0, long, 0), 3, quorum.Promote, 4},
		{"replaced", leader("vvvv", 0, long, 0), 3, quorum.Remove, 3},
		{"replaced and back", leader("vvvv", 0, 0, 0), 3, quorum.Remove, 4},
		{"learner that stays silent", leader("vvvl", 0, 0, time.Minute), 3, quorum.Remove, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := quorum.Decide(now, c.status, c.wanted)
			is.Equal(got.Action, c.action)
			is.Equal(got.Member.ID, c.member)
		})
	}
	is := is.New(t)
	recovering := leader("vvvl", 0, 0, 0)
	recovering.Peers[2].Recovering = true
	is.Equal(quorum.Decide(now, recovering, 5).Action, quorum.None)
	behind := leader("vvvl", 0, 0, 0)
	behind.Peers[2].Match = 1
	is.Equal(quorum.Decide(now, behind, 5).Action, quorum.None)
}

// Guards against acknowledging a change that the tolerated losses could undo,
// and against a small fleet that never acknowledges anything.
func TestFormationGate(t *testing.T) {
	is := is.New(t)
	gate := quorum.NewFormationGate(quorum.VotersFor(2))
	ready := func(at time.Duration, kinds string) bool {
		return gate.Ready(now.Add(at), leader(kinds, -at, -at, -at, -at))
	}
	is.True(!ready(0, "vvvll"))
	is.True(!ready(2*time.Second, "vvvvl"))
	is.True(!ready(4*time.Second, "vvvvl"))
	is.True(ready(5*time.Second, "vvvvl"))
	is.True(ready(5*time.Second, "vvvvv"))
}

// Guards against counting a seed as a healthy voter although it has not started
// or does not know yet whether it lost its disk.
func TestFormationGateCountsHealthyVoters(t *testing.T) {
	for name, degrade := range map[string]func(*raft.Peer){
		"never replied": func(p *raft.Peer) { p.LastReply, p.Match = time.Time{}, 0 },
		"recovering":    func(p *raft.Peer) { p.Recovering = true },
		"silent":        func(p *raft.Peer) { p.LastReply = now.Add(-2 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status := leader("vvvvv", 0, 0, 0, 0)
			degrade(&status.Peers[1])
			is.True(!quorum.NewFormationGate(quorum.VotersFor(2)).Ready(now, status))
		})
	}
}
