package group_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/galenalock/galenalock/core/group"
)

// BenchmarkPropose measures commits per second and entries per sync with
// concurrent callers that each wait for their result. The replicas run in one
// process, use one disk and exchange messages over channels.
func BenchmarkPropose(b *testing.B) {
	for _, size := range []int{1, 3} {
		for _, callers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("replicas=%d/callers=%d", size, callers), func(b *testing.B) {
				benchPropose(b, size, callers)
			})
		}
	}
}

const commandSize = 256

func benchPropose(b *testing.B, size, callers int) {
	c := newCluster(b, size,
		group.WithSnapshotInterval(group.DefaultSnapshotEntries, group.DefaultSnapshotBytes),
		group.WithMachine(group.Machine{
			Apply:    func(uint64, []byte) []byte { return nil },
			Snapshot: func() ([]byte, error) { return []byte("state"), nil },
			Restore:  func([]byte) error { return nil },
		}))
	c.useDirectLinks()
	defer c.close()
	l := c.leader()
	syncs := l.group.Status().Syncs
	var wait sync.WaitGroup
	var left atomic.Int64
	left.Store(int64(b.N))
	b.ResetTimer()
	for range callers {
		wait.Go(func() {
			for left.Add(-1) >= 0 {
				if _, err := l.group.Propose(context.Background(), make([]byte, commandSize)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wait.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	if used := l.group.Status().Syncs - syncs; used > 0 {
		b.ReportMetric(float64(b.N)/float64(used), "entries/sync")
	}
}

// useDirectLinks makes the links deliver messages in order and without delay.
func (c *cluster) useDirectLinks() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links = map[[2]uint64]chan []byte{}
	for from := range c.peers {
		for to := range c.peers {
			link, receiver := make(chan []byte, 4096), c.replicas[to].group
			c.links[[2]uint64{from, to}] = link
			go func() {
				for message := range link {
					receiver.Receive(from, message)
				}
			}()
		}
	}
}
