package pool_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/pool"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 0x12

// Guards against a user timeout, which would end a connection to a slow target after
// the first lost keep-alive probes, whatever their number.
func TestConnectionsHaveNoUserTimeout(t *testing.T) {
	is := is.New(t)
	target := listen(t, func(c net.Conn, in *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	timeouts := make(chan int, 1)
	p := pool.New(pool.WithIdleCheck(func(c net.Conn) bool {
		raw, err := c.(syscall.Conn).SyscallConn()
		is.NoErr(err)
		is.NoErr(raw.Control(func(fd uintptr) {
			value, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
			is.NoErr(err)
			select {
			case timeouts <- value:
			default:
			}
		}))
		return true
	}))
	t.Cleanup(p.Close)
	for range 2 {
		response, err := p.Do(t.Context(), &pool.Request{Target: target, Method: "GET", URI: "/", Host: "h"})
		is.NoErr(err)
		is.NoErr(drain(response))
	}
	is.Equal(<-timeouts, 0)
}
