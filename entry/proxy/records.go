package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/galenalock/galenalock/core/claim"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	claimTimeout  = time.Second     // of one call of the Claim hook; the window of a claim allows two
	recordTimeout = 2 * time.Second // of one call of the Close hook
)

// claimRecorder makes a claim core safe for concurrent use by the traffic
// goroutines and records outcomes at control in the background.
type claimRecorder struct {
	hooks *Hooks

	mu          sync.Mutex
	core        *claim.Core
	running     int           // number of outcomes being sent
	idle        chan struct{} // closed when running falls to zero
	stopContext context.Context
	cancel      context.CancelFunc
}

func newClaimRecorder(hooks *Hooks, core *claim.Core) *claimRecorder {
	r := &claimRecorder{hooks: hooks, core: core}
	r.stopContext, r.cancel = context.WithCancel(context.Background())
	return r
}

func (r *claimRecorder) open(request Request, key string, requestHash uint64) (uint64, claim.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Open(r.hooks.Now(), request.Service.Name, key, requestHash, request.Deadline)
}

func (r *claimRecorder) sendClaim(ctx context.Context, number uint64, c wire.Claim) (wire.Claimed, error) {
	r.mu.Lock()
	r.core.ClaimSent(r.hooks.Now(), number)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return r.hooks.Claim(ctx, c)
}

func (r *claimRecorder) handleResponse(number uint64, c wire.Claimed) claim.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.HandleResponse(r.hooks.Now(), number, c)
}

func (r *claimRecorder) handleNoResponse(number uint64) claim.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	action := r.core.HandleNoResponse(r.hooks.Now(), number)
	if action.Type == claim.Refuse {
		r.record(r.core.Abandon(number))
	}
	return action
}

func (r *claimRecorder) dispatch(number uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Dispatch(r.hooks.Now(), number)
}

func (r *claimRecorder) undoDispatch(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.UndoDispatch(number)
}

func (r *claimRecorder) discard(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Discard(number)
}

func (r *claimRecorder) abandon(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(r.core.Abandon(number))
}

func (r *claimRecorder) finish(number uint64, outcome wire.Outcome, answer *wire.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(r.core.Finish(number, outcome, answer))
}

// record sends an outcome in the background if ok. The caller holds the lock.
func (r *claimRecorder) record(c wire.Close, ok bool) {
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

// send calls the Close hook until it succeeds, the core gives up or the recorder
// is stopped.
func (r *claimRecorder) send(c wire.Close) {
	for {
		ctx, cancel := context.WithTimeout(r.stopContext, recordTimeout)
		_, err := r.hooks.Close(ctx, c)
		cancel()
		r.mu.Lock()
		if err == nil {
			r.core.RecordConfirmed(c.Attempt)
			r.mu.Unlock()
			return
		}
		delay, again := r.core.RecordFailed(r.hooks.Now(), c.Attempt)
		r.mu.Unlock()
		if !again || sleepContext(r.stopContext, delay) != nil {
			return
		}
	}
}

// settle waits until all outcomes are recorded or ctx is done. It then stops
// recording and returns the attempts without a recorded outcome.
func (r *claimRecorder) settle(ctx context.Context) []claim.Attempt {
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
