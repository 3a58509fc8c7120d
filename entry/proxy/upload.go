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
	started atomic.Bool // the body was read; a target may have received part of it
	stopped atomic.Bool
	ended   atomic.Bool
	onEnd   func()     // called when the body and its trailer were read; may be nil
	mu      sync.Mutex // held during a read

	charge *budget.Charge // memory that the request holds
}

var errUploadStopped = errors.New("the body is no longer read")

func newUpload(r *http.Request, controller *http.ResponseController, mapError func(error) error) *upload {
	if r.Body == nil || r.Body == http.NoBody {
		return &upload{controller: controller, body: http.NoBody, mapError: mapError}
	}
	return &upload{controller: controller, body: r.Body, length: r.ContentLength, mapError: mapError, charge: budget.FromContext(r.Context())}
}

// Read returns io.EOF only after the digest was verified. It withholds the last
// bytes of a body with a wrong digest, so that no target receives it completely.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped.Load() {
		return 0, errUploadStopped
	}
	u.started.Store(true)
	n, err := u.body.Read(p)
	total := u.bytesRead.Add(int64(n))
	if u.digest != nil {
		u.digest.hash.Write(p[:n])
	}
	ended := errors.Is(err, io.EOF)
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
	if u.ended.Load() || !u.started.Load() && !u.duplex {
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
		c.streaming = true
		c.upload.charge.Add(streamedBytes)
		return nil
	}
	if c.bufferedBody, err = c.upload.readAll(limit); err == nil && int64(len(c.bufferedBody)) <= limit {
		return nil
	}
	switch {
	case int64(len(c.bufferedBody)) > limit:
		return notRunError(refuse.TooLarge, "")
	case errors.Is(err, errDigestMismatch):
		return notRunError(refuse.BadDigest, "")
	case tooLarge(err):
		return notRunError(refuse.TooLarge, "")
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return notRunError(refuse.Deadline, "the body did not arrive in time")
	}
	return notRunError(refuse.BadRequest, "the body broke off: "+err.Error())
}

func tooLarge(err error) bool {
	var large *http.MaxBytesError
	return errors.As(err, &large)
}

// readAll reads the body, up to one byte more than the limit. The buffer grows as the
// body arrives.
func (u *upload) readAll(limit int64) ([]byte, error) {
	if u.length == 0 && u.digest == nil {
		u.ended.Store(true)
		return nil, nil
	}
	most := limit + 1
	if u.length > 0 && u.length <= limit {
		most = u.length
	}
	var data []byte
	for int64(len(data)) < most {
		if len(data) == cap(data) {
			data = u.grow(data, most)
		}
		n, err := u.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
	if most > limit {
		return data, nil
	}
	_, err := u.Read(nil) // lets net/http see the end of an HTTP/1.1 body
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return data, err
}

// grow returns a larger buffer with the same content, for at most that many bytes.
func (u *upload) grow(data []byte, most int64) []byte {
	size := min(max(firstBuffer, 2*int64(cap(data))), most)
	u.charge.Add(size) // the old one is counted until the end, since it becomes garbage
	out := make([]byte, len(data), size)
	copy(out, data)
	return out
}

func expectsContinue(r *http.Request) bool {
	return r.ContentLength != 0 && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}
