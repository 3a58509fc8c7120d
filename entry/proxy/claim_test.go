package proxy_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/proxy"
)

// fakeControl implements the claims of the control replicas in memory.
type fakeControl struct {
	mu       sync.Mutex
	claims   map[string]*heldClaim
	closed   chan wire.Close
	failures atomic.Int64 // number of calls that fail: a claim after it took effect, a close before
}

type heldClaim struct {
	claim  wire.Claim
	closed *wire.Close
}

func newFakeControl() *fakeControl {
	return &fakeControl{claims: map[string]*heldClaim{}, closed: make(chan wire.Close, 64)}
}

var errLostAnswer = errors.New("the answer was lost")

func (c *fakeControl) claim(_ context.Context, q wire.Claim) (wire.Claimed, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.claims[q.Key]
	switch {
	case h == nil || h.closed != nil && h.closed.Outcome == wire.OutcomeReleased:
		c.claims[q.Key] = &heldClaim{claim: q}
	case h.claim.Fingerprint != q.Fingerprint:
		return wire.Claimed{State: wire.ClaimMismatch}, nil
	case h.closed != nil && h.closed.Outcome == wire.OutcomeDone:
		return wire.Claimed{State: wire.ClaimDone, Answer: h.closed.Answer}, nil
	case h.closed != nil:
		return wire.Claimed{State: wire.ClaimUnknown}, nil
	case h.claim.Owner != q.Owner || h.claim.Attempt != q.Attempt:
		return wire.Claimed{State: wire.ClaimRunning}, nil
	}
	if c.failures.Add(-1) >= 0 {
		return wire.Claimed{}, errLostAnswer
	}
	return wire.Claimed{State: wire.ClaimGranted}, nil
}

func (c *fakeControl) close(_ context.Context, q wire.Close) (wire.Claimed, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failures.Add(-1) >= 0 {
		return wire.Claimed{}, errLostAnswer
	}
	if h := c.claims[q.Key]; h != nil && h.claim.Attempt == q.Attempt && h.closed == nil {
		h.closed = &q
	}
	c.closed <- q
	return wire.Claimed{State: wire.ClaimDone}, nil
}

func (c *fakeControl) hooks() proxy.Hooks { return proxy.Hooks{Claim: c.claim, Close: c.close} }

// Guards against a keyed request that runs more than once when the caller resends
// it while it runs, and against duplicates that do not get the recorded response.
// The naive variant grants every claim.
func TestDuplicatesRunOnce(t *testing.T) {
	for _, naive := range []bool{true, false} {
		is := is.New(t)
		const duplicates = 8
		var runs atomic.Int64
		started, finish := make(chan struct{}, 2*duplicates), make(chan struct{})
		target := listen(t, func(c net.Conn, in *bufio.Reader) {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			runs.Add(1)
			started <- struct{}{}
			<-finish
			_, _ = io.WriteString(c, "HTTP/1.1 201 Created\r\nX-Order: 7\r\nConnection: close\r\nContent-Length: 4\r\n\r\nmade")
		})
		control := newFakeControl()
		hooks := control.hooks()
		asked := make(chan struct{}, 1024)
		hooks.Claimed = func(wire.ClaimState) { asked <- struct{}{} }
		if naive {
			hooks.Claim = claimResult(wire.ClaimGranted, nil)
		}
		e := startEntry(t, false, hooks, proxy.Rules{}, target)
		got := make(chan string, duplicates)
		for range duplicates {
			go func() {
				status, header, body, err := e.send(http.MethodPost, "/orders", strings.NewReader("x"), "Idempotency-Key", `"k"`)
				got <- fmt.Sprintf("%d %s %s %v", status, header.Get("X-Order"), body, err)
			}()
		}
		<-started
		for range duplicates {
			<-asked
		}
		close(finish)
		for range duplicates {
			is.Equal(<-got, "201 7 made <nil>")
		}
		is.Equal(runs.Load() == 1, !naive)
		status, header, _, err := e.send(http.MethodPost, "/orders", strings.NewReader("x"), "Idempotency-Key", "k")
		is.NoErr(err)
		is.Equal(status, 201)
		is.Equal(header.Get("Galenalock-Replayed") == "true", !naive)
		status, _, _, err = e.send(http.MethodPost, "/orders", strings.NewReader("y"), "Idempotency-Key", "k")
		is.NoErr(err)
		is.Equal(status == http.StatusUnprocessableEntity, !naive)
	}
}

// Guards against a dispatched order that is cancelled when its caller leaves, so
// that its outcome is lost. The naive variant does not detach the order from its
// caller.
func TestCallerLeavesDispatchedOrder(t *testing.T) {
	for _, naive := range []bool{true, false} {
		is := is.New(t)
		arrived, left := make(chan struct{}), make(chan struct{})
		target := listen(t, func(c net.Conn, in *bufio.Reader) {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			close(arrived)
			<-left
			_, _ = io.WriteString(c, "HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nmade")
		})
		control := newFakeControl()
		rules := proxy.Rules{}
		attemptEnded := make(chan struct{})
		hooks := control.hooks()
		hooks.End = func(proxy.Attempt, proxy.Outcome) { close(attemptEnded) }
		if naive {
			rules.Detach = neverDetach
		}
		e := startEntry(t, false, hooks, rules, target)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-arrived
			cancel()
		}()
		_, _, _, err := e.sendContext(ctx, http.MethodPost, "/orders", strings.NewReader("x"), "Idempotency-Key", "k")
		is.True(errors.Is(err, context.Canceled))
		if naive {
			<-attemptEnded // the cancelled attempt has ended
		}
		close(left)
		record := <-control.closed
		is.Equal(record.Outcome == wire.OutcomeDone, !naive)
		if !naive {
			is.Equal(string(record.Answer.Body), "made")
		}
	}
}

// Guards against records that are not sent again after a failed call, and against
// a lost answer to a claim that blocks the key or dispatches the request twice.
func TestLostAnswersOfControl(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	target := respond(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", func(*http.Request, string) { runs.Add(1) })
	control := newFakeControl()
	control.failures.Store(1)
	e := startEntry(t, true, control.hooks(), proxy.Rules{}, target)
	status, _, _, err := e.send(http.MethodPost, "/orders", strings.NewReader("x"), "Idempotency-Key", "k")
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal((<-control.closed).Outcome, wire.OutcomeDone)
	control.failures.Store(0)
	is.Equal(len(e.proxy.Settle(t.Context())), 0)
	is.Equal(runs.Load(), int64(1))
}

// Guards against recorded outcomes that contradict the response of the target.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name, response string
		status         int
		outcome        wire.Outcome
	}{
		{"answered", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, wire.OutcomeDone},
		{"error of the target", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", 500, wire.OutcomeDone},
		{"shed", "HTTP/1.1 503 Busy\r\nGalenalock-Run: no\r\nContent-Length: 0\r\n\r\n", 503, wire.OutcomeReleased},
		{"closed", "", 502, wire.OutcomeUnknown},
		{"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok", 0, wire.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			control := newFakeControl()
			target := listen(t, func(conn net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err == nil {
					_, _ = io.WriteString(conn, c.response)
				}
			})
			e := startEntry(t, false, control.hooks(), proxy.Rules{}, target)
			status, _, _, err := e.send(http.MethodPost, "/orders", strings.NewReader("x"), "Idempotency-Key", "k")
			is.Equal(err != nil, c.status == 0)
			if err == nil {
				is.Equal(status, c.status)
			}
			is.Equal((<-control.closed).Outcome, c.outcome)
		})
	}
}

// Guards against a Settle that ignores its context while a record fails, or that
// does not return the claims that are still open.
func TestSettleReportsOpenClaims(t *testing.T) {
	is := is.New(t)
	control := newFakeControl()
	hooks := control.hooks()
	tried := make(chan struct{}, 64)
	hooks.Close = func(ctx context.Context, _ wire.Close) (wire.Claimed, error) {
		tried <- struct{}{}
		<-ctx.Done()
		return wire.Claimed{}, ctx.Err()
	}
	e := startEntry(t, false, hooks, proxy.Rules{}, respond(t, "HTTP/1.1 204 No Content\r\n\r\n", nil))
	_, _, _, err := e.send(http.MethodPost, "/orders", strings.NewReader("x"), "Idempotency-Key", "k")
	is.NoErr(err)
	<-tried
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	open := e.proxy.Settle(ctx)
	is.Equal(len(open), 1)
	is.Equal(open[0].Outcome, wire.OutcomeDone)
	is.Equal(open[0].Key, "k")
}

// Guards against a claim that stays open after a refusal because control cannot
// be reached.
func TestNoControl(t *testing.T) {
	is := is.New(t)
	hooks := proxy.Hooks{Claim: func(context.Context, wire.Claim) (wire.Claimed, error) {
		return wire.Claimed{}, &refuse.Error{Reason: refuse.NoQuorum, Run: refuse.NotRun}
	}}
	e := startEntry(t, false, hooks, proxy.Rules{}, closedAddress(t))
	status, _, body, err := e.send(http.MethodPost, "/orders", strings.NewReader("x"), "Idempotency-Key", "k")
	is.NoErr(err)
	is.Equal(status, 503)
	is.True(strings.Contains(body, `"reason":"noquorum","run":"no"`))
	is.Equal(len(e.proxy.Settle(t.Context())), 0)
}
