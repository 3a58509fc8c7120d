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

// fleet runs replicas in one process on the clock of a synctest bubble.
type fleet struct {
	t    testing.TB
	root string

	mu       sync.Mutex
	replicas map[uint64]*replica
	peers    map[uint64]netip.AddrPort
	cut      map[uint64]bool // replicas without links
	delay    time.Duration
	links    map[[2]uint64]chan []byte // without delay, for benchmarks
}

type replica struct {
	id      uint64
	group   *group.Group
	machine *machine
	stop    context.CancelFunc
	over    chan error
}

// machine is a list of commands.
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

func newFleet(t testing.TB, size int, opts ...group.Option) *fleet {
	f := &fleet{
		t: t, root: t.TempDir(), replicas: map[uint64]*replica{}, peers: map[uint64]netip.AddrPort{},
		cut: map[uint64]bool{}, delay: time.Millisecond,
	}
	for id := uint64(1); id <= uint64(size); id++ {
		f.peers[id] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+id))
	}
	for id := range f.peers {
		f.start(id, append(opts[:len(opts):len(opts)], group.WithFound(true))...)
	}
	return f
}

func (f *fleet) dir(id uint64) string { return filepath.Join(f.root, fmt.Sprint(id)) }

func (f *fleet) start(id uint64, opts ...group.Option) *replica {
	f.t.Helper()
	m := &machine{}
	opts = append([]group.Option{
		group.WithID(id), group.WithDir(f.dir(id)), group.WithPeers(f.peers), group.WithSeed(int64(id)),
		group.WithMachine(group.Machine{Apply: m.apply, Snapshot: m.snapshot, Restore: m.restore}),
		group.WithSend(func(to uint64, message []byte) { f.carry(id, to, message) }),
		group.WithSnapshots(100, 1<<20),
	}, opts...)
	g, err := group.New(opts...)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &replica{id: id, group: g, machine: m, stop: stop, over: make(chan error, 1)}
	go func() { r.over <- g.Run(ctx) }()
	f.mu.Lock()
	f.replicas[id] = r
	f.mu.Unlock()
	return r
}

func (f *fleet) carry(from, to uint64, message []byte) {
	deliver := func() {
		f.mu.Lock()
		r, cut := f.replicas[to], f.cut[from] || f.cut[to]
		f.mu.Unlock()
		if r != nil && !cut {
			r.group.Receive(from, message)
		}
	}
	f.mu.Lock()
	link := f.links[[2]uint64{from, to}]
	f.mu.Unlock()
	if link == nil {
		time.AfterFunc(f.delay, deliver)
		return
	}
	select {
	case link <- message:
	default: // full, and the message is lost
	}
}

func (f *fleet) setCut(id uint64, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[id] = cut
}

// halt stops a replica and returns what Run returned.
func (f *fleet) halt(id uint64) error {
	f.mu.Lock()
	r := f.replicas[id]
	delete(f.replicas, id)
	f.mu.Unlock()
	r.stop()
	return <-r.over
}

func (f *fleet) close() {
	for _, link := range f.links {
		defer close(link)
	}
	for id := range f.replicas {
		if err := f.halt(id); err != nil {
			f.t.Error(err)
		}
	}
}

// until waits for a condition, for at most a minute on the fleet's clock.
func (f *fleet) until(what string, holds func() bool) {
	f.t.Helper()
	for range 6000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("%s: not reached", what)
}

// leader waits for a replica that answers a read.
func (f *fleet) leader() *replica {
	f.t.Helper()
	var found *replica
	f.until("a leader", func() bool {
		for _, r := range f.replicas {
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

// propose sends a command to the leader until it is committed. The command may
// be committed twice after an unknown outcome.
func (f *fleet) propose(command string) {
	f.t.Helper()
	f.until("commit of "+command, func() bool {
		_, err := f.leader().group.Propose(context.Background(), []byte(command))
		var lost *group.NotLeaderError
		if err != nil && !errors.As(err, &lost) {
			f.t.Fatalf("propose %s: %v", command, err)
		}
		return err == nil
	})
}

// agree waits until all running replicas have the same commands.
func (f *fleet) agree(count int) {
	f.t.Helper()
	f.until("agreement", func() bool {
		for _, r := range f.replicas {
			if len(r.machine.list()) != count {
				return false
			}
		}
		return true
	})
}
