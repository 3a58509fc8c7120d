package group

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/store"
)

const (
	inboxSize     = 1024     // messages; a full inbox blocks Receive
	proposalsSize = 1024     // proposals; a full queue blocks Propose
	maxBatch      = 1024     // proposals in one step
	maxBatchBytes = 4 << 20  // bytes of them
	maxWaiting    = 64 << 20 // bytes of uncommitted proposals; more stay in the queue
)

// Group is one replica.
type Group struct {
	settings
	core    *raft.Core
	disk    *disk
	started time.Time
	view    atomic.Pointer[view]

	inbox     chan raft.Message
	proposals chan *proposal
	calls     chan func()
	over      chan struct{}

	// Owned by the goroutine of Run.
	initial      raft.Snapshot
	applied      uint64
	waiting      map[uint64]*proposal // by index
	waitingTerm  uint64
	waitingBytes int
	asked        []*proposal // proposals and changes of the current step
	reads        map[uint64][]chan error
	ready        []barrier
	token        uint64
	transfers    []chan error
	snapIndex    uint64
	snapBytes    int
	snapping     bool
	failed       error
	role         raft.Role // last one logged
}

// New opens the data folder and returns a replica that has yet to run. A folder
// that is damaged is set aside if there are other replicas to recover from;
// otherwise the error is a *store.DamageError.
func New(opts ...Option) (*Group, error) {
	s := defaults()
	for _, opt := range opts {
		opt(&s)
	}
	if s.id == 0 || s.dir == "" || s.machine.Apply == nil || s.machine.Snapshot == nil || s.machine.Restore == nil {
		return nil, eris.New("group: WithID, WithDir and WithMachine are required")
	}
	stored, err := s.open()
	if err != nil {
		return nil, err
	}
	state, id := stored.Load(), stored.Identity()
	seed := s.seed
	if seed == 0 {
		seed = int64(id.Incarnation)
	}
	if s.found && state.Hard.Term > 0 {
		s.logger.Warn("found setting left on") // unsafe if the disk is lost
	}
	now := s.clock()
	core, err := raft.New(raft.Config{
		ID: s.id, Incarnation: id.Incarnation, Recovering: id.Recovering, Founder: id.Founded,
		Hard: state.Hard, Snapshot: state.Snapshot, Entries: state.Entries,
		Rand: rand.New(rand.NewSource(seed)), Heartbeat: s.heartbeat, Election: s.election,
	}, now)
	if err != nil {
		stored.Close()
		return nil, eris.Wrap(err, "group")
	}
	g := &Group{
		settings: s, core: core, disk: newDisk(stored, s.clock, s.logger), started: now,
		inbox:     make(chan raft.Message, inboxSize),
		proposals: make(chan *proposal, proposalsSize),
		calls:     make(chan func()),
		over:      make(chan struct{}),
		initial:   state.Snapshot,
		applied:   state.Snapshot.Index,
		snapIndex: state.Snapshot.Index,
		waiting:   map[uint64]*proposal{},
		reads:     map[uint64][]chan error{},
	}
	g.publish()
	return g, nil
}

func (s *settings) open() (*store.Store, error) {
	opts := []store.Option{store.WithReplica(s.id), store.WithFiles(s.files)}
	founding := opts
	if s.found {
		founding = append(opts[:len(opts):len(opts)], store.WithFounders(s.founders()))
	}
	stored, err := store.Open(s.dir, founding...)
	var damage *store.DamageError
	if err == nil || !errors.As(err, &damage) || len(s.peers) < 2 {
		return stored, eris.Wrap(err, "group")
	}
	aside := fmt.Sprintf("damaged-%d", s.clock().Unix())
	s.logger.WithField("error", err.Error()).WithField("folder", aside).Warn("damaged")
	if err := store.SetAside(s.dir, aside, s.files); err != nil {
		return nil, eris.Wrap(err, "group")
	}
	stored, err = store.Open(s.dir, opts...)
	return stored, eris.Wrap(err, "group")
}

func (s *settings) founders() raft.Members {
	members := raft.Members{}
	for id, addr := range s.peers {
		members = append(members, raft.Member{ID: id, Addr: addr})
	}
	if _, ok := s.peers[s.id]; !ok {
		members = append(members, raft.Member{ID: s.id})
	}
	return members
}

// Run works until the context ends, or until the disk or the machine fails. It
// must be called once. After an error the process has to exit, because what
// reached the disk is unknown.
func (g *Group) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	stop := make(chan struct{})
	wait.Go(func() { g.disk.run(stop) })
	err := g.loop(ctx)
	close(stop)
	close(g.over)
	wait.Wait()
	g.abandon()
	if closeErr := g.disk.store.Close(); err == nil {
		err = closeErr
	}
	return eris.Wrap(err, "group")
}

// Receive takes a message from another replica. It blocks while the queue is
// full. A message that cannot be decoded is dropped.
func (g *Group) Receive(from uint64, message []byte) {
	m, err := raft.Decode(message)
	if err != nil || m.From != from {
		g.logger.WithField("from", from).Warn("malformed")
		return
	}
	select {
	case g.inbox <- m:
	case <-g.over:
	}
}

// Add lets a replica join, or changes its address. It returns when the change
// is committed; the replica receives the log and becomes a voter once it has
// caught up, which Status shows.
func (g *Group) Add(ctx context.Context, id uint64, addr netip.AddrPort) error {
	return g.change(ctx, raft.Add{ID: id, Addr: addr})
}

// AddLearner lets a replica join that receives the log and does not vote.
func (g *Group) AddLearner(ctx context.Context, id uint64, addr netip.AddrPort) error {
	return g.change(ctx, raft.Add{ID: id, Addr: addr, Learner: true})
}

// Remove removes a replica. It returns when the change is committed. A leader
// that is removed steps down.
func (g *Group) Remove(ctx context.Context, id uint64) error {
	return g.change(ctx, raft.Remove{ID: id})
}
