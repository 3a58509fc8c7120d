package group_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/store"
)

func (c *cluster) follower() *replica {
	l := c.leader()
	for id, r := range c.replicas {
		if id != l.id && r.group.Status().Leader == l.id {
			return r
		}
	}
	c.t.Fatal("no follower")
	return nil
}

// Guards against a follower that accepts commands, a result returned for the
// wrong command, and replicas that apply commands in different orders.
func TestThreeReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		defer c.close()
		l := c.leader()
		follower := c.follower()
		_, err := follower.group.Propose(t.Context(), []byte("no"))
		var notLeader *group.NotLeaderError
		is.True(errors.As(err, &notLeader))
		is.Equal(notLeader.Leader, l.id)
		is.True(errors.As(follower.group.Read(t.Context()), &notLeader))

		results := make(chan string, 200)
		for i := range 200 {
			go func() {
				result, err := l.group.Propose(t.Context(), fmt.Appendf(nil, "c%d", i))
				if err != nil {
					t.Error(err)
				}
				results <- fmt.Sprintf("%s c%d", result, i)
			}()
		}
		list := make(map[string]bool)
		for range 200 {
			list[<-results] = true
		}
		is.NoErr(l.group.Read(t.Context()))
		for at, command := range l.machine.list() {
			is.True(list[fmt.Sprintf("%d:%s %s", at+1, command, command)])
		}
		c.waitForCommands(200)
		is.Equal(follower.machine.list(), l.machine.list())
		s := l.group.Status()
		is.Equal(s.Role, raft.RoleLeader)
		is.Equal(s.Members.Voters(), 3)
		is.True(s.Syncs < 100) // several proposals share a sync
	})
}

// Guards against a restart after hundreds of commands that loses commands or
// applies them twice.
func TestRestartAfterManyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1)
		var want []string
		for i := range 550 {
			want = append(want, fmt.Sprintf("c%d", i))
			c.propose(want[i])
		}
		is.NoErr(c.stopReplica(1))
		r := c.start(1, group.WithFound(true)) // WithFound has no effect on a directory in use
		defer c.close()
		c.leader()
		is.Equal(r.machine.list(), want)
		is.True(len(r.machine.indexes) < 200) // the rest came from a snapshot
		is.True(slices.IsSorted(r.machine.indexes))
	})
}

// Guards against a leader whose shutdown after a transfer leaves the group
// without a leader for an election timeout.
func TestTransferBeforeShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		defer c.close()
		c.propose("a")
		old := c.leader()
		is.NoErr(old.group.Transfer(t.Context()))
		is.NoErr(c.stopReplica(old.id))
		start := time.Now()
		c.leader()
		is.True(time.Since(start) < 500*time.Millisecond)
		c.propose("b")
		c.waitForCommands(2)
	})
}

// Guards against a call that never returns, and an unknown outcome that is
// reported as a failure.
func TestOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		l := c.leader()
		c.setIsolated(l.id, true)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := l.group.Propose(ctx, []byte("a"))
		var unknown *group.UnknownError
		is.True(errors.As(err, &unknown))
		is.True(errors.Is(err, context.DeadlineExceeded))
		_, err = l.group.Propose(t.Context(), []byte("b")) // returns when the leader steps down
		is.True(errors.As(err, &unknown))
		is.True(l.group.Status().Staleness >= time.Second)
		time.Sleep(time.Minute)
		is.True(l.group.Status().Staleness > time.Minute)
		c.setIsolated(l.id, false)
		c.propose("c")
		c.waitForCommands(1)
		c.close()
		_, err = l.group.Propose(t.Context(), []byte("d"))
		var shutdown *group.ShutdownError
		is.True(errors.As(err, &shutdown))
		is.True(errors.As(l.group.Read(t.Context()), &shutdown))
	})
}

// Guards against a new replica that does not become a voter, and a removed one
// that still counts towards the quorum.
func TestAddAndRemove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1)
		defer c.close()
		for i := range 150 {
			c.propose(fmt.Sprintf("c%d", i)) // enough for more than one snapshot
		}
		for id := uint64(2); id <= 3; id++ {
			c.start(id)
			is.NoErr(c.leader().group.Add(t.Context(), id, netip.MustParseAddrPort("127.0.0.1:7010")))
			c.waitUntil("a voter", func() bool { return c.leader().group.Status().Members.Voters() == int(id) })
		}
		c.waitForCommands(150)
		first := c.leader()
		is.NoErr(first.group.Remove(t.Context(), first.id))
		is.NoErr(c.stopReplica(first.id))
		c.propose("after")
		c.waitForCommands(151)
		is.Equal(c.leader().group.Status().Members.Voters(), 2)
		var refused *group.ChangeError
		is.True(errors.As(c.leader().group.Remove(t.Context(), 9), &refused))
	})
}

// roleHook is a logrus hook that collects the roles that a replica logs.
type roleHook struct {
	mu   sync.Mutex
	list []string
}

func (r *roleHook) logger() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.AddHook(r)
	return logrus.NewEntry(logger)
}

func (r *roleHook) Levels() []logrus.Level { return logrus.AllLevels }

func (r *roleHook) Fire(e *logrus.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if role, ok := e.Data["role"].(string); ok {
		r.list = append(r.list, role)
	}
	return nil
}

func (r *roleHook) seen() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list)
}

// Guards against a replica with a lost or damaged disk that does not recover, or
// that takes part in elections before it has recovered.
func TestLostDisk(t *testing.T) {
	lose := func(dir string) error { return os.RemoveAll(dir) }
	damage := func(dir string) error {
		name := filepath.Join(dir, "log-0000000000000001")
		data, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		data[40] ^= 1
		return os.WriteFile(name, data, 0o600)
	}
	for name, corrupt := range map[string]func(string) error{"lost": lose, "found left on": lose, "damaged": damage} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 3)
				defer c.close()
				c.propose("a")
				c.propose("b")
				c.waitForCommands(2)
				l, r := c.leader(), c.follower()
				is.NoErr(c.stopReplica(r.id))
				is.NoErr(corrupt(c.dir(r.id)))
				roles := &roleHook{}
				r = c.start(r.id, group.WithFound(name == "found left on"), group.WithLogger(roles.logger()))
				c.waitUntil("admission", func() bool {
					s := r.group.Status()
					m, _ := s.Members.Find(r.id)
					return m.Incarnation != 0 && s.Role == raft.RoleFollower
				})
				// Polling the status may miss the recovering role, but the logged roles
				// hold it.
				is.True(slices.Contains(roles.seen(), string(raft.RoleRecovering)))
				is.True(!slices.Contains(roles.seen(), string(raft.RoleLeader)))
				is.NoErr(c.stopReplica(l.id)) // a second failure directly after the recovery
				c.propose("c")
				c.waitForCommands(3)
			})
		})
	}
}

// Guards against a single replica that starts with empty state although its
// directory is damaged.
func TestDamageWithoutPeers(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	m := &machine{}
	opts := []group.Option{
		group.WithID(1), group.WithDir(dir), group.WithFound(true),
		group.WithMachine(group.Machine{Apply: m.apply, Snapshot: m.snapshot, Restore: m.restore}),
	}
	_, err := group.New(opts...)
	is.NoErr(err)
	is.NoErr(os.WriteFile(filepath.Join(dir, "identity"), []byte("not an identity"), 0o600))
	_, err = group.New(opts...)
	var damage *store.DamageError
	is.True(errors.As(err, &damage))
}

// Guards against a replica that continues after its disk has failed.
func TestDiskFailureEndsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1)
		c.propose("a")
		is.NoErr(c.stopReplica(1))
		files := store.OS()
		failing := errors.New("no space left")
		inner := files.Append
		files.Append = func(name string) (store.Handle, error) {
			h, err := inner(name)
			h.Sync = func() error { return failing }
			return h, err
		}
		r := c.start(1, group.WithFiles(files))
		is.True(errors.Is(<-r.runResult, failing))
		r.stop()
		_, err := r.group.Propose(t.Context(), nil)
		var shutdown *group.ShutdownError
		is.True(errors.As(err, &shutdown))
	})
}

// Guards against a replica that stops when its disk is full, and a leader that
// keeps leadership while it cannot write.
func TestFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		full := map[uint64]*atomic.Bool{1: {}, 2: {}, 3: {}}
		for id, flag := range full {
			is.NoErr(c.stopReplica(id))
			c.start(id, group.WithFiles(fillableDisk(flag, refuseWrites)))
		}
		c.propose("a")
		l := c.leader()

		full[l.id].Store(true)
		_, err := l.group.Propose(t.Context(), []byte("b"))
		var unknown *group.UnknownError
		is.True(errors.As(err, &unknown)) // the followers may hold the command
		c.propose("c")
		is.True(c.leader().id != l.id)
		time.Sleep(10 * time.Second)
		full[l.id].Store(false)
		c.propose("d")
		c.waitUntil("catching up", func() bool { return slices.Contains(l.machine.list(), "d") })
		select {
		case err := <-l.runResult:
			t.Fatalf("ended: %v", err)
		default:
		}
		c.close()
	})
}
