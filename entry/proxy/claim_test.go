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

// control is a stand-in for the claims of the control replicas.
type control struct {
	mu     sync.Mutex
	claims map[string]*held
	closed chan wire.Close
	fail   atomic.Int64 // how many calls fail after they took effect
}

type held struct {
	claim  wire.Claim
	closed *wire.Close
}

func newControl() *control {
	return &control{claims: map[string]*held{}, closed: make(chan wire.Close, 64)}
}

var errLost = errors.New("the answer was lost")

func (c *control) claim(_ context.Context, q wire.Claim) (wire.Claimed, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.claims[q.Key]
	switch {
	case h == nil || h.closed != nil && h.closed.Outcome == wire.OutcomeReleased:
		c.claims[q.Key] = &held{claim: q}
	case h.claim.Fingerprint != q.Fingerprint:
		return wire.Claimed{State: wire.ClaimMismatch}, nil
	case h.closed != nil && h.closed.Outcome == wire.OutcomeDone:
		return wire.Claimed{State: wire.ClaimDone, Answer: h.closed.Answer}, nil
	case h.closed != nil:
		return wire.Claimed{State: wire.ClaimUnknown}, nil
	case h.claim.Owner != q.Owner || h.claim.Attempt != q.Attempt:
		return wire.Claimed{State: wire.ClaimRunning}, nil
	}
	if c.fail.Add(-1) >= 0 {
		return wire.Claimed{}, errLost
	}
	return wire.Claimed{State: wire.ClaimGranted}, nil
}

func (c *control) close(_ context.Context, q wire.Close) (wire.Claimed, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fail.Add(-1) >= 0 {
		return wire.Claimed{}, errLost
	}
	if h := c.claims[q.Key]; h != nil && h.claim.Attempt == q.Attempt && h.closed == nil {
		h.closed = &q
	}
	c.closed <- q
	return wire.Claimed{State: wire.ClaimDone}, nil
}

func (c *control) hooks() proxy.Hooks { return proxy.Hooks{Claim: c.claim, Close: c.close} }

// Guards against a request with a key that runs more than once when a caller
// resends it while it runs, and against duplicates that do not get the
// recorded response. The naive variant grants every claim.
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
		control := newControl()
		hooks := control.hooks()
		asked := make(chan struct{}, 1024)
		hooks.Claimed = func(wire.ClaimState) { asked <- struct{}{} }
		if naive {
			hooks.Claim = claims(wire.ClaimGranted, nil)
		}
		e := start(t, false, hooks, proxy.Rules{}, target)
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

// Guards against a caller that leaves and thereby cancels an order that was
// dispatched, so that its outcome is lost. The naive variant ties the order to
// its caller.
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
		control := newControl()
		rules := proxy.Rules{}
		entered := make(chan struct{})
		hooks := control.hooks()
		hooks.End = func(proxy.Attempt, proxy.Outcome) { close(entered) }
		if naive {
			rules.Detach = detachNone
		}
		e := start(t, false, hooks, rules, target)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-arrived
			cancel()
		}()
		_, _, _, err := e.sendContext(ctx, http.MethodPost, "/orders", strings.NewReader("x"), "Idempotency-Key", "k")
		is.True(errors.Is(err, context.Canceled))
		if naive {
			<-entered // the cancelled attempt has ended
		}
		close(left)
		record := <-control.closed
		is.Equal(record.Outcome == wire.OutcomeDone, !naive)
		if !naive {
			is.Equal(string(record.Answer.Body), "made")
		}
	}
}

// Guards against records that are lost with the first failed call, and against
// a lost answer to a claim that blocks the key or dispatches twice.
func TestLostAnswersOfControl(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	target := answers(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", func(*http.Request, string) { runs.Add(1) })
	control := newControl()
	control.fail.Store(1)
	e := start(t, true, control.hooks(), proxy.Rules{}, target)
	status, _, _, err := e.send(http.MethodPost, "/orders", strings.NewReader("x"), "Idempotency-Key", "k")
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal((<-control.closed).Outcome, wire.OutcomeDone)
	control.fail.Store(0)
	is.Equal(len(e.proxy.Settle(t.Context())), 0)
	is.Equal(runs.Load(), int64(1))
}

// Guards against outcomes that do not fit what the target did.
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
			control := newControl()
			target := listen(t, func(conn net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err == nil {
					_, _ = io.WriteString(conn, c.response)
				}
			})
			e := start(t, false, control.hooks(), proxy.Rules{}, target)
			status, _, _, err := e.send(http.MethodPost, "/orders", strings.NewReader("x"), "Idempotency-Key", "k")
			is.Equal(err != nil, c.status == 0)
			if err == nil {
				is.Equal(status, c.status)
			}
			is.Equal((<-control.closed).Outcome, c.outcome)
		})
	}
}

// Guards against a shutdown that waits forever for a record, or that does not
// tell which claims it leaves open.
func TestSettleReportsOpenClaims(t *testing.T) {
	is := is.New(t)
	control := newControl()
	hooks := control.hooks()
	tried := make(chan struct{}, 64)
	hooks.Close = func(ctx context.Context, _ wire.Close) (wire.Claimed, error) {
		tried <- struct{}{}
		<-ctx.Done()
		return wire.Claimed{}, ctx.Err()
	}
	e := start(t, false, hooks, proxy.Rules{}, answers(t, "HTTP/1.1 204 No Content\r\n\r\n", nil))
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

// Guards against a refusal for want of control that leaves a record behind.
func TestNoControl(t *testing.T) {
	is := is.New(t)
	hooks := proxy.Hooks{Claim: func(context.Context, wire.Claim) (wire.Claimed, error) {
		return wire.Claimed{}, &refuse.Error{Reason: refuse.NoQuorum, Run: refuse.NotRun}
	}}
	e := start(t, false, hooks, proxy.Rules{}, refusing(t))
	status, _, body, err := e.send(http.MethodPost, "/orders", strings.NewReader("x"), "Idempotency-Key", "k")
	is.NoErr(err)
	is.Equal(status, 503)
	is.True(strings.Contains(body, `"reason":"noquorum","run":"no"`))
	is.Equal(len(e.proxy.Settle(t.Context())), 0)
}
