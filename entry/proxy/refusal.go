package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/galenalock/galenalock/core/refuse"
)

// Delays after which callers are advised to resend a refused request.
const (
	retryAfter = time.Second
	// retryElsewhere is for a request that another entry can serve at once.
	retryElsewhere = 100 * time.Millisecond
	// retryStarting is about the time in which a starting entry gets its
	// configuration.
	retryStarting = 500 * time.Millisecond
	// retryShed is about the duration of a request, after which a slot is free. It
	// applies if targets do not report their load.
	retryShed = 500 * time.Millisecond
)

// errCallerGone means that the caller left before it got a complete response.
var errCallerGone = errors.New("the caller left")

// admissionRefusal converts an error of the Admit hook to a refusal.
func admissionRefusal(ctx context.Context, err error) error {
	var refusal *refuse.Error
	switch {
	case errors.As(err, &refusal):
		return err
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &refuse.Error{Reason: refuse.Deadline, Run: refuse.NotRun, Err: err}
	case ctx.Err() != nil:
		return errCallerGone
	}
	return &refuse.Error{Reason: refuse.Overload, Run: refuse.NotRun, RetryAfter: retryAfter, Err: err}
}

// refuse sends a refusal to the caller, or aborts if the caller left or the
// response has begun.
func (c *call) refuse(err error) {
	if errors.Is(err, errCallerGone) {
		panic(http.ErrAbortHandler)
	}
	var refusal *refuse.Error
	if !errors.As(err, &refusal) {
		refusal = &refuse.Error{Reason: refuse.Broken, Run: refuse.Unknown, Err: err}
	}
	if !c.relayed {
		c.proxy.hooks.Refused(refusal.Reason)
	}
	if c.wroteHeader {
		panic(http.ErrAbortHandler)
	}
	h := c.w.Header()
	clear(h)
	d := &c.proxy.dialect
	if d.RefusalID != "" {
		h[d.RefusalID] = []string{c.request.ID}
	}
	if refusal.Reason == refuse.Unauthorized {
		h["Www-Authenticate"] = []string{d.KeyScheme}
	}
	c.setClose(h)
	c.markRefused(h, refusal)
	style := d.Style
	if d.NotRunAs503 && refusal.Run == refuse.NotRun && refusal.Reason.Status() >= http.StatusBadGateway {
		style.StatusOverride = http.StatusServiceUnavailable
	}
	style.SetLength = c.leavesBodyUnread()
	refuse.WriteStyled(c.w, c.request.ID, refusal, style)
}

// setClose sets Connection: close while the instance drains, so that the caller
// reconnects elsewhere, and if the request body was not read to its end.
func (c *call) setClose(h http.Header) {
	v := c.proxy.hooks.View()
	if v != nil && v.Draining || c.leavesBodyUnread() {
		h["Connection"] = []string{"close"}
	}
}

// leavesBodyUnread reports whether the rest of the request body would be taken for the
// next request on the connection.
func (c *call) leavesBodyUnread() bool {
	return c.r.ProtoMajor == 1 && c.upload != nil && c.upload.isUnread()
}

// drainUpload reads the rest of an unread body while the caller receives the response.
// Without a length the caller would wait for the end of the response meanwhile.
func (c *call) drainUpload() {
	if !c.leavesBodyUnread() || c.w.Header().Get("Content-Length") == "" {
		return
	}
	if c.controller.Flush() == nil {
		c.upload.drain()
	}
}
