package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/wire"
)

// Confirm returns the newest revision accepted before the call, as confirmed by a
// majority. Calls that wait at the same time share the attempts, which are repeated
// until ctx ends. Its errors are *NoQuorumError and *StoppedError.
func (r *Relay) Confirm(ctx context.Context) (wire.Confirmed, error) { return r.confirm.wait(ctx) }

// ServeConfirm handles a Confirm forwarded by another replica. Replicas of earlier
// versions forward each call of their entries.
func (r *Relay) ServeConfirm(ctx context.Context) (wire.Confirmed, error) {
	confirmed, err := r.served.wait(ctx)
	return confirmed, toFault(err)
}

func (r *Relay) confirmLocal(ctx context.Context) (wire.Confirmed, error) {
	if err := fromGroupError(r.replica.Read(ctx)); err != nil {
		return wire.Confirmed{}, err
	}
	newest := r.replica.View().Newest()
	return wire.Confirmed{Number: newest.Number, Checksum: newest.Sum}, nil
}

func (r *Relay) confirmOnce(ctx context.Context) (wire.Confirmed, error) {
	confirmed, err := r.confirmLocal(ctx)
	var notLeader *notLeaderError
	if !errors.As(err, &notLeader) {
		return confirmed, err
	}
	var c *link.Conn
	if notLeader.leader != 0 {
		c = r.links.Get(notLeader.leader)
	}
	if c == nil {
		return confirmed, err
	}
	err = c.Call(ctx, wire.KindConfirm, wire.Confirm{}, &confirmed)
	return confirmed, err
}

// confirmations shares one attempt at a time among the callers that wait for a
// confirmation. An attempt serves the callers that arrived before it started, since
// what it confirms may be older than a later call.
type confirmations struct {
	attempt func(ctx context.Context) (wire.Confirmed, error)
	retry   bool // a failed attempt is repeated and not reported to the callers

	mu      sync.Mutex
	waiting []confirmWaiter // not served by the attempt in progress
	running bool            // run is active
	changed chan struct{}   // closed when the leader changes
	lastErr error           // of the last attempt
}

type confirmWaiter struct {
	ctx    context.Context
	result chan<- confirmResult
}

type confirmResult struct {
	confirmed wire.Confirmed
	err       error
}

func newConfirmations(attempt func(ctx context.Context) (wire.Confirmed, error), retry bool) *confirmations {
	return &confirmations{attempt: attempt, retry: retry, changed: make(chan struct{})}
}

func (s *confirmations) wait(ctx context.Context) (wire.Confirmed, error) {
	result := make(chan confirmResult, 1)
	s.mu.Lock()
	s.waiting = append(s.waiting, confirmWaiter{ctx: ctx, result: result})
	if !s.running {
		s.running = true
		go s.run()
	}
	s.mu.Unlock()
	select {
	case r := <-result:
		return r.confirmed, r.err
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		return wire.Confirmed{}, deadlineError(ctx, s.lastErr)
	}
}

// restart ends an attempt at a former leader, so that the next one starts at once.
func (s *confirmations) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// run makes attempts until nobody waits.
func (s *confirmations) run() {
	for {
		served, changed := s.take()
		if len(served) == 0 {
			return
		}
		confirmed, err := s.try(changed)
		var stopped *StoppedError
		if err == nil || !s.retry || errors.As(err, &stopped) {
			for _, w := range served {
				w.result <- confirmResult{confirmed, err}
			}
			continue
		}
		s.putBack(served, err)
		select {
		case <-time.After(retryInterval):
		case <-changed:
		}
	}
}

// take returns the callers that wait. It returns none and ends the activity of run if
// all of them have given up.
func (s *confirmations) take() (served []confirmWaiter, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	served = slices.DeleteFunc(s.waiting, func(w confirmWaiter) bool { return w.ctx.Err() != nil })
	s.waiting = nil
	s.running = len(served) > 0
	return served, s.changed
}

func (s *confirmations) putBack(served []confirmWaiter, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting, s.lastErr = append(served, s.waiting...), err
}

// try makes one attempt, which a change of the leader ends.
func (s *confirmations) try(changed <-chan struct{}) (wire.Confirmed, error) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return s.attempt(ctx)
}
