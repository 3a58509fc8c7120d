package pool

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

const copySize = 32 << 10

var copies = sync.Pool{New: func() any { b := make([]byte, copySize); return &b }}

// upload copies the body of a request to the connection. It reports an error
// before anything that would complete the body for the target.
func (c *conn) upload(r *Request) error {
	buffer, ok := copies.Get().(*[]byte)
	if !ok {
		return io.ErrShortBuffer
	}
	defer copies.Put(buffer)
	if r.Length >= 0 {
		return c.copyLength(r, *buffer)
	}
	return c.copyChunks(r, *buffer)
}

func (c *conn) copyLength(r *Request, buffer []byte) error {
	left := r.Length
	for left > 0 {
		n, err := r.Body.Read(buffer[:min(int64(len(buffer)), left)])
		if n > 0 {
			if err := c.write(buffer[:n]); err != nil {
				return err
			}
			left -= int64(n)
		}
		if left > 0 && errors.Is(err, io.EOF) {
			return &SourceError{Target: c.target, Err: io.ErrUnexpectedEOF}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return &SourceError{Target: c.target, Err: err}
		}
	}
	return nil
}

func (c *conn) copyChunks(r *Request, buffer []byte) error {
	frame := make([]byte, 0, copySize+32)
	for {
		n, err := r.Body.Read(buffer)
		if n > 0 {
			frame = strconv.AppendInt(frame[:0], int64(n), 16)
			frame = append(frame, "\r\n"...)
			frame = append(frame, buffer[:n]...)
			frame = append(frame, "\r\n"...)
			if err := c.write(frame); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return &SourceError{Target: c.target, Err: err}
		}
	}
	return c.write(trailer(append(frame[:0], "0\r\n"...), r.Trailer))
}

func trailer(b []byte, header http.Header) []byte {
	for name, values := range header {
		for _, value := range values {
			if token(name) && !framing(name) && !strings.ContainsAny(value, "\r\n\x00") {
				b = field(b, name, value)
			}
		}
	}
	return append(b, "\r\n"...)
}
