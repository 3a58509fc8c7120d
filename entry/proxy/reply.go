package proxy

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/galenalock/galenalock/core/budget"
)

// Sizes of copy buffers, in bytes. Most responses are short; with 32 KiB for each
// response, the buffer was the largest part of a request's memory.
const (
	largeBufferSize = 32 << 10
	smallBufferSize = 4 << 10
)

var (
	largeBuffers = sync.Pool{New: func() any { b := make([]byte, largeBufferSize); return &b }}
	smallBuffers = sync.Pool{New: func() any { b := make([]byte, smallBufferSize); return &b }}
)

// reply streams the response of an attempt to the caller, and copies it to the
// capture if there is one.
func (c *call) reply(a *attempt, recorded *capture) error {
	h := c.w.Header()
	for name, values := range a.response.Header {
		h[name] = values
	}
	announced := h["Trailer"]
	removeHopHeaders(h)
	if c.r.Method == http.MethodHead && announced != nil {
		h["Trailer"] = announced // lists the trailers of the response to a GET
	}
	for _, name := range c.proxy.dialect.HideHeaders {
		delete(h, name)
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // prevents content sniffing by net/http
	}
	for name := range a.response.Trailer {
		h.Add("Trailer", name)
	}
	if recorded != nil {
		recorded.begin(a.response.StatusCode, h)
	}
	if a.prefetchComplete && a.response.ContentLength < 0 {
		h["Content-Length"] = []string{strconv.Itoa(len(a.prefetched))}
	}
	c.setClose(h)
	c.markRelayed(h, a)
	c.wroteHeader, c.status = true, a.response.StatusCode
	c.w.WriteHeader(a.response.StatusCode)
	if a.response.ContentLength < 0 && !a.prefetchComplete && allowsBody(c.r.Method, a.response.StatusCode) {
		// The first byte of an event stream may come much later. An error is
		// ignored here, since writing the body to a caller that left fails too.
		_ = c.controller.Flush()
	}
	err := c.copyBody(a, recorded)
	a.response.Body.Close()
	if err != nil {
		a.end(a.failureClass(err), err)
		if errors.Is(err, errCallerGone) || c.proxy.rules.AbortTruncated(err) {
			return errAborted
		}
		return nil
	}
	c.writeTrailers(a.response.Trailer)
	class := Answered
	if a.response.StatusCode >= http.StatusInternalServerError {
		class = Faulty
	}
	a.end(class, nil)
	return nil
}

// copyBody streams the body to the caller. If the caller leaves, the body of a
// detached request is still read to its end.
func (c *call) copyBody(a *attempt, recorded *capture) error {
	buffers := &largeBuffers
	length := a.response.ContentLength
	if length >= 0 && length <= smallBufferSize || !budget.FromContext(c.r.Context()).TryAdd(largeBufferSize) {
		buffers = &smallBuffers
	}
	buffer, ok := buffers.Get().(*[]byte)
	if !ok {
		return io.ErrShortBuffer
	}
	defer buffers.Put(buffer)
	gone := false
	for {
		n, err := a.read(*buffer)
		a.outcome.BytesReceived += int64(n)
		ended := err == io.EOF //nolint:errorlint // only the bare value means a complete body
		if recorded != nil {
			recorded.add((*buffer)[:n])
			if err != nil {
				recorded.onDone(ended)
			}
		}
		if n > 0 && !gone && !c.writeChunk(a, (*buffer)[:n], err != nil) {
			gone = true
			if !c.detaches() {
				a.abandon(Cancelled)
				return errCallerGone
			}
		}
		switch {
		case ended && gone:
			return errCallerGone
		case ended:
			return nil
		case err != nil && a.ctx.Err() != nil:
			return a.ctx.Err()
		case err != nil:
			return err
		}
	}
}

// writeChunk writes a chunk of the body and flushes it, unless the body ends or
// the buffer was full. It reports whether that succeeded.
func (c *call) writeChunk(a *attempt, chunk []byte, last bool) bool {
	if _, err := c.w.Write(chunk); err != nil {
		return false
	}
	length := a.response.ContentLength
	if last || len(chunk) == largeBufferSize || length >= 0 && a.outcome.BytesReceived >= length {
		return true
	}
	return c.controller.Flush() == nil
}

// writeTrailers forwards the trailers of the response.
func (c *call) writeTrailers(trailer http.Header) {
	h := c.w.Header()
	for name, values := range trailer {
		if !slices.Contains(h["Trailer"], name) {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}
