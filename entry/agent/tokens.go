package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/core/boot"
	"github.com/galenalock/galenalock/core/bucket"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// questionTimeout limits a question to one replica. The next one goes to another.
	questionTimeout = 250 * time.Millisecond
	// unsupportedTime is the time for which equal shares apply after a replica of an
	// earlier version has answered.
	unsupportedTime = 10 * time.Second
	// rotatedTime is the time for which questions go to a replica that is not the
	// preferred one, after that one did not answer.
	rotatedTime = 5 * time.Second
	// minTokenPause limits how often the goroutine of the tokens runs.
	minTokenPause = time.Millisecond
)

// tokens holds the tokens of an entry that gets its targets from control. Traffic
// goroutines share its lock with a goroutine of its own, not with the control state.
type tokens struct {
	links func() conns
	log   *logrus.Entry
	wake  chan struct{}

	unsupportedUntil atomic.Int64 // by boot.Now

	mu     sync.Mutex
	stock  *bucket.Stock
	silent bool // logged that control does not answer
	next   int  // position of the replica to ask
	// rotated is when the last question was not answered.
	rotated time.Duration
}

func newTokens(links func() conns, log *logrus.Entry) *tokens {
	return &tokens{
		links: links, log: log, wake: make(chan struct{}, 1),
		stock: bucket.NewStock(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
}

// startTokens starts to ask for tokens if the targets come from control, and returns a
// function that waits for the end.
func (a *Agent) startTokens(ctx context.Context) (wait func()) {
	var running sync.WaitGroup
	if a.registry != nil {
		running.Go(func() { a.tokens.run(ctx) })
	}
	return running.Wait
}

func (t *tokens) setText(text *spec.Text) {
	d := bucket.DirectoryOf(text)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stock.SetDirectory(d)
}

// unsupported reports whether control does not grant tokens.
func (t *tokens) unsupported() bool { return int64(boot.Now()) < t.unsupportedUntil.Load() }

func (t *tokens) run(ctx context.Context) {
	var questions sync.WaitGroup
	defer questions.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-timer.C:
		}
		t.mu.Lock()
		now := boot.Now()
		q, decided := t.stock.Step(now)
		next, due := t.stock.Next()
		t.logSilence(now)
		t.mu.Unlock()
		deliver(decided)
		if q != nil {
			questions.Go(func() { t.ask(ctx, q) })
		}
		if due {
			timer.Reset(max(minTokenPause, next-now))
		}
	}
}

// ask sends a question to one replica.
func (t *tokens) ask(ctx context.Context, q *bucket.Question) {
	var answer wire.TokenAnswer
	links, position := t.links(), t.position()
	var err error = &ControlError{}
	if len(links) > 0 {
		callCtx, cancel := context.WithTimeout(ctx, questionTimeout)
		err = links[position%len(links)].Call(callCtx, wire.KindTokens, q.Body, &answer)
		cancel()
	}
	t.mu.Lock()
	now := boot.Now()
	var decided []*bucket.Waiter
	var fault *wire.FaultError
	switch {
	case err == nil:
		t.unsupportedUntil.Store(0)
		decided = t.stock.Receive(now, q, answer)
	case errors.As(err, &fault) && fault.Code == "unsupported":
		if t.unsupportedUntil.Swap(int64(now+unsupportedTime)) == 0 {
			t.log.Warn("control grants no tokens, equal shares of rates apply")
		}
		t.rotate(now, position)
		t.stock.Fail(now, q)
		decided = t.stock.Refuse(bucket.Result{Outcome: bucket.Unknown})
	default:
		t.rotate(now, position)
		t.stock.Fail(now, q)
	}
	t.mu.Unlock()
	deliver(decided)
	t.signal()
}

// position returns the position of the replica to ask. It goes back to the preferred one
// some time after a question was not answered.
func (t *tokens) position() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if boot.Now()-t.rotated > rotatedTime {
		t.next = 0
	}
	return t.next
}

// rotate lets the next question go to another replica than the given one.
func (t *tokens) rotate(now time.Duration, position int) {
	if t.next == position {
		t.next, t.rotated = position+1, now
	}
}

func (t *tokens) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func deliver(decided []*bucket.Waiter) {
	for _, w := range decided {
		w.Wake <- w.Result
	}
}

// logSilence logs when control stops and begins to answer.
func (t *tokens) logSilence(now time.Duration) {
	silent := t.stock.Silence(now) > bucket.SilenceLimit
	if silent == t.silent {
		return
	}
	t.silent = silent
	if silent {
		t.log.Warn("no tokens from control, workspaces continue at their promised rates")
		return
	}
	t.log.Info("tokens from control again")
}

// take takes a token and waits for it if needed, for another time while control does not
// answer.
func (t *tokens) take(ctx context.Context, workspace string, rank int, answered, silent time.Duration) bucket.Result {
	t.mu.Lock()
	now := boot.Now()
	r, w := t.stock.Take(now, bucket.Deadlines{Answered: now + answered, Silent: now + silent}, workspace, rank)
	urgent := w != nil || t.stock.Urgent()
	t.mu.Unlock()
	if urgent {
		t.signal()
	}
	if w == nil {
		return r
	}
	select {
	case r := <-w.Wake:
		return r
	case <-ctx.Done():
	}
	t.mu.Lock()
	cancelled := t.stock.Cancel(w)
	t.mu.Unlock()
	if cancelled {
		return bucket.Result{Outcome: bucket.Unknown}
	}
	return <-w.Wake // decided before, so the token must not be lost
}

// peek returns the result for a request that is known to get no token.
func (t *tokens) peek(workspace string, rank int, wait time.Duration) (bucket.Result, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := boot.Now()
	retry, empty := t.stock.Peek(now, now+wait, workspace, rank)
	return bucket.Result{Outcome: bucket.Empty, Retry: retry}, empty
}

// held returns the number of tokens of a workspace at this entry.
func (t *tokens) held(workspace string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stock.Held(boot.Now(), workspace)
}

func (t *tokens) giveBack(token bucket.Token) {
	t.mu.Lock()
	decided := t.stock.Return(boot.Now(), token)
	t.mu.Unlock()
	deliver(decided)
}

// renew returns the token, or another one if it has expired.
func (t *tokens) renew(token bucket.Token) bucket.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := boot.Now()
	if token.Valid(now) {
		return bucket.Result{Outcome: bucket.Taken, Token: token}
	}
	return t.stock.Renew(now, token)
}
