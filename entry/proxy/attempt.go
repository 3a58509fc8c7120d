package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/galenalock/galenalock/core/pool"
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
	fetched  []byte // first part of the body, read in advance
	whole    bool   // fetched holds the rest of the body
	outcome  Outcome
	once     sync.Once
}

// shedError is the declaration of a target that it did not run the request.
type shedError struct {
	full        bool // the whole service is full, other targets would shed too
	misdirected bool // another target answered at the address
}

// Error describes the declaration.
func (e *shedError) Error() string {
	if e.misdirected {
		return "another target has the address"
	}
	return "the target shed the request"
}

func (c *call) attempt(ctx context.Context, target Target, number int) *attempt {
	a := &attempt{call: c, info: Attempt{Request: c.request, Target: target, Number: number}}
	a.ctx, a.cancel = context.WithCancel(ctx)
	c.made, c.target = c.made+1, target
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
	d := &c.proxy.dialect
	a.outcome.Load, a.outcome.Loaded = d.Load(response.Header)
	if unrun, full := d.Unrun(response.StatusCode, response.Header); unrun {
		err := &shedError{full: full, misdirected: d.Misdirected(response.StatusCode)}
		a.discard()
		a.end(err.class(), err)
		return err
	}
	err = a.genuine(response.Response)
	if err == nil {
		err = a.fetch()
	}
	if err != nil {
		response.Body.Close()
		a.end(a.class(err), err)
		return err
	}
	return nil
}

// discard reads the short body of a response that nobody gets, so that its
// connection can be used again, and closes the connection of a longer one.
func (a *attempt) discard() {
	const short = 4 << 10
	if n := a.response.ContentLength; n >= 0 && n <= short {
		_, _ = io.CopyN(io.Discard, a.response.Body, n+1) // Close ends a connection that is not at its end
	}
	a.response.Body.Close()
}

func (e *shedError) class() Class {
	if e.misdirected {
		return Misdirected
	}
	return Refused
}

// message builds the request for the pool.
func (a *attempt) message() *pool.Request {
	c := a.call
	header := c.header
	if a.info.Number > 0 {
		header = maps.Clone(header) // the one before may still be written
	}
	d := &c.proxy.dialect
	if d.Deadline != "" {
		header[d.Deadline] = []string{left(c.request.Deadline, a.info.Start)}
	}
	if d.Target != "" && a.info.Target.Name != "" {
		header[d.Target] = []string{a.info.Target.Name}
	}
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
