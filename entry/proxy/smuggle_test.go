package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/entry/proxy"
)

// Guards against the rest of an upload that is taken for the next request on the
// connection, after its target answered before it had read the upload.
func TestRestOfAnUploadIsNoRequest(t *testing.T) {
	const size = 200 << 10
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s chunked=%t", answer[9:12], chunked), func(t *testing.T) {
				is := is.New(t)
				smuggled := make(chan string, 10)
				answered := make(chan struct{}, 1)
				target := listen(t, func(c net.Conn, in *bufio.Reader) {
					for {
						r, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						if r.Method != http.MethodPost {
							smuggled <- r.Method
							_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret")
							continue
						}
						_, _ = io.WriteString(c, answer)
						answered <- struct{}{}
						_, _ = io.Copy(io.Discard, in)
						return
					}
				})
				e := startEntry(t, false, proxy.Hooks{}, proxy.Rules{}, target)
				conn, err := net.Dial("tcp", e.addr)
				is.NoErr(err)
				defer conn.Close()
				framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
				if chunked {
					framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size)
				}
				_, err = fmt.Fprintf(conn, "POST /files/x HTTP/1.1\r\nHost: ledger.example\r\n%s%s", framing, strings.Repeat("x", 1000))
				is.NoErr(err)
				<-answered
				in := bufio.NewReader(conn)
				is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
				response, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
				is.NoErr(err)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				is.True(response.Close) // the caller must not use the connection again
				// The entry may have closed the connection by now.
				_, _ = io.WriteString(conn, "GET /ledger/x HTTP/1.1\r\nHost: ledger.example\r\n\r\n")
				further, err := io.ReadAll(in)
				is.Equal(string(further), "")
				if err != nil && !strings.Contains(err.Error(), "reset") {
					t.Errorf("the connection stays open: %v", err)
				}
				is.Equal(len(smuggled), 0)
			})
		}
	}
}
