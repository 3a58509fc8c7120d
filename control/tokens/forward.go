package tokens

import (
	"context"
	"sync"
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

const (
	// forwardInterval is the time for which questions are collected after a batch.
	forwardInterval = 10 * time.Millisecond
	// forwardTimeout limits the call of the leader. Entries ask again before that.
	forwardTimeout = 500 * time.Millisecond
)

// forwarder sends the questions of the entries of this replica to the leader in
// batches.
type forwarder struct {
	send func(ctx context.Context, batch []wire.TokenRequest) ([]wire.TokenAnswer, error)

	mu      sync.Mutex
	waiting []question
	running bool // flush is going to be called
}

type question struct {
	body   wire.TokenRequest
	result chan<- answer
}

type answer struct {
	body wire.TokenAnswer
	err  error
}

func (f *forwarder) ask(ctx context.Context, q wire.TokenRequest) (wire.TokenAnswer, error) {
	result := make(chan answer, 1)
	f.mu.Lock()
	f.waiting = append(f.waiting, question{body: q, result: result})
	if !f.running {
		f.running = true
		go f.flush()
	}
	f.mu.Unlock()
	select {
	case a := <-result:
		return a.body, a.err
	case <-ctx.Done():
		return wire.TokenAnswer{}, &wire.FaultError{Code: "noquorum", Detail: ctx.Err().Error()}
	}
}

// flush sends the questions that wait, and is called again until none are left.
func (f *forwarder) flush() {
	f.mu.Lock()
	batch := f.waiting
	f.waiting = nil
	f.running = len(batch) > 0
	f.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	time.AfterFunc(forwardInterval, f.flush)
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	bodies := make([]wire.TokenRequest, len(batch))
	for i, q := range batch {
		bodies[i] = q.body
	}
	answers, err := f.send(ctx, bodies)
	if err == nil && len(answers) != len(batch) {
		err = &wire.FaultError{Code: "malformed", Detail: "number of answers"}
	}
	for i, q := range batch {
		if err != nil {
			q.result <- answer{err: err}
			continue
		}
		q.result <- answer{body: answers[i]}
	}
}

func (s *Server) forward(ctx context.Context, batch []wire.TokenRequest) ([]wire.TokenAnswer, error) {
	leader := s.deps.Office().Leader
	if leader == 0 {
		return nil, &wire.FaultError{Code: "noquorum", Detail: "no leader"}
	}
	var out wire.List[wire.TokenAnswer]
	err := s.deps.Call(ctx, leader, wire.KindTokenBatch, wire.List[wire.TokenRequest]{List: batch}, &out)
	return out.List, err
}
