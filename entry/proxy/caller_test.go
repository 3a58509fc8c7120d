package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/entry/proxy"
)

// Guards against a request without end that is read into memory, that keeps its
// connection past its deadline, or that looks complete to the target. The naive
// variant ends the body cleanly where it becomes malformed.
func TestEndlessRequests(t *testing.T) {
	// The head is limited to 1 MiB; the rest covers the buffers of the sockets.
	const maxHeadBytes = 32 << 20
	const head = "PUT /files/x HTTP/1.1\r\nHost: ledger.example\r\nGalenalock-Deadline: 500\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, prefix, repeated string
		endlessBody            bool // the request is well-formed up to its end, which never comes
		naive                  bool
	}{
		{"bytes instead of a request", "", "\x00\xff", false, false},
		{"empty lines", "", "\r\n", false, false},
		{"line that does not end", head + "X: ", "x", false, false},
		{"header lines", head, "X: y\r\n", false, false},
		{"chunk size", chunked, "0", false, false},
		{"chunk extension", chunked + "4;x=", "x", false, false},
		{"extensions of chunks", chunked, "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\na\r\n", false, false},
		{"after a chunk", chunked + "4\r\nabcd", "x", false, false},
		{"after a chunk, naive", chunked + "4\r\nabcd", "x", false, true},
		{"trailers", chunked + "4\r\nabcd\r\n0\r\n", "X: y\r\n", false, false},
		{"trailer that does not end", chunked + "4\r\nabcd\r\n0\r\nX: ", "x", false, false},
		{"chunks", chunked, "4\r\nabcd\r\n", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var complete atomic.Int64
			rules := proxy.Rules{}
			if c.naive {
				rules.UploadError = func(error) error { return io.EOF }
			}
			e := startEntry(t, false, newHookLog().attach(proxy.Hooks{HedgeDelay: noDelay, ProbeDelay: noDelay}), rules,
				respond(t, okResponse, func(*http.Request, string) { complete.Add(1) }))
			conn, err := net.Dial("tcp", e.addr)
			is.NoErr(err)
			defer conn.Close()
			began := time.Now()
			answered := make(chan int, 1)
			go func() {
				status := 0
				if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					status = response.StatusCode
				}
				answered <- status
			}()
			block := []byte(strings.Repeat(c.repeated, 1+(4<<10)/len(c.repeated)))
			total, err := io.WriteString(conn, c.prefix)
			for err == nil {
				var n int
				n, err = conn.Write(block)
				total += n
			}
			status := <-answered
			t.Logf("%d bytes in %s, status %d", total, time.Since(began), status)
			is.True(time.Since(began) < 10*time.Second)
			is.True(status == 0 || status >= 400 || c.naive)
			is.True(c.endlessBody || total < maxHeadBytes)
			is.Equal(complete.Load() > 0, c.naive)
		})
	}
}
