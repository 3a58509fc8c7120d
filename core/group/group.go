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
	inboxSize         = 1024     // messages; Receive blocks while the inbox is full
	proposalQueueSize = 1024     // proposals; Propose blocks while the queue is full
	maxBatchProposals = 1024     // proposals in one step
	maxBatchBytes     = 4 << 20  // command bytes in one step
	maxPendingBytes   = 64 << 20 // bytes of uncommitted commands; beyond it proposals stay in the queue
)

// Group is one replica of a replicated state machine.
type Group struct {
	settings
	core      *raft.Core
	disk      *disk
	startTime time.Time
	view      atomic.Pointer[statusView]

	inbox     chan raft.Message
	proposals chan *proposal
	calls     chan func()
	stopped   chan struct{}

	// The fields below are owned by the goroutine of Run.
	initialSnapshot    raft.Snapshot
	applied            uint64
	pending            map[uint64]*proposal // by index
	pendingTerm        uint64
	pendingBytes       int
	stepProposals      []*proposal // proposals and changes of the current step
	reads              map[uint64][]chan error
	readyReads         []readBarrier
	lastReadToken      uint64
	transfers          []chan error
	snapshotIndex      uint64
	bytesSinceSnapshot int
	snapshotting       bool
	fatalErr           error
	loggedRole         raft.Role // role in the last log message
}

// New opens the data directory and returns a replica, which Run starts. The
// content of a damaged directory is moved to a subdirectory if there are other
// replicas to recover from; otherwise the error is a *store.DamageError.
func New(opts ...Option) (*Group, error) {
	s := defaults()
	for _, opt := range opts {
		opt(&s)
	}
	if s.id == 0 || s.dir == "" || s.machine.Apply == nil || s.machine.Snapshot == nil || s.machine.Restore == nil {
		return nil, eris.New("group: WithID, WithDir and WithMachine are required")
	}
	stored, err := s.openStore()
	if err != nil {
		return nil, err
	}
	state, id := stored.Load(), stored.Identity()
	seed := s.seed
	if seed == 0 {
		seed = int64(id.Incarnation)
	}
	if s.found && state.Hard.Term > 0 {
		s.logger.Warn("the found setting is still on; a replica that loses its disk may found a second group")
	}
	now := s.clock()
	core, err := raft.New(raft.Config{
		ID: s.id, Incarnation: id.Incarnation, Recovering: id.Recovering, Founder: id.Founded,
		Hard: state.Hard, Snapshot: state.Snapshot, Entries: state.Entries,
		Rand: rand.New(rand.NewSource(seed)), HeartbeatInterval: s.heartbeatInterval, ElectionTimeout: s.electionTimeout,
	}, now)
	if err != nil {
		stored.Close()
		return nil, eris.Wrap(err, "group")
	}
	g := &Group{
		settings: s, core: core, disk: newDisk(stored, s.clock, s.logger), startTime: now,
		inbox:           make(chan raft.Message, inboxSize),
		proposals:       make(chan *proposal, proposalQueueSize),
		calls:           make(chan func()),
		stopped:         make(chan struct{}),
		initialSnapshot: state.Snapshot,
		applied:         state.Snapshot.Index,
		snapshotIndex:   state.Snapshot.Index,
		pending:         map[uint64]*proposal{},
		reads:           map[uint64][]chan error{},
	}
	g.publishStatus()
	return g, nil
}

func (s *settings) openStore() (*store.Store, error) {
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
	subdirectory := fmt.Sprintf("damaged-%d", s.clock().Unix())
	s.logger.WithField("error", err.Error()).WithField("folder", subdirectory).Warn("data directory damaged, moving its content aside")
	if err := store.SetAside(s.dir, subdirectory, s.files); err != nil {
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

// Run runs the replica until the context ends, or the disk or the state machine
// fails. It must be called exactly once. After an error the process must exit,
// because it is unknown which writes reached the disk.
func (g *Group) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	stop := make(chan struct{})
	wait.Go(func() { g.disk.run(stop) })
	err := g.loop(ctx)
	close(stop)
	close(g.stopped)
	wait.Wait()
	g.failPendingOnShutdown()
	if closeErr := g.disk.store.Close(); err == nil {
		err = closeErr
	}
	return eris.Wrap(err, "group")
}

// Receive queues a message from another replica. It blocks while the inbox is
// full. A message that cannot be decoded, or names another sender than from, is
// dropped.
func (g *Group) Receive(from uint64, message []byte) {
	m, err := raft.Decode(message)
	if err != nil || m.From != from {
		g.logger.WithField("from", from).Warn("dropped malformed message")
		return
	}
	select {
	case g.inbox <- m:
	case <-g.stopped:
	}
}

// Add adds a replica or changes its address. It returns when the change is
// committed. The replica then receives the log and becomes a voter once it has
// caught up, which Status shows.
func (g *Group) Add(ctx context.Context, id uint64, addr netip.AddrPort) error {
	return g.change(ctx, raft.Add{ID: id, Addr: addr})
}

// AddLearner adds a replica that receives the log but does not vote.
func (g *Group) AddLearner(ctx context.Context, id uint64, addr netip.AddrPort) error {
	return g.change(ctx, raft.Add{ID: id, Addr: addr, Learner: true})
}

// Remove removes a replica and returns when the change is committed. A removed
// leader steps down.
func (g *Group) Remove(ctx context.Context, id uint64) error {
	return g.change(ctx, raft.Remove{ID: id})
}
