package pool_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/pool"
)

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

func upload(to netip.AddrPort) *pool.Request {
	return &pool.Request{Target: to, Method: http.MethodPut, URI: "/", Host: "h", Body: zeros{}, Length: 1 << 40}
}

// Guards against the part of a response without a length that looks complete because the
// write of the request body, and not the read, got the error of the reset, and against an
// early response that is refused although its connection ended in order.
func TestResetDuringUpload(t *testing.T) {
	is := is.New(t)
	p := pool.New(pool.WithCloseDelimited())
	defer p.Close()
	for n := range 100 {
		reset := n%2 == 0
		target := listen(t, func(c net.Conn, in *bufio.Reader) {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
				return
			}
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, in) // until the pool closes the connection
		})
		response, err := p.Do(context.Background(), upload(target))
		if err != nil {
			is.True(reset)
			continue
		}
		data, err := io.ReadAll(response.Body)
		response.Body.Close()
		if reset {
			is.True(pool.ConnectionLost(err))
			continue
		}
		is.NoErr(err)
		is.Equal(string(data), "part")
	}
}

// Guards against a status outside of HTTP that is returned, or skipped as informational.
func TestInvalidStatus(t *testing.T) {
	is := is.New(t)
	p := pool.New()
	defer p.Close()
	for status, valid := range map[string]bool{"000": false, "099": false, "200": true, "599": true, "600": false, "999": false} {
		target := listen(t, func(c net.Conn, in *bufio.Reader) {
			_, _ = http.ReadRequest(in)
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		})
		response, err := p.Do(context.Background(), &pool.Request{Target: target, Method: http.MethodGet, URI: "/", Host: "h"})
		is.Equal(err == nil, valid)
		if err == nil {
			response.Body.Close()
			continue
		}
		is.True(errors.Is(err, pool.ErrInvalidStatus))
		is.True(!pool.Unsent(err) && !errors.Is(err, syscall.ECONNRESET))
	}
}
