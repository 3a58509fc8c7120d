package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/entry/proxy"
)

// endlessTarget returns the handler of a target that sends the start of an answer
// and then repeats bytes until its connection is closed. It reports how many
// bytes it could send.
func endlessTarget(prefix, repeated string, sent chan<- int) func(c net.Conn, in *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		block := []byte(strings.Repeat(repeated, 1+(4<<10)/len(repeated)))
		n, err := io.WriteString(c, prefix)
		for total := n; ; total += n {
			if err != nil {
				sent <- total
				return
			}
			n, err = c.Write(block)
		}
	}
}

// Guards against an answer without end that holds a request beyond its deadline,
// that is read into memory, that looks complete to the caller, or whose
// connection stays open; and against an order that is reported as not run.
func TestEndlessAnswers(t *testing.T) {
	// The head is limited to 1 MiB; the rest covers the buffers of the sockets.
	const maxHeadBytes = 32 << 20
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, prefix, repeated string
		endlessBody            bool // the answer is well-formed up to its end, which never comes
	}{
		{"bytes instead of an answer", "", "\x00\xff", false},
		{"line that does not end", "HTTP/1.1 200 OK\r\nX: ", "x", false},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n", false},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", false},
		{"empty lines", "", "\r\n", false},
		{"chunk size", chunked, "0", false},
		{"chunk extension", chunked + "4;x=", "x", false},
		{"after a chunk", chunked + "4\r\nabcd", "x", false},
		{"trailers", chunked + "4\r\nabcd\r\n0\r\n", "X: y\r\n", false},
		{"chunks", chunked, "4\r\nabcd\r\n", true},
		{"body without length", "HTTP/1.1 200 OK\r\n\r\n", "x", true},
		{"after a complete answer", okResponse, "x", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sent := make(chan int, 8)
			log := newHookLog()
			hooks := log.attach(proxy.Hooks{HedgeDelay: noDelay, ProbeDelay: noDelay, Retry: func(proxy.Request, proxy.Reason) bool { return false }})
			e := startEntry(t, false, hooks, proxy.Rules{}, listen(t, endlessTarget(c.prefix, c.repeated, sent)))
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				began := time.Now()
				status, header, body, err := e.send(method, "/tables/x", nil, "Galenalock-Deadline", "500")
				if took := time.Since(began); took > 10*time.Second {
					t.Errorf("%s answered after %s", method, took)
				}
				switch complete := err == nil && status == http.StatusOK; {
				case complete:
					is.True(strings.HasPrefix(c.prefix, okResponse) && body == "ok")
				case err == nil:
					is.True(status == http.StatusBadGateway || status == http.StatusGatewayTimeout)
					is.Equal(header.Get("Content-Type"), "application/problem+json")
					is.True(!strings.Contains(body, `"run":"no"`))
				}
				total := <-sent // the connection was closed
				is.True(c.endlessBody || total < maxHeadBytes)
				<-log.classes
			}
		})
	}
}
