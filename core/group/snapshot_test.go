package group_test

import (
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/raft"
)

// Guards against a snapshot larger than one message that is not received
// completely, and one that is lost when its receiver restarts.
func TestLargeSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1, group.WithSnapshotInterval(5, 1<<30))
		defer c.close()
		for i := range 9 {
			c.propose(strings.Repeat(string(rune('a'+i)), raft.DefaultMaxMessageBytes))
		}
		want := c.leader().machine.list()
		r := c.start(2)
		is.NoErr(c.leader().group.Add(t.Context(), 2, c.peers[1]))
		c.waitUntil("a voter", func() bool { return c.leader().group.Status().Members.Voters() == 2 })
		c.waitForCommands(9)
		is.Equal(r.machine.list(), want)
		is.True(len(r.machine.indexes) < 9) // the first commands came in a snapshot
		is.NoErr(c.stopReplica(2))
		r = c.start(2)
		c.waitForCommands(9)
		is.Equal(r.machine.list(), want)
	})
}
