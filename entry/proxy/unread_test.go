package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/entry/proxy"
)

// Guards against a connection that ends without notice after an upload was refused
// whose body had not been read: the next request on it gets no answer.
func TestConnectionLastsAfterRefusedUpload(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		is := is.New(t)
		e := startEntry(t, false, proxy.Hooks{}, proxy.Rules{})
		conn, err := net.Dial("tcp", e.addr)
		is.NoErr(err)
		t.Cleanup(func() { conn.Close() })
		in := bufio.NewReader(conn)
		body := strings.Repeat("x", 100<<10)
		framed := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		if chunked {
			framed = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		}
		for range 10 {
			_, err = fmt.Fprintf(conn, "POST /files/x HTTP/1.1\r\nHost: ledger.example\r\n%s", framed)
			is.NoErr(err)
			response, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.True(!response.Close)
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			response.Body.Close()
		}
	}
}
