package group_test

import (
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/raft"
)

// Guards against a snapshot of several messages that never arrives as a whole,
// and one that is lost in the middle of a restart.
func TestLargeSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, group.WithSnapshots(5, 1<<30))
		defer f.close()
		for i := range 9 {
			f.propose(strings.Repeat(string(rune('a'+i)), raft.DefaultMaxMessage))
		}
		want := f.leader().machine.list()
		r := f.start(2)
		is.NoErr(f.leader().group.Add(t.Context(), 2, f.peers[1]))
		f.until("a voter", func() bool { return f.leader().group.Status().Members.Voters() == 2 })
		f.agree(9)
		is.Equal(r.machine.list(), want)
		is.True(len(r.machine.indexes) < 9) // the first ones came in a snapshot
		is.NoErr(f.halt(2))
		r = f.start(2)
		f.agree(9)
		is.Equal(r.machine.list(), want)
	})
}
