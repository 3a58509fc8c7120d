package proxy

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
)

// Sizes of copy buffers. Most responses are short; 32 KiB for each of them
// was the largest part of the memory that one request took.
const (
	copySize  = 32 << 10
	shortSize = 4 << 10
)

var (
	copies = sync.Pool{New: func() any { b := make([]byte, copySize); return &b }}
	shorts = sync.Pool{New: func() any { b := make([]byte, shortSize); return &b }}
)

// reply streams the response of an attempt to the caller. The capture, if
// any, gets a copy.
func (c *call) reply(a *attempt, keep *capture) error {
	h := c.w.Header()
	for name, values := range a.response.Header {
		h[name] = values
	}
	announced := h["Trailer"]
	removeHop(h)
	if c.r.Method == http.MethodHead && announced != nil {
		h["Trailer"] = announced // describes the response to a GET
	}
	for _, name := range c.proxy.dialect.Hide {
		delete(h, name)
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	for name := range a.response.Trailer {
		h.Add("Trailer", name)
	}
	if keep != nil {
		keep.begin(a.response.StatusCode, h)
	}
	if a.whole && a.response.ContentLength < 0 {
		h["Content-Length"] = []string{strconv.Itoa(len(a.fetched))}
	}
	c.closing(h)
	c.written, c.status = true, a.response.StatusCode
	c.w.WriteHeader(a.response.StatusCode)
	if a.response.ContentLength < 0 && !a.whole && bodied(c.r.Method, a.response.StatusCode) {
		// The first byte of an event stream may come much later. A caller that
		// left is noticed when the body is written.
		_ = c.control.Flush()
	}
	err := c.copy(a, keep)
	a.response.Body.Close()
	if err != nil {
		a.end(a.class(err), err)
		if errors.Is(err, errGone) || c.proxy.rules.Cut(err) {
			return errAbort
		}
		return nil
	}
	c.trailers(a.response.Trailer)
	class := Answered
	if a.response.StatusCode >= http.StatusInternalServerError {
		class = Faulty
	}
	a.end(class, nil)
	return nil
}

// copy streams the body. A caller that left does not stop the body of a
// request that goes on without it.
func (c *call) copy(a *attempt, keep *capture) error {
	buffers := &copies
	if length := a.response.ContentLength; length >= 0 && length <= shortSize {
		buffers = &shorts
	}
	buffer, ok := buffers.Get().(*[]byte)
	if !ok {
		return io.ErrShortBuffer
	}
	defer buffers.Put(buffer)
	gone := false
	for {
		n, err := a.read(*buffer)
		a.outcome.Bytes += int64(n)
		ended := err == io.EOF //nolint:errorlint // only the bare value means a complete body
		if keep != nil {
			keep.add((*buffer)[:n])
			if err != nil {
				keep.done(ended)
			}
		}
		if n > 0 && !gone && !c.pass(a, (*buffer)[:n], err != nil) {
			gone = true
			if !c.proxy.rules.Detach(c.request.Kind) {
				a.give(Cancelled)
				return errGone
			}
		}
		switch {
		case ended && gone:
			return errGone
		case ended:
			return nil
		case err != nil && a.ctx.Err() != nil:
			return a.ctx.Err()
		case err != nil:
			return err
		}
	}
}

// pass writes a piece of the body and flushes it unless more is at hand.
func (c *call) pass(a *attempt, piece []byte, last bool) bool {
	if _, err := c.w.Write(piece); err != nil {
		return false
	}
	length := a.response.ContentLength
	if last || len(piece) == copySize || length >= 0 && a.outcome.Bytes >= length {
		return true
	}
	return c.control.Flush() == nil
}

// trailers sends the trailers that arrived after the body.
func (c *call) trailers(trailer http.Header) {
	h := c.w.Header()
	for name, values := range trailer {
		if !slices.Contains(h["Trailer"], name) {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}
