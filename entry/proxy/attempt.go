package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/galenalock/galenalock/core/budget"
	"github.com/galenalock/galenalock/core/pool"
	"github.com/galenalock/galenalock/core/refuse"
)

// attempt is one dispatch of a request to a target.
type attempt struct {
	call            *call
	info            Attempt
	newConnection   bool // requires a new connection
	allowance       int  // of an attempt through another entry, targets that may receive the request
	ctx             context.Context
	cancel          context.CancelFunc
	onInformational func(status int, header http.Header)

	reused           atomic.Bool
	abandoned        atomic.Pointer[Class] // why the entry stopped the attempt
	response         *pool.Response
	prefetched       []byte // unread first part of the body, read before it is forwarded
	prefetchComplete bool   // prefetched holds all that is left of the body
	outcome          Outcome
	endOnce          sync.Once
}

// shedError means that a target declared that it did not run the request.
type shedError struct {
	serviceFull bool // the whole service is full; other targets would shed the request too
	misdirected bool // a different target answered at the address
}

// Error returns the declaration of the target.
func (e *shedError) Error() string {
	if e.misdirected {
		return "a different target answered at the address"
	}
	return "the target shed the request"
}

func (c *call) attempt(ctx context.Context, target Target, number int) *attempt {
	a := &attempt{call: c, info: Attempt{Request: c.request, Target: target, Number: c.earlierAttempts + number, Streamed: c.streaming}}
	a.ctx, a.cancel = context.WithCancel(ctx)
	if target.Relay {
		a.allowance, c.passedOn = c.remainingAttempts(), true
	}
	c.attempts, c.target = c.attempts+1, target
	a.onInformational = c.forwardInformational
	return a
}

// do sends the request and waits for the response header, and for the part of the
// body that is read in advance.
func (a *attempt) do() error {
	c := a.call
	hooks := &c.proxy.hooks
	a.info.Start = hooks.Now()
	hooks.Begin(a.info)
	connections := c.proxy.pool
	if a.info.Target.Relay {
		connections = c.proxy.relays
	}
	response, err := connections.Do(a.ctx, a.poolRequest())
	if err != nil {
		a.end(a.failureClass(err), err)
		return err
	}
	a.response = response
	a.outcome.HeaderLatency = hooks.Now().Sub(a.info.Start)
	a.outcome.Status, a.outcome.ConnectTime = response.StatusCode, response.ConnectTime
	if a.info.Target.Relay {
		return a.receiveRelayed()
	}
	d := &c.proxy.dialect
	a.outcome.Load, a.outcome.HasLoad = d.Load(response.Header)
	if notRun, full := d.NotRun(response.StatusCode, response.Header); notRun && a.checkDeclaration(response) == nil {
		err := &shedError{serviceFull: full, misdirected: d.Misdirected(response.StatusCode)}
		if !err.misdirected {
			a.recordTerms()
		}
		a.discardBody()
		a.end(err.class(), err)
		return err
	}
	err = a.checkIdentity(response.Response)
	if err == nil {
		a.recordTerms()
		err = a.prefetch()
	}
	if err != nil {
		response.Body.Close()
		a.end(a.failureClass(err), err)
		return err
	}
	return nil
}

// receiveRelayed receives the response of another entry up to the part of the body
// that is read in advance.
func (a *attempt) receiveRelayed() error {
	err := a.checkRelay(a.response.Header)
	var refused *relayError
	if errors.As(err, &refused) {
		a.discardBody()
		a.end(refused.class(), err)
		return err
	}
	if err == nil {
		err = a.checkIdentity(a.response.Response)
	}
	if err == nil {
		err = a.prefetch()
	}
	if err != nil {
		a.response.Body.Close()
		a.end(a.failureClass(err), err)
	}
	return err
}

// recordTerms records what the response says about the requests that its target
// accepts.
func (a *attempt) recordTerms() {
	d := &a.call.proxy.dialect
	if d.Limit != nil {
		a.outcome.Limit, a.outcome.HasLimit = d.Limit(a.response.Header)
	}
	a.outcome.Pause = pauseOf(a.response.Response)
	a.outcome.Leaving = d.Leaving != nil && d.Leaving(a.response.Header)
}

// panicError is a panic of an attempt that runs in a goroutine of its own.
type panicError struct {
	value any
	stack []byte
}

// Error returns the argument of the panic and the stack.
func (e *panicError) Error() string { return fmt.Sprintf("attempt panicked: %v\n%s", e.value, e.stack) }

// doContained is do, but returns a panic as an error. Outside of the goroutine
// that serves the caller, a panic would end the process.
func (a *attempt) doContained() (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &panicError{value: value, stack: debug.Stack()}
			a.cancel() // closes the connection
			a.end(Failed, err)
		}
	}()
	return a.do()
}

// discardBody discards the body of an unused response. It reads a short body to
// the end, so that the connection can be reused; a longer one closes the
// connection.
func (a *attempt) discardBody() {
	const short = 4 << 10
	if n := a.response.ContentLength; n >= 0 && n <= short {
		_, _ = io.CopyN(io.Discard, a.response.Body, n+1) // on failure, Close closes the connection
	}
	a.response.Body.Close()
}

func (e *shedError) class() Class {
	if e.misdirected {
		return Misdirected
	}
	return Refused
}

// poolRequest returns the request of the attempt for the pool.
func (a *attempt) poolRequest() *pool.Request {
	c := a.call
	header := c.header
	if a.info.Number > 0 {
		header = maps.Clone(header) // an earlier attempt may still be sending it
	}
	d := &c.proxy.dialect
	if d.Deadline != "" {
		header[d.Deadline] = []string{deadlineValue(c.request.Deadline, a.info.Start)}
	}
	if d.Target != "" && a.info.Target.Name != "" && !a.info.Target.Relay {
		header[d.Target] = []string{a.info.Target.Name}
	}
	m := &pool.Request{
		Target: a.info.Target.Address, Method: c.r.Method, URI: c.uri, Host: c.r.Host, Header: header,
		BufferedBody: c.bufferedBody, NonRepeatable: c.atMostOnce, NewConnection: a.newConnection || c.isUnidentified(),
		BeforeSend:      a.ready,
		MayReuse:        a.mayReuse,
		OnInformational: a.onInformational,
	}
	switch {
	case c.streaming:
		m.Body, m.Length, m.Trailer, m.ExpectContinue = c.upload, c.upload.length, c.r.Trailer, expectsContinue(c.r)
	case len(c.r.Trailer) > 0:
		m.Body, m.Length, m.Trailer = bytes.NewReader(c.bufferedBody), -1, c.r.Trailer
	}
	if a.info.Target.Relay {
		return a.relayRequest(m)
	}
	return m
}

// isUnidentified reports whether the request lacks the identifier by which responses
// are told apart. On a connection that carried another request, a late response to
// that one would be taken for its own.
func (c *call) isUnidentified() bool {
	d := &c.proxy.dialect
	return d.Request != "" && c.r.Header.Get(d.Request) == ""
}

// mayReuse reports whether the connection of a response may carry another request. A
// copy of a declaration may come at any time. Without an identifier it would be taken
// for a declaration of the next request.
func (a *attempt) mayReuse(response *http.Response) bool {
	d := &a.call.proxy.dialect
	if a.info.Target.Relay || d.Request != "" && response.Header.Get(d.Request) != "" {
		return true
	}
	notRun, _ := d.NotRun(response.StatusCode, response.Header)
	return !notRun
}

// ready is called when a connection is open, before the first byte is sent. An
// error stops the attempt.
func (a *attempt) ready(reused bool) error {
	a.reused.Store(reused)
	if err := a.call.checkAccess(); err != nil {
		return err
	}
	if u := a.call.upload; a.call.streaming {
		u.enableDuplex()
		u.charge.SetStage(budget.Forwarding)
		u.notifyWhole(func() { a.call.proxy.hooks.Sent(a.info) })
	}
	if a.call.beforeSend != nil {
		if err := a.call.beforeSend(); err != nil {
			return err
		}
	}
	if send := a.call.request.Admission.Send; send != nil {
		return send()
	}
	return nil
}

// abandon cancels the attempt and sets the class of its outcome.
func (a *attempt) abandon(class Class) {
	a.abandoned.CompareAndSwap(nil, &class)
	a.cancel()
}

// drop discards a response that arrived and closes its connection.
func (a *attempt) drop() {
	a.response.Body.Close()
	a.end(a.failureClass(context.Canceled), nil)
}

// failureClass returns the class of a failed attempt.
func (a *attempt) failureClass(err error) Class {
	var dial *pool.DialError
	var bodyErr *pool.RequestBodyError
	var access *accessError
	var refused *refuse.Error
	given := a.abandoned.Load()
	switch {
	case given != nil:
		return *given
	case errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		return Overdue
	case a.ctx.Err() != nil, errors.As(err, &bodyErr), errors.Is(err, context.Canceled):
		return Cancelled
	case errors.As(err, &dial):
		return Dial
	case errors.Is(err, errStaleClaim), errors.As(err, &access), errors.As(err, &refused):
		return Cancelled
	}
	return Failed
}

// end reports the outcome to the End hook; later calls do nothing.
func (a *attempt) end(class Class, err error) {
	a.endOnce.Do(func() {
		a.cancel()
		a.outcome.Class, a.outcome.Err = class, err
		a.outcome.End = a.call.proxy.hooks.Now()
		a.outcome.Reused = a.reused.Load()
		a.outcome.Lost = class == Failed && pool.ConnectionLost(err)
		a.outcome.Stalled = a.info.Streamed && a.call.upload.isStalled()
		a.outcome.BytesSent = a.call.upload.bytesRead.Load()
		a.call.proxy.hooks.End(a.info, a.outcome)
	})
}
