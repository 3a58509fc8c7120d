package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/galenalock/galenalock/core/claim"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	askTime    = time.Second // one question; the window of a claim allows two
	recordTime = 2 * time.Second
)

// records runs a claim core for the traffic goroutines and records outcomes
// in the background.
type records struct {
	hooks *Hooks

	mu      sync.Mutex
	core    *claim.Core
	running int           // records being sent
	idle    chan struct{} // closed when running falls to zero
	stop    context.Context
	cancel  context.CancelFunc
}

func newRecords(hooks *Hooks, core *claim.Core) *records {
	r := &records{hooks: hooks, core: core}
	r.stop, r.cancel = context.WithCancel(context.Background())
	return r
}

func (r *records) open(request Request, key string, mark uint64) (uint64, claim.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Open(r.hooks.Now(), request.Service.Name, key, mark, request.Deadline)
}

func (r *records) ask(ctx context.Context, number uint64, c wire.Claim) (wire.Claimed, error) {
	r.mu.Lock()
	r.core.Asked(r.hooks.Now(), number)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	return r.hooks.Claim(ctx, c)
}

func (r *records) answered(number uint64, c wire.Claimed) claim.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Answered(r.hooks.Now(), number, c)
}

func (r *records) unanswered(number uint64) claim.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	action := r.core.Unanswered(r.hooks.Now(), number)
	if action.Do == claim.Refuse {
		r.record(r.core.Leave(number))
	}
	return action
}

func (r *records) dispatch(number uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Dispatch(r.hooks.Now(), number)
}

func (r *records) undo(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Undo(number)
}

func (r *records) forget(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Forget(number)
}

func (r *records) leave(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(r.core.Leave(number))
}

func (r *records) finish(number uint64, outcome wire.Outcome, answer *wire.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(r.core.Finish(number, outcome, answer))
}

// record sends an outcome in the background; the lock is held.
func (r *records) record(c wire.Close, ok bool) {
	if !ok {
		return
	}
	if r.running == 0 {
		r.idle = make(chan struct{})
	}
	r.running++
	go func() {
		r.send(c)
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.running--; r.running == 0 {
			close(r.idle)
		}
	}()
}

// send repeats a record until control has it.
func (r *records) send(c wire.Close) {
	for {
		ctx, cancel := context.WithTimeout(r.stop, recordTime)
		_, err := r.hooks.Close(ctx, c)
		cancel()
		r.mu.Lock()
		if err == nil {
			r.core.Recorded(c.Attempt)
			r.mu.Unlock()
			return
		}
		delay, again := r.core.Unrecorded(r.hooks.Now(), c.Attempt)
		r.mu.Unlock()
		if !again || wait(r.stop, delay) != nil {
			return
		}
	}
}

// settle waits until everything is recorded or the context ends, gives up
// what is left and returns it.
func (r *records) settle(ctx context.Context) []claim.Attempt {
	r.mu.Lock()
	idle := r.idle
	if r.running == 0 {
		idle = nil
	}
	r.mu.Unlock()
	if idle != nil {
		select {
		case <-idle:
		case <-ctx.Done():
			r.cancel()
			<-idle
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Unfinished()
}
