package proxy

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/galenalock/galenalock/core/claim"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/wire"
)

// errLate is a claim that was granted too long ago to dispatch the request.
var errLate = errors.New("the claim was granted too late")

// claim carries a keyed request that must not be repeated: it is dispatched
// only while this attempt holds the claim for its key. The caller may leave
// until then; detached outlives it.
func (c *call) claim(ctx, detached context.Context) error {
	records := c.proxy.records
	mark := fingerprint(c.r, c.path, c.request.Workspace, c.data)
	number, action := records.open(c.request, c.key, mark)
	contended := false
	for action.Do == claim.Ask {
		if err := wait(ctx, action.After); err != nil {
			records.leave(number)
			return unclaimed(ctx, contended)
		}
		claimed, err := records.ask(ctx, number, action.Claim)
		var unsent *refuse.Error
		switch {
		case err == nil:
			c.proxy.hooks.Claimed(claimed.State)
			contended = contended || claimed.State == wire.ClaimRunning
			action = records.answered(number, claimed)
		case errors.As(err, &unsent):
			records.forget(number)
			return err
		case ctx.Err() != nil:
			records.leave(number)
			return unclaimed(ctx, contended)
		default:
			action = records.unanswered(number)
		}
	}
	switch action.Do {
	case claim.Reply:
		return c.replay(action.Answer)
	case claim.Dispatch:
		return c.held(ctx, detached, number)
	}
	return &refuse.Error{Reason: action.Reason, Run: action.Run, Retry: action.Retry}
}

// held dispatches the request of a granted claim and records the outcome.
func (c *call) held(ctx, detached context.Context, number uint64) error {
	records := c.proxy.records
	if ctx.Err() != nil {
		records.leave(number)
		return unclaimed(ctx, false)
	}
	c.gate = func() error {
		if !records.dispatch(number) {
			return errLate
		}
		return nil
	}
	c.undo = func() { records.undo(number) }
	a, err := c.dispatch(detached)
	switch {
	case err != nil && c.touched.Load():
		records.finish(number, wire.OutcomeUnknown, nil)
	case err != nil:
		records.finish(number, wire.OutcomeReleased, nil)
	}
	if errors.Is(err, errLate) {
		return &refuse.Error{Reason: refuse.NoQuorum, Run: refuse.NotRun, Retry: retryAfter, Err: err}
	}
	if err != nil {
		return c.refusal(detached, err)
	}
	keep := &capture{}
	keep.done = func(whole bool) {
		if whole {
			records.finish(number, wire.OutcomeDone, keep.record())
			return
		}
		records.finish(number, wire.OutcomeUnknown, nil)
	}
	return c.reply(a, keep)
}

// unclaimed is the refusal of a request that was not dispatched because its
// time was over or its caller left.
func unclaimed(ctx context.Context, contended bool) error {
	switch {
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errGone
	case contended:
		return &refuse.Error{Reason: refuse.Running, Run: refuse.Unknown, Retry: retryAfter}
	}
	return &refuse.Error{Reason: refuse.NoQuorum, Run: refuse.NotRun, Retry: retryAfter}
}

func wait(ctx context.Context, d time.Duration) error {
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

// replay answers with the response that was recorded for an earlier request.
func (c *call) replay(answer *wire.Answer) error {
	h := c.w.Header()
	maps.Copy(h, http.Header(answer.Header))
	removeHop(h)
	h[headerReplayed] = []string{"true"}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil
	}
	delete(h, "Content-Length")
	if !answer.Stored {
		h[headerStored] = []string{"false"}
		for _, name := range []string{"Content-Encoding", "Content-Range", headerDigest, "Etag"} {
			delete(h, name) // they describe the body that is not there
		}
	}
	if bodied(c.r.Method, answer.Status) {
		h["Content-Length"] = []string{strconv.Itoa(len(answer.Body))}
	}
	c.closing(h)
	c.written, c.status = true, answer.Status
	c.w.WriteHeader(answer.Status)
	// A caller that left can ask again.
	_, _ = c.w.Write(answer.Body)
	return nil
}

func bodied(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
