package pool_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/galenalock/galenalock/core/pool"
)

// Guards against bytes of a target that end the process, hold a request for longer than
// its time, or are read as the response to the next request. A target answers the
// first request of its first connection with arbitrary bytes, and each other one with
// a response of its own.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nA: b\r\n\r\n!",
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\nuntil the end", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "\r\n\r\n", "",
		"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nContent-Length: 1\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		const own = "own response"
		dials := 0
		serve := func(c net.Conn, isFirst bool) {
			defer c.Close()
			in := bufio.NewReader(c)
			for n := 0; ; n++ {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				answer := []byte("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n" + own)
				if isFirst && n == 0 {
					answer = data
				}
				_, _ = c.Write(answer)
			}
		}
		p := pool.New(pool.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			defer l.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				return nil, err
			}
			accepted, err := l.Accept()
			if err != nil {
				return nil, err
			}
			dials++
			go serve(accepted, dials == 1)
			return c, nil
		}))
		defer p.Close()
		get := func(timeout time.Duration) string {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			response, err := p.Do(ctx, &pool.Request{
				Target: netip.MustParseAddrPort("10.0.0.1:80"), Method: http.MethodGet, URI: "/", Host: "x", NonRepeatable: true,
			})
			if err != nil {
				return err.Error()
			}
			defer response.Body.Close()
			body, _ := io.ReadAll(response.Body)
			return string(body)
		}
		get(20 * time.Millisecond)
		if dials == 0 {
			return // the time was up before the request was sent
		}
		if got := get(10 * time.Second); got != own {
			t.Fatalf("the second request got %q", got)
		}
	})
}
