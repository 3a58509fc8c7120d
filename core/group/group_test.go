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
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/store"
)

func (f *fleet) follower() *replica {
	l := f.leader()
	for id, r := range f.replicas {
		if id != l.id && r.group.Status().Leader == l.id {
			return r
		}
	}
	f.t.Fatal("no follower")
	return nil
}

// Guards against a follower that accepts commands, a result that belongs to
// another command, and replicas that apply in different orders.
func TestThreeReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3)
		defer f.close()
		l := f.leader()
		follower := f.follower()
		_, err := follower.group.Propose(t.Context(), []byte("no"))
		var lost *group.NotLeaderError
		is.True(errors.As(err, &lost))
		is.Equal(lost.Leader, l.id)
		is.True(errors.As(follower.group.Read(t.Context()), &lost))

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
		f.agree(200)
		is.Equal(follower.machine.list(), l.machine.list())
		s := l.group.Status()
		is.Equal(s.Role, raft.RoleLeader)
		is.Equal(s.Members.Voters(), 3)
		is.True(s.Syncs < 100) // batches share a sync
	})
}

// Guards against commands that are lost or replayed into the machine by a
// restart after hundreds of changes.
func TestRestartAfterManyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1)
		var want []string
		for i := range 550 {
			want = append(want, fmt.Sprintf("c%d", i))
			f.propose(want[i])
		}
		is.NoErr(f.halt(1))
		r := f.start(1, group.WithFound(true)) // no effect on a folder in use
		defer f.close()
		f.leader()
		is.Equal(r.machine.list(), want)
		is.True(len(r.machine.indexes) < 200) // the rest came from a snapshot
		is.True(slices.IsSorted(r.machine.indexes))
	})
}

// Guards against a shutdown that leaves the group without a leader for an
// election timeout.
func TestTransferBeforeShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3)
		defer f.close()
		f.propose("a")
		old := f.leader()
		is.NoErr(old.group.Transfer(t.Context()))
		is.NoErr(f.halt(old.id))
		start := time.Now()
		f.leader()
		is.True(time.Since(start) < 500*time.Millisecond)
		f.propose("b")
		f.agree(2)
	})
}

// Guards against a call that waits for ever, and an outcome that is reported
// as failed when it is unknown.
func TestOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3)
		l := f.leader()
		f.setCut(l.id, true)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := l.group.Propose(ctx, []byte("a"))
		var unknown *group.UnknownError
		is.True(errors.As(err, &unknown))
		is.True(errors.Is(err, context.DeadlineExceeded))
		_, err = l.group.Propose(t.Context(), []byte("b")) // until it steps down
		is.True(errors.As(err, &unknown))
		is.True(l.group.Status().Age >= time.Second)
		time.Sleep(time.Minute)
		is.True(l.group.Status().Age > time.Minute)
		f.setCut(l.id, false)
		f.propose("c")
		f.agree(1)
		f.close()
		_, err = l.group.Propose(t.Context(), []byte("d"))
		var over *group.ShutdownError
		is.True(errors.As(err, &over))
		is.True(errors.As(l.group.Read(t.Context()), &over))
	})
}

// Guards against a new replica that does not become a voter, and a removed one
// that still counts.
func TestAddAndRemove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1)
		defer f.close()
		for i := range 150 {
			f.propose(fmt.Sprintf("c%d", i)) // more than one snapshot
		}
		for id := uint64(2); id <= 3; id++ {
			f.start(id)
			is.NoErr(f.leader().group.Add(t.Context(), id, netip.MustParseAddrPort("127.0.0.1:7010")))
			f.until("a voter", func() bool { return f.leader().group.Status().Members.Voters() == int(id) })
		}
		f.agree(150)
		first := f.leader()
		is.NoErr(first.group.Remove(t.Context(), first.id))
		is.NoErr(f.halt(first.id))
		f.propose("after")
		f.agree(151)
		is.Equal(f.leader().group.Status().Members.Voters(), 2)
		var refused *group.ChangeError
		is.True(errors.As(f.leader().group.Remove(t.Context(), 9), &refused))
	})
}

// roles collects the roles that a replica logs.
type roles struct {
	mu   sync.Mutex
	list []string
}

func (r *roles) logger() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.AddHook(r)
	return logrus.NewEntry(logger)
}

func (r *roles) Levels() []logrus.Level { return logrus.AllLevels }

func (r *roles) Fire(e *logrus.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if role, ok := e.Data["role"].(string); ok {
		r.list = append(r.list, role)
	}
	return nil
}

func (r *roles) seen() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list)
}

// Guards against a replica with a lost or damaged disk that does not recover, or
// that counts before it has.
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
	for name, harm := range map[string]func(string) error{"lost": lose, "found left on": lose, "damaged": damage} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 3)
				defer f.close()
				f.propose("a")
				f.propose("b")
				f.agree(2)
				l, r := f.leader(), f.follower()
				is.NoErr(f.halt(r.id))
				is.NoErr(harm(f.dir(r.id)))
				roles := &roles{}
				r = f.start(r.id, group.WithFound(name == "found left on"), group.WithLogger(roles.logger()))
				f.until("admission", func() bool {
					s := r.group.Status()
					m, _ := s.Members.Find(r.id)
					return m.Incarnation != 0 && s.Role == raft.RoleFollower
				})
				// Between two looks a replica may recover and be admitted; the roles
				// that it logs show the order.
				is.True(slices.Contains(roles.seen(), string(raft.RoleRecovering)))
				is.True(!slices.Contains(roles.seen(), string(raft.RoleLeader)))
				is.NoErr(f.halt(l.id)) // the second failure right after the repair
				f.propose("c")
				f.agree(3)
			})
		})
	}
}

// Guards against a single replica that silently starts empty over a damaged log.
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

// Guards against a replica that goes on after its disk has failed.
func TestDiskFailureEndsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1)
		f.propose("a")
		is.NoErr(f.halt(1))
		files := store.OS()
		failing := errors.New("no space left")
		inner := files.Append
		files.Append = func(name string) (store.Handle, error) {
			h, err := inner(name)
			h.Sync = func() error { return failing }
			return h, err
		}
		r := f.start(1, group.WithFiles(files))
		is.True(errors.Is(<-r.over, failing))
		r.stop()
		_, err := r.group.Propose(t.Context(), nil)
		var over *group.ShutdownError
		is.True(errors.As(err, &over))
	})
}

// Guards against a replica that ends when its disk is full, and against a leader
// that keeps the lead while it cannot write.
func TestFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3)
		full := map[uint64]*atomic.Bool{1: {}, 2: {}, 3: {}}
		for id, flag := range full {
			is.NoErr(f.halt(id))
			f.start(id, group.WithFiles(limited(flag)))
		}
		f.propose("a")
		l := f.leader()

		full[l.id].Store(true)
		_, err := l.group.Propose(t.Context(), []byte("b"))
		var unknown *group.UnknownError
		is.True(errors.As(err, &unknown)) // the others may have it
		f.propose("c")
		is.True(f.leader().id != l.id)
		time.Sleep(10 * time.Second)
		full[l.id].Store(false)
		f.propose("d")
		f.until("catching up", func() bool { return slices.Contains(l.machine.list(), "d") })
		select {
		case err := <-l.over:
			t.Fatalf("ended: %v", err)
		default:
		}
		f.close()
	})
}

// limited returns files that refuse every write while the disk is full.
func limited(full *atomic.Bool) store.Files {
	files := store.OS()
	refuse := func(open func(string) (store.Handle, error)) func(string) (store.Handle, error) {
		return func(name string) (store.Handle, error) {
			h, err := open(name)
			write := h.Write
			h.Write = func(data []byte) error {
				if full.Load() {
					return syscall.ENOSPC
				}
				return write(data)
			}
			return h, err
		}
	}
	files.Append, files.Create = refuse(files.Append), refuse(files.Create)
	return files
}
