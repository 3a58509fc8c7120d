package pool

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// exchange sends one request on a connection and receives its response.
type exchange struct {
	pool         *Pool
	conn         *conn
	request      *Request
	stopWatch    func() bool // stops watching the context
	bodyTransfer *transfer   // nil without a streamed body
	detached     bool        // the connection was closed or returned to the pool
}

// transfer sends a streamed body while the exchange waits for the response.
type transfer struct {
	proceed chan struct{} // closed when the body may be sent
	cancel  chan struct{} // closed when the body is no longer needed
	done    chan struct{} // closed after err is set
	err     atomic.Pointer[error]
}

func (e *exchange) run() (*Response, error) {
	if err := e.conn.writeRequest(e.request); err != nil {
		return nil, err
	}
	if e.request.streamsBody() {
		e.startTransfer()
	}
	response, err := e.readFinalResponse()
	if err != nil {
		return nil, e.responseError(err)
	}
	now := e.pool.opts.now()
	if e.request.MayReuse != nil && !e.request.MayReuse(response) {
		response.Close = true
	}
	e.conn.lastResponse = now
	e.conn.targetIdleLimit = keepAliveTimeout(response.Header)
	response.Body = &body{exchange: e, inner: response.Body, response: response}
	if response.ContentLength == 0 || !allowsBody(e.request.Method, response.StatusCode) {
		response.Body.(*body).finish()
	}
	out := &Response{Response: response, Reused: e.conn.reused}
	if !out.Reused {
		out.ConnectTime = e.conn.connectTime
	}
	return out, nil
}

// startTransfer starts sending the streamed body.
func (e *exchange) startTransfer() {
	t := &transfer{proceed: make(chan struct{}), cancel: make(chan struct{}), done: make(chan struct{})}
	e.bodyTransfer = t
	if !e.request.ExpectContinue {
		close(t.proceed)
	}
	go func() {
		defer close(t.done)
		if err := t.awaitProceed(e.pool.opts.continueTimeout); err != nil {
			t.err.Store(&err)
			return
		}
		if err := e.conn.writeBody(e.request); err != nil {
			t.err.Store(&err)
			var source *RequestBodyError
			if errors.As(err, &source) {
				// The target must neither wait for the rest nor accept the part.
				e.conn.netConn.Close()
			}
		}
	}()
}

var errBodyNotSent = errors.New("final response arrived before the body was sent")

func (t *transfer) awaitProceed(limit time.Duration) error {
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
	case <-t.cancel:
		return errBodyNotSent
	}
	return nil
}

// Range of valid statuses.
const (
	minStatus = 100
	maxStatus = 599
)

// readFinalResponse reads informational responses and returns the final one.
func (e *exchange) readFinalResponse() (*http.Response, error) {
	waiting := e.bodyTransfer != nil && e.request.ExpectContinue
	for range maxInformational + 1 {
		response, err := e.conn.readHead(e.request)
		if err != nil {
			return nil, err
		}
		switch code := response.StatusCode; {
		case code < minStatus || code > maxStatus:
			return nil, ErrInvalidStatus
		case code == http.StatusSwitchingProtocols:
			return nil, ErrUpgrade
		case code == http.StatusContinue:
			if waiting {
				waiting = false
				close(e.bodyTransfer.proceed)
			}
		case code < http.StatusOK:
			if e.request.OnInformational != nil {
				e.request.OnInformational(code, response.Header)
			}
		default:
			if waiting {
				close(e.bodyTransfer.cancel)
			}
			if !e.pool.opts.closeDelimited && isCloseDelimited(e.request.Method, response) {
				return nil, ErrCloseDelimited
			}
			return response, nil
		}
	}
	return nil, ErrTooManyInformational
}

// responseError returns the error to report for a failed read of the response:
// the RequestBodyError of the transfer, if there is one, or else a ReadError.
func (e *exchange) responseError(err error) error {
	if e.bodyTransfer != nil {
		if cause := e.bodyTransfer.err.Load(); cause != nil {
			var source *RequestBodyError
			if errors.As(*cause, &source) {
				return *cause
			}
		}
	}
	return &ReadError{Target: e.conn.target, Reused: e.conn.reused, Err: err}
}

// abort closes the connection and so discards what still arrives on it.
func (e *exchange) abort() {
	if e.detached {
		return
	}
	e.detached = true
	e.stopWatch()
	e.conn.netConn.Close()
}

// release returns the connection to the pool, or closes it if data of this
// exchange may still be sent or arrive.
func (e *exchange) release(response *http.Response) {
	if e.detached {
		return
	}
	if !e.stopWatch() || response.Close || !e.requestSent() || e.conn.reader.Buffered() > 0 {
		e.abort()
		return
	}
	e.detached = true
	e.pool.putIdle(e.conn)
}

// requestSent reports whether the whole request was written.
func (e *exchange) requestSent() bool {
	if e.bodyTransfer == nil {
		return true
	}
	select {
	case <-e.bodyTransfer.done:
		return e.bodyTransfer.err.Load() == nil
	default:
		return false
	}
}

// body reads a response body and releases the connection at its end.
type body struct {
	exchange *exchange
	inner    io.ReadCloser
	response *http.Response
	complete bool
}

func (b *body) Read(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	n, err := b.inner.Read(p)
	if err == io.EOF && isCloseDelimited(b.exchange.request.Method, b.response) && wasReset(b.exchange.conn.netConn) { //nolint:errorlint // as below
		err = syscall.ECONNRESET
	}
	if err == io.EOF { //nolint:errorlint // only a bare io.EOF means a complete body
		b.finish()
		return n, io.EOF
	}
	if err != nil {
		err = b.exchange.responseError(err)
		b.exchange.abort()
	}
	return n, err
}

func (b *body) finish() {
	b.complete = true
	b.exchange.release(b.response)
}

// Close closes the connection unless the body was read to its end.
func (b *body) Close() error {
	if !b.complete {
		b.exchange.abort()
	}
	return nil
}

func allowsBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// keepAliveFraction is the part of the idle timeout given by a target during
// which a connection is reused. The rest allows for network delay and clock drift.
const keepAliveFraction = 0.8

// keepAliveTimeout returns how long a connection may be idle according to the
// Keep-Alive header of the target, or 0 without one.
func keepAliveTimeout(h http.Header) time.Duration {
	for parameter := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(float64(seconds) * keepAliveFraction * float64(time.Second))
		}
	}
	return 0
}

func isCloseDelimited(method string, r *http.Response) bool {
	return allowsBody(method, r.StatusCode) && r.ContentLength < 0 && len(r.TransferEncoding) == 0
}
