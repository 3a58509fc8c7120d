package proxy

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/galenalock/galenalock/core/pool"
	"github.com/galenalock/galenalock/core/refuse"
)

// attempt is one dispatch of a request to a target.
type attempt struct {
	call     *call
	info     Attempt
	fresh    bool // on a new connection
	ctx      context.Context
	cancel   context.CancelFunc
	informed func(status int, header http.Header)

	reused   atomic.Bool
	given    atomic.Pointer[Class] // why the attempt was given up on this side
	response *pool.Response
	outcome  Outcome
	once     sync.Once
}

// shedError is the declaration of a target that it did not run the request.
type shedError struct {
	full bool // the whole service is full, other targets would shed too
}

// Error describes the declaration.
func (e *shedError) Error() string { return "the target shed the request" }

func (c *call) attempt(ctx context.Context, target Target, number int) *attempt {
	a := &attempt{call: c, info: Attempt{Request: c.request, Target: target, Number: number}}
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.informed = c.inform
	return a
}

// do sends the request and waits for the head of the response.
func (a *attempt) do() error {
	c := a.call
	hooks := &c.proxy.hooks
	a.info.Start = hooks.Now()
	hooks.Begin(a.info)
	response, err := c.proxy.pool.Do(a.ctx, a.message())
	if err != nil {
		a.end(a.class(err), err)
		return err
	}
	a.response = response
	a.outcome.Head = hooks.Now().Sub(a.info.Start)
	a.outcome.Status = response.StatusCode
	a.outcome.Load = response.Header.Get(headerLoad)
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerRun) == string(refuse.NotRun) {
		err := &shedError{full: response.Header.Get(headerShed) == "service"}
		response.Body.Close()
		a.end(Refused, err)
		return err
	}
	return nil
}

// message builds the request for the pool.
func (a *attempt) message() *pool.Request {
	c := a.call
	header := c.header
	if a.info.Number > 0 {
		header = maps.Clone(header)
	}
	header[headerDeadline] = []string{left(c.request.Deadline, a.info.Start)}
	m := &pool.Request{
		Target: a.info.Target.Address, Method: c.r.Method, URI: c.uri, Host: c.r.Host, Header: header,
		Data: c.data, Once: c.once, New: a.fresh,
		Ready:    a.ready,
		Informed: a.informed,
	}
	switch {
	case c.streams:
		m.Body, m.Length, m.Trailer, m.Expect = c.upload, c.upload.length, c.r.Trailer, expects(c.r)
	case len(c.r.Trailer) > 0:
		m.Body, m.Length, m.Trailer = bytes.NewReader(c.data), -1, c.r.Trailer
	}
	return m
}

// ready lets the request go once a connection is open.
func (a *attempt) ready(reused bool) error {
	a.reused.Store(reused)
	if a.call.gate != nil {
		return a.call.gate()
	}
	return nil
}

// give cancels the attempt for a reason on this side.
func (a *attempt) give(class Class) {
	a.given.CompareAndSwap(nil, &class)
	a.cancel()
}

// drop gives up a response that arrived; its connection is closed.
func (a *attempt) drop() {
	a.response.Body.Close()
	a.end(a.class(context.Canceled), nil)
}

// class says why the attempt failed.
func (a *attempt) class(err error) Class {
	var dial *pool.DialError
	var source *pool.SourceError
	given := a.given.Load()
	switch {
	case given != nil:
		return *given
	case errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		return Overdue
	case a.ctx.Err() != nil, errors.As(err, &source), errors.Is(err, context.Canceled):
		return Cancelled
	case errors.As(err, &dial):
		return Dial
	case errors.Is(err, errLate):
		return Cancelled
	}
	return Failed
}

// end reports the outcome once.
func (a *attempt) end(class Class, err error) {
	a.once.Do(func() {
		a.cancel()
		a.outcome.Class, a.outcome.Err = class, err
		a.outcome.End = a.call.proxy.hooks.Now()
		a.outcome.Reused = a.reused.Load()
		a.outcome.Sent = a.call.upload.count.Load()
		a.call.proxy.hooks.End(a.info, a.outcome)
	})
}
