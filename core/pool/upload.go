package pool

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

// writeBody copies the streamed body of a request to the connection. If reading
// the body fails, it returns before writing anything that would complete the body
// for the target.
func (c *conn) writeBody(r *Request) error {
	buffer, ok := copyBuffers.Get().(*[]byte)
	if !ok {
		return io.ErrShortBuffer
	}
	defer copyBuffers.Put(buffer)
	if r.Length >= 0 {
		return c.writeSized(r, *buffer)
	}
	return c.writeChunked(r, *buffer)
}

func (c *conn) writeSized(r *Request, buffer []byte) error {
	remaining := r.Length
	for remaining > 0 {
		n, err := r.Body.Read(buffer[:min(int64(len(buffer)), remaining)])
		if err != nil && !errors.Is(err, io.EOF) {
			// The bytes read with the error are not sent; they could complete the body.
			return &RequestBodyError{Target: c.target, Err: err}
		}
		if n > 0 {
			if err := c.write(buffer[:n]); err != nil {
				return err
			}
			remaining -= int64(n)
		}
		if remaining > 0 && err != nil {
			return &RequestBodyError{Target: c.target, Err: io.ErrUnexpectedEOF}
		}
	}
	return nil
}

func (c *conn) writeChunked(r *Request, buffer []byte) error {
	chunk := make([]byte, 0, copyBufferSize+32)
	for {
		n, err := r.Body.Read(buffer)
		if n > 0 {
			chunk = strconv.AppendInt(chunk[:0], int64(n), 16)
			chunk = append(chunk, "\r\n"...)
			chunk = append(chunk, buffer[:n]...)
			chunk = append(chunk, "\r\n"...)
			if err := c.write(chunk); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return &RequestBodyError{Target: c.target, Err: err}
		}
	}
	return c.write(appendTrailer(append(chunk[:0], "0\r\n"...), r.Trailer))
}

func appendTrailer(b []byte, header http.Header) []byte {
	for name, values := range header {
		for _, value := range values {
			if isToken(name) && !isFramingHeader(name) && !strings.ContainsAny(value, "\r\n\x00") {
				b = appendField(b, name, value)
			}
		}
	}
	return append(b, "\r\n"...)
}
