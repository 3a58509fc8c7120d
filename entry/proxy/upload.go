package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalock/galenalock/core/budget"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/stall"
)

// upload reads the request body from the caller and verifies its length and
// digest.
type upload struct {
	controller *http.ResponseController
	body       io.Reader
	length     int64 // -1 when unknown
	digest     *digest
	mapError   func(error) error
	bytesRead  atomic.Int64

	duplex  bool        // net/http does not read the rest of the body before the response
	started atomic.Bool // the body was read
	handed  atomic.Bool // a target may have received part of it
	stopped atomic.Bool
	ended   atomic.Bool
	onEnd   func()     // called when the body and its trailer were read; may be nil
	mu      sync.Mutex // held during a read

	first      []byte // first part of a body that is forwarded while it arrives
	firstBytes int64  // size of its buffer
	onWhole    func() // called when the whole body was read from the caller; may be nil

	now      func() time.Time
	transfer *stall.Transfer // nil unless the body is forwarded while it arrives
	waiting  atomic.Int64    // Unix nanoseconds since which a read waits for the caller, 0: none does
	stalled  atomic.Bool     // given up because it stood still

	charge *budget.Charge // memory that the request holds
}

var errUploadStopped = errors.New("the body is no longer read")

// errUploadStalled is the error of a body that was given up for other requests.
var errUploadStalled = errors.New("the body stood still while other requests lacked room")

// errNoMemory is the error of a body for which there is no memory.
var errNoMemory = errors.New("the memory for callers is in use")

func newUpload(r *http.Request, controller *http.ResponseController, mapError func(error) error, now func() time.Time) *upload {
	u := &upload{controller: controller, body: http.NoBody, mapError: mapError, now: now}
	if r.Body != nil && r.Body != http.NoBody {
		u.body, u.length, u.charge = r.Body, r.ContentLength, budget.FromContext(r.Context())
	}
	return u
}

// Read reads the body for a target: first the part that was read before dispatch.
func (u *upload) Read(p []byte) (int, error) {
	u.handed.Store(true)
	u.mu.Lock()
	if len(u.first) > 0 {
		defer u.mu.Unlock()
		n := copy(p, u.first)
		u.first = u.first[n:]
		if len(u.first) == 0 {
			u.first = nil
			u.charge.Add(-u.firstBytes)
		}
		return n, nil
	}
	u.mu.Unlock()
	return u.read(p)
}

// read returns io.EOF only after the digest was verified. It withholds the last
// bytes of a body with a wrong digest, so that no target receives it completely.
func (u *upload) read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped.Load() {
		return 0, u.stopError()
	}
	u.started.Store(true)
	n, err := u.awaitCaller(p)
	if err != nil && u.stalled.Load() {
		return 0, errUploadStalled
	}
	total := u.bytesRead.Add(int64(n))
	if u.digest != nil {
		u.digest.hash.Write(p[:n])
	}
	ended := errors.Is(err, io.EOF)
	if ended || total == u.length {
		u.endTransfer()
	}
	if ended && u.onEnd != nil {
		u.onEnd()
	}
	if ended && u.length >= 0 && total < u.length {
		return 0, io.ErrUnexpectedEOF
	}
	if !ended && err != nil {
		return n, u.mapError(err)
	}
	if !ended && total != u.length {
		return n, nil
	}
	if u.digest != nil && !u.digest.matches() {
		return 0, errDigestMismatch
	}
	if ended {
		u.ended.Store(true)
	}
	return n, err
}

// awaitCaller reads from the caller and records how long that takes.
func (u *upload) awaitCaller(p []byte) (int, error) {
	now := u.now()
	u.waiting.Store(now.UnixNano())
	u.transfer.Wait(now)
	n, err := u.body.Read(p)
	if n > 0 || errors.Is(err, io.EOF) {
		u.waiting.Store(0)
		u.transfer.Advance()
	}
	return n, err
}

// notifyWhole sets the function that is called once the whole body was read.
func (u *upload) notifyWhole(f func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.onWhole = f
}

// endTransfer records that nothing more is awaited from the caller.
func (u *upload) endTransfer() {
	u.transfer.End()
	if u.onWhole != nil {
		u.onWhole()
		u.onWhole = nil
	}
}

// isStalled reports whether the body stands still because the caller does not send it.
func (u *upload) isStalled() bool {
	if u.ended.Load() {
		return false
	}
	since := u.waiting.Load()
	return u.stalled.Load() || since != 0 && u.now().UnixNano()-since >= int64(stall.Time)
}

// giveUp ends a body that stands still.
func (u *upload) giveUp() {
	u.stalled.Store(true)
	u.interrupt()
}

func (u *upload) stopError() error {
	if u.stalled.Load() {
		return errUploadStalled
	}
	return errUploadStopped
}

// enableDuplex lets the response be sent while the body is read. Without it, net/http
// reads the whole body of an HTTP/1.1 request before it sends the first byte of the
// response. With it, the body must be read or interrupted, since net/http panics if it
// reaches the end of the body after the handler.
func (u *upload) enableDuplex() {
	if !u.duplex {
		u.duplex = true
		_ = u.controller.EnableFullDuplex() // only response writers of tests do not support it
	}
}

// interrupt stops a read that waits for the caller.
func (u *upload) interrupt() {
	u.stopped.Store(true)
	// Only response writers of tests do not support deadlines; their bodies do not
	// block.
	_ = u.controller.SetReadDeadline(time.Unix(1, 0))
}

const (
	// drainTimeout and drainBytes limit how long the rest of a body is read after the
	// response, so that closing the connection does not reset it before the caller has
	// the response. net/http uses the same limits.
	drainTimeout = 500 * time.Millisecond
	drainBytes   = 256 << 10
)

// isUnread reports whether a body that is read during the response was not read to its
// end. net/http does not see that reading was interrupted, and reuses the connection.
func (u *upload) isUnread() bool { return u.duplex && !u.ended.Load() }

// drain reads the rest of the body after the response was sent.
func (u *upload) drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.controller.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, u.body, drainBytes) // the connection is closed in any case
	u.interrupt()
}

// stop ends reading and returns when no read is in progress, since the request
// body must not be read after the handler has returned.
func (u *upload) stop() {
	if u.ended.Load() || !u.handed.Load() && !u.duplex {
		u.stopped.Store(true)
		return
	}
	u.interrupt()
	u.mu.Lock()
	defer u.mu.Unlock()
}

const (
	// streamedBytes is the memory of a body that is forwarded while it arrives: the
	// buffers of the transfer.
	streamedBytes = 64 << 10
	// firstBuffer is how much of a body is allocated before any of it has arrived. An
	// announced length alone must not take memory.
	firstBuffer = 16 << 10
)

// loadBody reads the body before dispatch if it is small or the request has a
// key: the fingerprint of a claim covers the body, and a buffered body can be
// resent.
func (c *call) loadBody(ctx context.Context) error {
	r := c.r
	want, err := parseDigest(c.proxy.rules.ExpectedDigest(r.Header))
	if err != nil {
		return notRunError(refuse.BadDigest, err.Error())
	}
	c.upload.digest = want
	limit := c.proxy.limits.BufferedBody
	if c.key != "" {
		limit = c.proxy.limits.KeyedBody
		if r.ContentLength > limit {
			return notRunError(refuse.TooLarge, "")
		}
	} else if r.ContentLength < 0 || r.ContentLength > limit || expectsContinue(r) {
		return c.loadFirst(ctx, limit)
	}
	if c.bufferedBody, err = c.upload.readAll(limit); err == nil && int64(len(c.bufferedBody)) <= limit {
		return nil
	}
	if int64(len(c.bufferedBody)) > limit {
		return notRunError(refuse.TooLarge, "")
	}
	return bodyRefusal(ctx, err)
}

// loadFirst reads the first part of a body that is forwarded while it arrives, so that a
// caller who sends nothing holds no room at a target. While the service lacks room, that is
// as much as would be buffered.
func (c *call) loadFirst(ctx context.Context, limit int64) error {
	c.streaming = true
	u := c.upload
	if !u.charge.Add(streamedBytes) {
		return bodyRefusal(ctx, errNoMemory)
	}
	if expectsContinue(c.r) {
		return nil // the target decides whether it wants the body
	}
	data, err := u.readFirst()
	if err == nil && c.proxy.hooks.LacksRoom(c.request) {
		data, err = u.fill(data, limit)
	}
	switch {
	case errors.Is(err, io.EOF):
		c.streaming, c.bufferedBody = false, data
	case err != nil:
		return bodyRefusal(ctx, err)
	default:
		u.first, u.firstBytes = data, int64(cap(data))
	}
	return nil
}

// bodyRefusal returns the refusal of a request whose body could not be read before
// dispatch.
func bodyRefusal(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, errNoMemory):
		return &refuse.Error{Reason: refuse.Overload, Run: refuse.NotRun, RetryAfter: retryAfter, Err: err}
	case errors.Is(err, errDigestMismatch):
		return notRunError(refuse.BadDigest, "")
	case tooLarge(err):
		return notRunError(refuse.TooLarge, "")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return notRunError(refuse.Deadline, "the body did not arrive in time")
	}
	return notRunError(refuse.BadRequest, "the body broke off: "+err.Error())
}

func tooLarge(err error) bool {
	var large *http.MaxBytesError
	return errors.As(err, &large)
}

// readFirst reads what arrives first of the body.
func (u *upload) readFirst() ([]byte, error) {
	data, err := u.grow(nil, firstBuffer)
	if err != nil {
		return nil, err
	}
	size := cap(data)
	if u.length < 0 {
		size = 1 // net/http fills the buffer with the rest of a chunk
	}
	n, err := u.read(data[:size])
	return data[:n], err
}

// fill appends to data until it has that many bytes, or the body ends. The buffer grows as
// they arrive.
func (u *upload) fill(data []byte, most int64) ([]byte, error) {
	for int64(len(data)) < most {
		if len(data) == cap(data) {
			var err error
			if data, err = u.grow(data, most); err != nil {
				return nil, err
			}
		}
		n, err := u.read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return data, err
		}
	}
	return data, nil
}

// readAll reads the body, up to one byte more than the limit.
func (u *upload) readAll(limit int64) ([]byte, error) {
	if u.length == 0 && u.digest == nil {
		u.ended.Store(true)
		return nil, nil
	}
	most := limit + 1
	if u.length > 0 && u.length <= limit {
		most = u.length
	}
	data, err := u.fill(nil, most)
	switch {
	case errors.Is(err, io.EOF):
		return data, nil
	case err != nil:
		return nil, err
	case most > limit:
		return data, nil
	}
	_, err = u.read(nil) // lets net/http see the end of an HTTP/1.1 body
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return data, err
}

// grow returns a larger buffer with the same content, for at most that many bytes.
func (u *upload) grow(data []byte, most int64) ([]byte, error) {
	size := min(max(firstBuffer, 2*int64(cap(data))), most)
	if !u.charge.Add(size) {
		return nil, errNoMemory
	}
	out := make([]byte, len(data), size)
	copy(out, data)
	u.charge.Add(-int64(cap(data)))
	return out, nil
}

func expectsContinue(r *http.Request) bool {
	return r.ContentLength != 0 && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}
