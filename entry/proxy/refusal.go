package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/galenalock/galenalock/core/refuse"
)

// When a resend is sensible after a refusal.
const (
	retryAfter = time.Second
	// retryElsewhere is for what another entry can do at once.
	retryElsewhere = 100 * time.Millisecond
	// retryStarting is about the time in which an entry that has started gets its
	// configuration.
	retryStarting = 500 * time.Millisecond
	// retryShed is about the time that a request takes, after which a slot is free.
	retryShed = 500 * time.Millisecond
)

// errGone is a caller that left before it got a response.
var errGone = errors.New("the caller left")

// admission makes the error of the admission hook a refusal.
func admission(ctx context.Context, err error) error {
	var refusal *refuse.Error
	switch {
	case errors.As(err, &refusal):
		return err
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &refuse.Error{Reason: refuse.Deadline, Run: refuse.NotRun, Err: err}
	case ctx.Err() != nil:
		return errGone
	}
	return &refuse.Error{Reason: refuse.Overload, Run: refuse.NotRun, Retry: retryAfter, Err: err}
}

// refuse tells the caller why there is no response.
func (c *call) refuse(err error) {
	if errors.Is(err, errGone) {
		panic(http.ErrAbortHandler)
	}
	var refusal *refuse.Error
	if !errors.As(err, &refusal) {
		refusal = &refuse.Error{Reason: refuse.Broken, Run: refuse.Unknown, Err: err}
	}
	c.proxy.hooks.Refused(refusal.Reason)
	if c.written {
		panic(http.ErrAbortHandler)
	}
	h := c.w.Header()
	clear(h)
	d := &c.proxy.dialect
	if d.Own != "" {
		h[d.Own] = []string{c.request.ID}
	}
	c.closing(h)
	style := d.Style
	if d.Promise && refusal.Run == refuse.NotRun && refusal.Reason.Status() >= http.StatusBadGateway {
		style.Status = http.StatusServiceUnavailable
	}
	refuse.WriteAs(c.w, c.request.ID, refusal, style)
}

// closing asks the caller to reconnect elsewhere while the instance drains.
func (c *call) closing(h http.Header) {
	if v := c.proxy.hooks.View(); v != nil && v.Draining {
		h["Connection"] = []string{"close"}
	}
}
