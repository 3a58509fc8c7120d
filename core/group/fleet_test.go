package group_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/galenalock/galenalock/core/group"
)

// cluster runs replicas in one process. In tests it uses the fake clock of a
// synctest bubble.
type cluster struct {
	t    testing.TB
	root string

	mu       sync.Mutex
	replicas map[uint64]*replica
	peers    map[uint64]netip.AddrPort
	isolated map[uint64]bool // replicas whose messages are dropped
	delay    time.Duration
	links    map[[2]uint64]chan []byte // links without delay, used by benchmarks
}

type replica struct {
	id        uint64
	group     *group.Group
	machine   *machine
	stop      context.CancelFunc
	runResult chan error
}

// machine is a state machine that records its commands.
type machine struct {
	mu       sync.Mutex
	commands []string
	indexes  []uint64
}

func (m *machine) apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, string(command))
	m.indexes = append(m.indexes, index)
	return fmt.Appendf(nil, "%d:%s", len(m.commands), command)
}

func (m *machine) snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return []byte(strings.Join(m.commands, "\n")), nil
}

func (m *machine) restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = nil
	for _, line := range bytes.Split(data, []byte("\n")) {
		m.commands = append(m.commands, string(line))
	}
	return nil
}

func (m *machine) list() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.commands...)
}

func newCluster(t testing.TB, size int, opts ...group.Option) *cluster {
	c := &cluster{
		t: t, root: t.TempDir(), replicas: map[uint64]*replica{}, peers: map[uint64]netip.AddrPort{},
		isolated: map[uint64]bool{}, delay: time.Millisecond,
	}
	for id := uint64(1); id <= uint64(size); id++ {
		c.peers[id] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+id))
	}
	for id := range c.peers {
		c.start(id, append(opts[:len(opts):len(opts)], group.WithFound(true))...)
	}
	return c
}

func (c *cluster) dir(id uint64) string { return filepath.Join(c.root, fmt.Sprint(id)) }

func (c *cluster) start(id uint64, opts ...group.Option) *replica {
	c.t.Helper()
	m := &machine{}
	opts = append([]group.Option{
		group.WithID(id), group.WithDir(c.dir(id)), group.WithPeers(c.peers), group.WithSeed(int64(id)),
		group.WithMachine(group.Machine{Apply: m.apply, Snapshot: m.snapshot, Restore: m.restore}),
		group.WithSend(func(to uint64, message []byte) { c.transmit(id, to, message) }),
		group.WithSnapshotInterval(100, 1<<20),
	}, opts...)
	g, err := group.New(opts...)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &replica{id: id, group: g, machine: m, stop: stop, runResult: make(chan error, 1)}
	go func() { r.runResult <- g.Run(ctx) }()
	c.mu.Lock()
	c.replicas[id] = r
	c.mu.Unlock()
	return r
}

func (c *cluster) transmit(from, to uint64, message []byte) {
	deliver := func() {
		c.mu.Lock()
		r, cut := c.replicas[to], c.isolated[from] || c.isolated[to]
		c.mu.Unlock()
		if r != nil && !cut {
			r.group.Receive(from, message)
		}
	}
	c.mu.Lock()
	link := c.links[[2]uint64{from, to}]
	c.mu.Unlock()
	if link == nil {
		time.AfterFunc(c.delay, deliver)
		return
	}
	select {
	case link <- message:
	default: // drop the message, the link is full
	}
}

func (c *cluster) setIsolated(id uint64, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[id] = cut
}

// stopReplica stops a replica and returns the result of Run.
func (c *cluster) stopReplica(id uint64) error {
	c.mu.Lock()
	r := c.replicas[id]
	delete(c.replicas, id)
	c.mu.Unlock()
	r.stop()
	return <-r.runResult
}

func (c *cluster) close() {
	for _, link := range c.links {
		defer close(link)
	}
	for id := range c.replicas {
		if err := c.stopReplica(id); err != nil {
			c.t.Error(err)
		}
	}
}

// waitUntil waits for a condition, for at most a minute of the cluster's clock.
func (c *cluster) waitUntil(what string, holds func() bool) {
	c.t.Helper()
	for range 6000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("%s: not reached", what)
}

// leader waits for a replica that answers a read and returns it.
func (c *cluster) leader() *replica {
	c.t.Helper()
	var found *replica
	c.waitUntil("a leader", func() bool {
		for _, r := range c.replicas {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			err := r.group.Read(ctx)
			cancel()
			if err == nil {
				found = r
				return true
			}
		}
		return false
	})
	return found
}

// propose proposes a command to the current leader until it is committed. Any
// error but *group.NotLeaderError, thus also an unknown outcome, fails the test.
func (c *cluster) propose(command string) {
	c.t.Helper()
	c.waitUntil("commit of "+command, func() bool {
		_, err := c.leader().group.Propose(context.Background(), []byte(command))
		var notLeader *group.NotLeaderError
		if err != nil && !errors.As(err, &notLeader) {
			c.t.Fatalf("propose %s: %v", command, err)
		}
		return err == nil
	})
}

// waitForCommands waits until every running replica has applied count commands.
func (c *cluster) waitForCommands(count int) {
	c.t.Helper()
	c.waitUntil("agreement", func() bool {
		for _, r := range c.replicas {
			if len(r.machine.list()) != count {
				return false
			}
		}
		return true
	})
}
