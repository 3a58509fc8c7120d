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

	"github.com/galenalock/galenalock/core/refuse"
)

// upload is the body of a request on its way from the caller.
type upload struct {
	control *http.ResponseController
	body    io.Reader
	length  int64 // -1 when unknown
	digest  *digest
	short   func(error) error
	count   atomic.Int64

	started atomic.Bool // a target may have seen a part of the body
	stopped atomic.Bool
	ended   atomic.Bool
	mu      sync.Mutex // held during a read
}

var errStopped = errors.New("the body is no longer read")

func newUpload(r *http.Request, control *http.ResponseController, short func(error) error) *upload {
	if r.Body == nil || r.Body == http.NoBody {
		return &upload{control: control, body: http.NoBody, short: short}
	}
	return &upload{control: control, body: r.Body, length: r.ContentLength, short: short}
}

// Read returns io.EOF only after the digest was verified; the last bytes of a
// body with a wrong digest are withheld, so that no target sees it complete.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped.Load() {
		return 0, errStopped
	}
	u.started.Store(true)
	n, err := u.body.Read(p)
	total := u.count.Add(int64(n))
	if u.digest != nil {
		u.digest.hash.Write(p[:n])
	}
	ended := errors.Is(err, io.EOF)
	if ended && u.length >= 0 && total < u.length {
		return 0, io.ErrUnexpectedEOF
	}
	if !ended && err != nil {
		return n, u.short(err)
	}
	if !ended && total != u.length {
		return n, nil
	}
	if u.digest != nil && !u.digest.matches() {
		return 0, errDigest
	}
	if ended {
		u.ended.Store(true)
	}
	return n, err
}

// interrupt ends a read that waits for the caller.
func (u *upload) interrupt() {
	u.stopped.Store(true)
	// Writers without deadlines are those of tests; their bodies do not block.
	_ = u.control.SetReadDeadline(time.Unix(1, 0))
}

// stop returns when no read is in progress and none will follow, as a handler
// must not leave a reader of its request behind.
func (u *upload) stop() {
	if u.ended.Load() || !u.started.Load() {
		u.stopped.Store(true)
		return
	}
	u.interrupt()
	u.mu.Lock()
	defer u.mu.Unlock()
}

// load reads a body that is small, or that belongs to a claim, before
// dispatch. A claim covers the body, and a body in memory can be resent.
func (c *call) load(ctx context.Context) error {
	r := c.r
	want, err := parseDigest(c.proxy.rules.Digest(r.Header))
	if err != nil {
		return no(refuse.BadDigest, err.Error())
	}
	c.upload.digest = want
	limit := c.proxy.limits.Buffer
	if c.key != "" {
		limit = c.proxy.limits.Claim
		if r.ContentLength > limit {
			return no(refuse.TooLarge, "")
		}
	} else if r.ContentLength < 0 || r.ContentLength > limit || expects(r) {
		c.streams = true
		// Without this, HTTP/1.1 callers would have to send the whole body
		// before they get the first byte of the response.
		_ = c.control.EnableFullDuplex()
		return nil
	}
	if c.data, err = c.upload.all(limit); err == nil && int64(len(c.data)) <= limit {
		return nil
	}
	switch {
	case int64(len(c.data)) > limit:
		return no(refuse.TooLarge, "")
	case errors.Is(err, errDigest):
		return no(refuse.BadDigest, "")
	case tooLarge(err):
		return no(refuse.TooLarge, "")
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return no(refuse.Deadline, "the body did not arrive in time")
	}
	return no(refuse.BadRequest, "the body broke off: "+err.Error())
}

func tooLarge(err error) bool {
	var large *http.MaxBytesError
	return errors.As(err, &large)
}

// all reads the body, but no more than one byte over the limit.
func (u *upload) all(limit int64) ([]byte, error) {
	switch {
	case u.length == 0 && u.digest == nil:
		u.ended.Store(true)
		return nil, nil
	case u.length > 0 && u.length <= limit:
		data := make([]byte, u.length)
		if _, err := io.ReadFull(u, data); err != nil {
			return nil, err
		}
		_, err := u.Read(nil) // lets HTTP/1.1 see the end of the body
		if errors.Is(err, io.EOF) {
			err = nil
		}
		return data, err
	}
	return io.ReadAll(io.LimitReader(u, limit+1))
}

func expects(r *http.Request) bool {
	return r.ContentLength != 0 && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}
