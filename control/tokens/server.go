package tokens

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenalock/galenalock/core/bucket"
	"github.com/galenalock/galenalock/core/value"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// readTimeout limits the read that confirms the lease of the leader. Entries wait
	// for less.
	readTimeout = 500 * time.Millisecond
	// renewBefore is the time before the end of the lease at which it is renewed, which
	// takes a round trip between replicas.
	renewBefore = 300 * time.Millisecond
)

// Office is the position of a replica in its group.
type Office struct {
	Self, Leader uint64 // Leader is 0 if there is none
	Term         uint64
}

// Dependencies are what a Server uses of the replica.
type Dependencies struct {
	ID     uint64 // identifies the incarnation of this replica
	Office func() Office
	// Replicas returns the number of replicas in the group.
	Replicas func() int
	// Read returns when a majority has confirmed that this replica leads.
	Read func(ctx context.Context) error
	// Newest returns the number of the newest revision, and Text the text of one.
	Newest func() uint64
	Text   func(number uint64) ([]byte, bool)
	// Call calls another replica.
	Call func(ctx context.Context, replica uint64, kind wire.Kind, body, answer any) error
	// Clock includes the time during which the machine is suspended.
	Clock func() time.Duration
}

// Server answers questions for tokens. It is safe for concurrent use.
type Server struct {
	deps      Dependencies
	collector collector

	mu        sync.Mutex
	allocator *bucket.Allocator // nil unless this replica leads
	term      uint64            // of the allocator
	lease     time.Duration     // until which the allocator may grant tokens
	// acknowledged has the replicas that use promises of this leader only.
	acknowledged value.Set[uint64]
	reading      chan struct{} // closed when the read in progress ends, nil without one

	limits limits
}

// New returns a server.
func New(deps Dependencies) *Server {
	s := &Server{deps: deps}
	s.collector.send, s.collector.clock = s.send, deps.Clock
	s.collector.leads = func() bool { o := deps.Office(); return o.Leader == o.Self }
	s.collector.standby = bucket.NewStandby(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return s
}

// LeaderChanged notifies the server that the replica has learned of another leader or
// term. A leader grants tokens a certain time after that.
func (s *Server) LeaderChanged() {
	s.mu.Lock()
	s.takeOffice()
	s.mu.Unlock()
	s.collector.leaderChanged()
}

// takeOffice returns the allocator of the current term, or nil if this replica does not
// lead.
func (s *Server) takeOffice() *bucket.Allocator {
	o := s.deps.Office()
	switch {
	case o.Leader != o.Self || o.Leader == 0:
		s.allocator, s.term = nil, 0
	case s.allocator == nil || s.term != o.Term:
		s.allocator, s.term, s.lease = bucket.NewAllocator(s.deps.Clock(), o.Term), o.Term, 0
		s.acknowledged = value.NewSet[uint64]()
	}
	return s.allocator
}

// Serve answers the question of an entry. Its errors are *wire.FaultError and those of
// a call.
func (s *Server) Serve(ctx context.Context, q wire.TokenRequest) (wire.TokenAnswer, error) {
	return s.collector.ask(ctx, q)
}

// send sends a batch to the leader, which may be this replica.
func (s *Server) send(ctx context.Context, batch wire.TokenBatch) (wire.TokenBatchAnswer, error) {
	var out wire.TokenBatchAnswer
	o := s.deps.Office()
	if o.Leader == 0 {
		return out, &wire.FaultError{Code: "noquorum", Detail: "no leader"}
	}
	if o.Leader == o.Self {
		batch.Replica.Entry = s.deps.ID
		return s.ServeBatch(ctx, o.Self, batch)
	}
	err := s.deps.Call(ctx, o.Leader, wire.KindTokenBatch, batch, &out)
	return out, err
}

// ServeBatch answers questions that the replica with the given number has collected, on
// the leader. Its error is a *wire.FaultError.
func (s *Server) ServeBatch(ctx context.Context, replica uint64, batch wire.TokenBatch) (wire.TokenBatchAnswer, error) {
	var none wire.TokenBatchAnswer
	directory, err := s.limits.get(s.deps.Newest(), s.deps.Text)
	if err != nil {
		return none, err
	}
	for {
		s.mu.Lock()
		allocator, now := s.takeOffice(), s.deps.Clock()
		if allocator == nil {
			s.mu.Unlock()
			return none, &wire.FaultError{Code: "notleader"}
		}
		if now < s.lease {
			answer := allocator.Serve(now, batch, directory)
			if batch.Office == s.term {
				s.acknowledged.Add(replica)
				if len(s.acknowledged) >= s.deps.Replicas() {
					allocator.ReplicasAcknowledged(now)
				}
			}
			if s.lease-now < renewBefore {
				s.renewLease()
			}
			s.mu.Unlock()
			return answer, nil
		}
		done := s.renewLease()
		s.mu.Unlock()
		select {
		case <-done:
			if s.leaseEnded() {
				return none, &wire.FaultError{Code: "noquorum", Detail: "no majority confirms that this replica leads"}
			}
		case <-ctx.Done():
			return none, &wire.FaultError{Code: "noquorum", Detail: ctx.Err().Error()}
		}
	}
}

func (s *Server) leaseEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deps.Clock() >= s.lease
}

// renewLease starts a read unless one is in progress, and returns a channel that is
// closed when it ends.
func (s *Server) renewLease() <-chan struct{} {
	if s.reading != nil {
		return s.reading
	}
	done, term, start := make(chan struct{}), s.term, s.deps.Clock()
	s.reading = done
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		err := s.deps.Read(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reading = nil
		if o := s.deps.Office(); err == nil && o.Leader == o.Self && o.Term == term && s.term == term {
			s.lease = start + bucket.LeaseTime
		}
		close(done)
	}()
	return done
}
