package pool

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// exchange is one request and its response on a connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	request *Request
	stop    func() bool // ends the watch on the context
	upload  *transfer   // nil when the request was written at once
	closed  bool
}

// transfer is a body that is sent while the response is awaited.
type transfer struct {
	proceed chan struct{} // closed when the body may be sent
	halt    chan struct{} // closed when the body is no longer wanted
	done    chan struct{} // closed after err is set
	err     atomic.Pointer[error]
}

func (e *exchange) run() (*Response, error) {
	if err := e.conn.begin(e.request); err != nil {
		return nil, err
	}
	if e.request.streams() {
		e.send()
	}
	response, err := e.await()
	if err != nil {
		return nil, e.explain(err)
	}
	now := e.pool.opts.now()
	e.conn.proved = now
	e.conn.keep = keepAlive(response.Header)
	response.Body = &body{exchange: e, source: response.Body, response: response}
	if response.ContentLength == 0 || !bodied(e.request.Method, response.StatusCode) {
		response.Body.(*body).finish()
	}
	return &Response{Response: response, Reused: e.conn.reused}, nil
}

// send starts the transfer of the body.
func (e *exchange) send() {
	t := &transfer{proceed: make(chan struct{}), halt: make(chan struct{}), done: make(chan struct{})}
	e.upload = t
	if !e.request.Expect {
		close(t.proceed)
	}
	go func() {
		defer close(t.done)
		if err := t.wait(e.pool.opts.wait); err != nil {
			t.err.Store(&err)
			return
		}
		if err := e.conn.upload(e.request); err != nil {
			t.err.Store(&err)
			var source *SourceError
			if errors.As(err, &source) {
				// The target must not wait for, or accept, the rest.
				e.conn.net.Close()
			}
		}
	}()
}

var errHalted = errors.New("the response came before the body was sent")

func (t *transfer) wait(limit time.Duration) error {
	select {
	case <-t.proceed:
		return nil
	default:
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-t.proceed:
	case <-timer.C:
	case <-t.halt:
		return errHalted
	}
	return nil
}

// await reads responses up to the final one.
func (e *exchange) await() (*http.Response, error) {
	waiting := e.upload != nil && e.request.Expect
	for range maxInformed + 1 {
		response, err := e.conn.receive(e.request)
		if err != nil {
			return nil, err
		}
		switch code := response.StatusCode; {
		case code == http.StatusSwitchingProtocols:
			return nil, ErrUpgrade
		case code == http.StatusContinue:
			if waiting {
				waiting = false
				close(e.upload.proceed)
			}
		case code < http.StatusOK:
			if e.request.Informed != nil {
				e.request.Informed(code, response.Header)
			}
		default:
			if waiting {
				close(e.upload.halt)
			}
			if !e.pool.opts.unframed && unframed(e.request.Method, response) {
				return nil, ErrUnframed
			}
			return response, nil
		}
	}
	return nil, ErrInformational
}

// explain returns the error of the transfer when that is why no response came.
func (e *exchange) explain(err error) error {
	if e.upload != nil {
		if cause := e.upload.err.Load(); cause != nil {
			var source *SourceError
			if errors.As(*cause, &source) {
				return *cause
			}
		}
	}
	return &ReadError{Target: e.conn.target, Reused: e.conn.reused, Err: err}
}

// abort closes the connection, and with it whatever still arrives on it.
func (e *exchange) abort() {
	if e.closed {
		return
	}
	e.closed = true
	e.stop()
	e.conn.net.Close()
}

// release returns the connection to the pool when nothing can be left on it.
func (e *exchange) release(response *http.Response) {
	if e.closed {
		return
	}
	if !e.stop() || response.Close || !e.sent() || e.conn.in.Buffered() > 0 {
		e.abort()
		return
	}
	e.closed = true
	e.pool.put(e.conn)
}

// sent reports whether the whole request was written.
func (e *exchange) sent() bool {
	if e.upload == nil {
		return true
	}
	select {
	case <-e.upload.done:
		return e.upload.err.Load() == nil
	default:
		return false
	}
}

// body reads a response body and releases the connection at its end.
type body struct {
	exchange *exchange
	source   io.ReadCloser
	response *http.Response
	ended    bool
}

func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.source.Read(p)
	if err == io.EOF { //nolint:errorlint // only the bare value means a complete body
		b.finish()
		return n, io.EOF
	}
	if err != nil {
		err = b.exchange.explain(err)
		b.exchange.abort()
	}
	return n, err
}

func (b *body) finish() {
	b.ended = true
	b.exchange.release(b.response)
}

// Close closes the connection unless the body was read to its end.
func (b *body) Close() error {
	if !b.ended {
		b.exchange.abort()
	}
	return nil
}

func bodied(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// keepShare is the part of a target's idle timeout for which a connection is
// used; the rest covers the way and clocks that run at different speeds.
const keepShare = 0.8

// keepAlive returns how long a connection may be idle by what the target says,
// 0 for no word.
func keepAlive(h http.Header) time.Duration {
	for word := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(word), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(float64(seconds) * keepShare * float64(time.Second))
		}
	}
	return 0
}

func unframed(method string, r *http.Response) bool {
	return bodied(method, r.StatusCode) && r.ContentLength < 0 && len(r.TransferEncoding) == 0
}
