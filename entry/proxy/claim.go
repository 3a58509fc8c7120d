package proxy

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/galenalock/galenalock/core/budget"
	"github.com/galenalock/galenalock/core/claim"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/wire"
)

// errStaleClaim means that the grant of a claim is too old to dispatch the
// request.
var errStaleClaim = errors.New("the grant of the claim is too old to dispatch the request")

// serveKeyed serves a keyed request that must not be repeated. It dispatches the
// request only while this attempt holds the claim for its key. ctx ends when the
// caller leaves and applies until dispatch; detached applies afterwards.
func (c *call) serveKeyed(ctx, detached context.Context) error {
	recorder := c.proxy.recorder
	requestHash := fingerprint(c.r, c.path, c.request.Workspace, c.bufferedBody)
	number, action := recorder.open(c.request, c.claimKey(), requestHash)
	contended := false
	for action.Type == claim.SendClaim {
		if err := sleepContext(ctx, action.Delay); err != nil {
			recorder.abandon(number)
			return undispatchedRefusal(ctx, contended)
		}
		claimed, err := recorder.sendClaim(ctx, number, action.Claim)
		var unsent *refuse.Error
		switch {
		case err == nil:
			c.proxy.hooks.Claimed(claimed.State)
			contended = contended || claimed.State == wire.ClaimRunning
			action = recorder.handleResponse(number, claimed)
		case errors.As(err, &unsent):
			recorder.discard(number)
			return err
		case ctx.Err() != nil:
			recorder.abandon(number)
			return undispatchedRefusal(ctx, contended)
		default:
			action = recorder.handleNoResponse(number)
		}
	}
	switch action.Type {
	case claim.Reply:
		if err := c.checkAccess(); err != nil {
			return c.dispatchRefusal(ctx, err)
		}
		return c.replay(action.Answer)
	case claim.Dispatch:
		return c.dispatchClaimed(ctx, detached, number)
	}
	return &refuse.Error{Reason: action.Reason, Run: action.Run, RetryAfter: action.RetryAfter}
}

// dispatchClaimed dispatches the request of a granted claim, forwards the
// response and records the outcome.
func (c *call) dispatchClaimed(ctx, detached context.Context, number uint64) error {
	recorder := c.proxy.recorder
	if ctx.Err() != nil {
		recorder.abandon(number)
		return undispatchedRefusal(ctx, false)
	}
	c.beforeSend = func() error {
		if !recorder.dispatch(number) {
			return errStaleClaim
		}
		return nil
	}
	c.onUnsent = func() { recorder.undoDispatch(number) }
	c.request.Path = DirectPath // the claim permits this entry to dispatch
	a, err := c.dispatch(detached)
	switch {
	case err != nil && c.mayHaveRun.Load():
		recorder.finish(number, wire.OutcomeUnknown, nil)
	case err != nil:
		recorder.finish(number, wire.OutcomeReleased, nil)
	}
	if errors.Is(err, errStaleClaim) {
		return &refuse.Error{Reason: refuse.NoQuorum, Run: refuse.NotRun, RetryAfter: retryAfter, Err: err}
	}
	if err != nil {
		return c.dispatchRefusal(detached, err)
	}
	recorded := &capture{charge: budget.FromContext(c.r.Context())}
	recorded.onDone = func(complete bool) {
		if complete {
			recorder.finish(number, wire.OutcomeDone, recorded.record())
			return
		}
		recorder.finish(number, wire.OutcomeUnknown, nil)
	}
	return c.reply(a, recorded)
}

// undispatchedRefusal returns the error of a keyed request that was not
// dispatched because its deadline passed or its caller left.
func undispatchedRefusal(ctx context.Context, contended bool) error {
	switch {
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errCallerGone
	case contended:
		return &refuse.Error{Reason: refuse.Running, Run: refuse.Unknown, RetryAfter: retryAfter}
	}
	return &refuse.Error{Reason: refuse.NoQuorum, Run: refuse.NotRun, RetryAfter: retryAfter}
}

// sleepContext waits for d or until ctx is done, and returns ctx.Err().
func sleepContext(ctx context.Context, d time.Duration) error {
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// replay sends the response that was recorded for an earlier request with the
// same key.
func (c *call) replay(answer *wire.Answer) error {
	h := c.w.Header()
	maps.Copy(h, http.Header(answer.Header))
	removeHopHeaders(h)
	h[headerReplayed] = []string{"true"}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil
	}
	delete(h, "Content-Length")
	if !answer.Stored {
		h[headerStored] = []string{"false"}
		for _, name := range []string{"Content-Encoding", "Content-Range", headerDigest, "Etag"} {
			delete(h, name) // they describe the missing body
		}
	}
	if allowsBody(c.r.Method, answer.Status) {
		h["Content-Length"] = []string{strconv.Itoa(len(answer.Body))}
	}
	c.setClose(h)
	c.markRelayed(h, nil)
	c.wroteHeader, c.status = true, answer.Status
	c.w.WriteHeader(answer.Status)
	// A failed write needs no handling: the caller can resend the request.
	_, _ = c.w.Write(answer.Body)
	return nil
}

func allowsBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
