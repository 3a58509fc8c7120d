package raft_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/raft"
)

// others returns the replicas besides the given one.
func (w *world) others(than *node) []*node {
	var out []*node
	for _, id := range w.ids {
		if id != than.id {
			out = append(out, w.nodes[id])
		}
	}
	return out
}

// lostDisk lets one replica lose its disk and the leader fail, at once or when
// the replica is admitted again. With apart it is at once, and the third replica
// was separated when the last command was committed: only the other two had it.
func lostDisk(seed int64, apart bool, lose func(*node), without raft.Rules) error {
	w := newWorld(seed, 3, without)
	l := w.elect(10 * time.Second)
	lost, third := w.others(l)[0], w.others(l)[1]
	w.commit(10 * time.Second)
	w.run(time.Second)
	if apart {
		w.isolate(third.id)
	}
	if !w.commit(10 * time.Second) {
		return errors.New("nothing commits at the start")
	}
	lose(lost)
	admitted := !apart && w.until(3*time.Second, func() bool {
		return lost.core.Role() == raft.RoleFollower && lost.applied == l.applied
	})
	l.crash()
	w.heal()
	again := w.commit(10 * time.Second)
	if again != admitted && w.broken == nil {
		return errors.New("the group commits without a majority, or does not with one")
	}
	l.restart()
	w.commit(10 * time.Second)
	w.run(5 * time.Second)
	for _, id := range w.ids {
		if w.broken == nil {
			w.checkComplete(w.nodes[id], w.leader())
		}
	}
	return w.broken
}

// Guards against a replica that votes or is counted after its disk was lost,
// which loses an acknowledged command when a second replica fails.
func TestLostDisk(t *testing.T) {
	is := is.New(t)
	const seed = 7
	err := lostDisk(seed, true, (*node).loseDisk, raft.Rules{Recovery: true})
	t.Log("naive:", err)
	is.True(err != nil)
	is.NoErr(lostDisk(seed, true, (*node).loseDisk, raft.Rules{}))
	is.NoErr(lostDisk(seed, false, (*node).loseDisk, raft.Rules{})) // admitted before the leader fails
}

// Guards against the same when the setting to found a group was left on.
func TestFoundAgain(t *testing.T) {
	is := is.New(t)
	const seed = 7
	err := lostDisk(seed, true, (*node).foundAgain, raft.Rules{Doubt: true})
	t.Log("naive:", err)
	is.True(err != nil)
	is.NoErr(lostDisk(seed, true, (*node).foundAgain, raft.Rules{}))
	is.NoErr(lostDisk(seed, false, (*node).foundAgain, raft.Rules{}))
}

// Guards against the same in a random schedule.
func TestLostDiskSchedule(t *testing.T) {
	is := is.New(t)
	_, _, err := runSeed(naiveSeed, raft.Rules{Recovery: true})
	t.Log("naive:", err)
	is.True(err != nil)
	_, _, err = runSeed(naiveSeed, raft.Rules{})
	is.NoErr(err)
}

// naiveSeed is the first seed whose schedule breaks the group without the
// lost-disk rule.
const naiveSeed = 17

// separated cuts a follower off for ten minutes, only its inbound links if it
// is deaf, and returns whether the leader kept its term throughout.
func separated(seed int64, deaf bool, without raft.Rules) (bool, error) {
	w := newWorld(seed, 3, without)
	l := w.elect(10 * time.Second)
	term := l.core.Status().Term
	follower := w.others(l)[0]
	if deaf {
		w.deafen(follower.id)
	} else {
		w.isolate(follower.id)
	}
	w.run(10 * time.Minute)
	w.commit(10 * time.Second)
	w.heal()
	w.run(10 * time.Second)
	if w.broken == nil && w.leader() != nil {
		w.checkComplete(follower, w.leader())
	}
	return len(w.leaders) == 1 && l.core.Status().Term == term, w.broken
}

// Guards against a long-separated replica, or one that can send but not
// receive, whose terms depose a working leader.
func TestSeparated(t *testing.T) {
	for name, deaf := range map[string]bool{"both ways": false, "deaf": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const seed = 3
			kept, _ := separated(seed, deaf, raft.Rules{PreVote: true})
			is.True(!kept) // naive
			kept, err := separated(seed, deaf, raft.Rules{})
			is.NoErr(err)
			is.True(kept)
		})
	}
}

// deafLeader cuts what the leader receives and returns whether the group commits
// again within 10 s.
func deafLeader(seed int64, without raft.Rules) (bool, error) {
	w := newWorld(seed, 3, without)
	w.deafen(w.elect(10 * time.Second).id)
	return w.commit(10 * time.Second), w.broken
}

// Guards against a leader that can send but not receive and blocks all changes.
func TestDeafLeader(t *testing.T) {
	is := is.New(t)
	const seed = 5
	commits, _ := deafLeader(seed, raft.Rules{CheckQuorum: true})
	is.True(!commits) // naive
	commits, err := deafLeader(seed, raft.Rules{})
	is.NoErr(err)
	is.True(commits)
}
