package group_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/store"
)

// fullness is what a full disk does with a call that takes space.
type fullness int

const (
	refuseWrites fullness = iota // files can be opened and created
	refuseFiles                  // neither writes nor files
	halfWrites                   // a write takes half of its data before it fails
)

// fillableDisk returns file operations that fail with ENOSPC while full is set.
func fillableDisk(full *atomic.Bool, kind fullness) store.Files {
	files := store.OS()
	limit := func(open func(string) (store.Handle, error)) func(string) (store.Handle, error) {
		return func(name string) (store.Handle, error) {
			if kind == refuseFiles && full.Load() {
				return store.Handle{}, syscall.ENOSPC
			}
			h, err := open(name)
			write := h.Write
			h.Write = func(data []byte) error {
				if !full.Load() {
					return write(data)
				}
				if kind == halfWrites {
					if err := write(data[:len(data)/2]); err != nil {
						return err
					}
				}
				return syscall.ENOSPC
			}
			return h, err
		}
	}
	files.Append, files.Create = limit(files.Append), limit(files.Create)
	return files
}

// proposeWithin proposes a command to all replicas until one commits it, and reports
// whether that took no longer than limit.
func (c *cluster) proposeWithin(command string, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for n := uint64(0); ctx.Err() == nil; n++ {
		attempt, stop := context.WithTimeout(ctx, time.Second)
		c.mu.Lock()
		r := c.replicas[n%uint64(len(c.peers))+1]
		c.mu.Unlock()
		_, err := r.group.Propose(attempt, []byte(command))
		stop()
		if err == nil {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// Guards against a group that answers no more commands after the disks of its replicas
// were full one after another, never two at once.
func TestCommandsAreAnsweredAfterDisksWereFullInTurn(t *testing.T) {
	for name, kind := range map[string]fullness{"refuses files": refuseFiles, "takes half of a write": halfWrites} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const replicas = 5
				c := newCluster(t, replicas)
				full := make([]atomic.Bool, replicas+1)
				for id := uint64(1); id <= replicas; id++ {
					is.NoErr(c.stopReplica(id))
					c.start(id, group.WithFiles(fillableDisk(&full[id], kind)), group.WithSnapshotInterval(20, 1<<20))
				}
				large := strings.Repeat("x", 8<<10)
				is.True(c.proposeWithin("first", 10*time.Second))
				stop := make(chan struct{})
				var clients sync.WaitGroup
				for n := range 2 {
					clients.Go(func() {
						for i := 0; ; i++ {
							select {
							case <-stop:
								return
							case <-time.After(500 * time.Millisecond):
								c.proposeWithin(fmt.Sprintf("%d-%d %s", n, i, large), 4*time.Second)
							}
						}
					})
				}
				for range 2 {
					for id := 1; id <= replicas; id++ {
						full[id].Store(true)
						time.Sleep(3 * time.Second)
						full[id].Store(false)
						time.Sleep(100 * time.Millisecond)
					}
				}
				time.Sleep(4 * time.Second)
				for n := range 10 {
					is.True(c.proposeWithin(fmt.Sprint("last-", n), 4*time.Second))
				}
				close(stop)
				clients.Wait()
				for id := uint64(1); id <= replicas; id++ {
					r := c.replicas[id]
					c.waitUntil("catching up", func() bool { return len(r.machine.list()) == len(c.replicas[1].machine.list()) })
					select {
					case err := <-r.runResult:
						t.Fatalf("replica %d ended: %v", id, err)
					default:
					}
				}
				c.close()
			})
		})
	}
}
