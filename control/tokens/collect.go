package tokens

import (
	"context"
	"sync"
	"time"

	"github.com/galenalock/galenalock/core/bucket"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// batchInterval is the time for which questions are collected after a batch, and
	// ownInterval that time on the leader, which needs no message.
	batchInterval = 5 * time.Millisecond
	ownInterval   = time.Millisecond
	// probeInterval is the interval of batches without questions, which find out whether
	// the leader answers again.
	probeInterval = 50 * time.Millisecond
	// probeTime is the time for which a replica tries to tell a new leader that it uses no
	// promises of former ones. They end by then.
	probeTime = 5 * time.Second
	// batchTimeout limits a batch. Without an answer for that time the replica continues
	// by itself.
	batchTimeout = bucket.ReplicaSilence
)

// collector sends the questions of the entries of this replica to the leader in batches,
// and answers them itself while the leader does not.
type collector struct {
	send  func(ctx context.Context, batch wire.TokenBatch) (wire.TokenBatchAnswer, error)
	leads func() bool
	clock func() time.Duration

	mu      sync.Mutex
	standby *bucket.Standby
	waiting []question
	probe   bool // a batch is due although no question waits
	// probeUntil is the time until which batches are sent until a new leader grants tokens.
	probeUntil time.Duration
	running    bool // flush is going to be called
}

type question struct {
	ctx    context.Context
	body   wire.TokenRequest
	result chan<- answer
}

type answer struct {
	body wire.TokenAnswer
	err  error
}

func (c *collector) ask(ctx context.Context, q wire.TokenRequest) (wire.TokenAnswer, error) {
	c.mu.Lock()
	if now := c.clock(); c.standby.Serves(now) {
		defer c.mu.Unlock()
		c.probe = true
		c.start()
		return c.standby.Serve(now, q), nil
	}
	result := make(chan answer, 1)
	c.waiting = append(c.waiting, question{ctx: ctx, body: q, result: result})
	c.start()
	c.mu.Unlock()
	select {
	case a := <-result:
		return a.body, a.err
	case <-ctx.Done():
		return wire.TokenAnswer{}, &wire.FaultError{Code: "noquorum", Detail: ctx.Err().Error()}
	}
}

// leaderChanged finds out when the new leader grants tokens.
func (c *collector) leaderChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probe, c.probeUntil = true, c.clock()+probeTime
	c.start()
}

func (c *collector) start() {
	if !c.running {
		c.running = true
		go c.flush()
	}
}

// flush sends the questions that wait, and is called again until none are left.
func (c *collector) flush() {
	c.mu.Lock()
	questions, interval := c.waiting, batchInterval
	switch {
	case len(questions) == 0:
		interval = probeInterval
	case c.leads():
		interval = ownInterval
	}
	c.running = len(questions) > 0 || c.probe
	if !c.running {
		c.mu.Unlock()
		return
	}
	c.waiting, c.probe = nil, false
	sent := c.clock()
	batch := wire.TokenBatch{Replica: c.standby.Question(sent), Office: c.standby.Office()}
	c.mu.Unlock()
	time.AfterFunc(interval, c.flush)
	for _, q := range questions {
		batch.List = append(batch.List, q.body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	response, err := c.send(ctx, batch)
	c.finish(sent, batch, questions, response, err)
}

// finish answers the questions of a batch.
func (c *collector) finish(sent time.Duration, batch wire.TokenBatch, questions []question, response wire.TokenBatchAnswer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	if err == nil && !response.Pending && len(response.List) != len(batch.List) {
		err = &wire.FaultError{Code: "malformed", Detail: "number of answers"}
	}
	answered := err == nil && c.standby.Receive(now, sent, batch.Replica, response)
	if now < c.probeUntil && (!answered || batch.Office != c.standby.Office()) {
		c.probe = true // the leader has to hear that its promises replace earlier ones
		c.start()
	}
	for i, q := range questions {
		switch {
		case answered:
			q.result <- answer{body: response.List[i]}
		case q.ctx.Err() != nil:
			// The entry asks again, and must not use up the promise of the replica twice.
		case c.standby.Serves(now):
			q.result <- answer{body: c.standby.Serve(now, q.body)}
		case err != nil:
			q.result <- answer{err: err}
		default:
			q.result <- answer{body: wire.TokenAnswer{Office: response.Office, Pending: true}}
		}
	}
}
