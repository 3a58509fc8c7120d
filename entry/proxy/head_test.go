package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/pool"
	"github.com/galenalock/galenalock/entry/proxy"
)

// Guards against an answer that ends in its head, at any byte, and reaches the caller
// as a complete one.
func TestAnswerEndsInItsHead(t *testing.T) {
	bodies := map[string]string{
		"sized":   "HTTP/1.1 200 OK\r\nCall-Id: r-1\r\nCall-Proof: p\r\nContent-Length: 2\r\n\r\nok",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nCall-Id: r-1\r\nCall-Proof: p\r\nTrailer: Late\r\n\r\n2\r\nok\r\n0\r\nLate: 1\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nCall-Id: r-1\r\nCall-Proof: p\r\nContent-Length: 2\r\n\r\nok",
		"closed":  "HTTP/1.1 200 OK\r\nCall-Id: r-1\r\nCall-Proof: p\r\nConnection: close\r\n\r\n",
	}
	for name, whole := range bodies {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var length atomic.Int64
			target := listen(t, func(conn net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err == nil {
					_, _ = io.WriteString(conn, whole[:length.Load()])
				}
			})
			e := startEntryWithOptions(t, proxy.Hooks{View: tablesView(t), Pick: pickInOrder([]netip.AddrPort{target}, false)},
				proxy.WithDialect(strictDialect()), proxy.WithPool(pool.New(pool.WithCloseDelimited())), proxy.WithLimits(proxy.Limits{WholeResponse: 1 << 10}))
			for n := range len(whole) {
				length.Store(int64(n))
				for _, method := range []string{http.MethodPost, http.MethodGet} {
					status, _, body, err := e.send(method, "/tables/x", nil, "Call-Id", "r-1")
					if err == nil && status == http.StatusOK {
						t.Fatalf("%s: %d of %d bytes became a complete answer with the body %q", method, n, len(whole), body)
					}
				}
			}
			length.Store(int64(len(whole)))
			status, _, _, err := e.send(http.MethodPost, "/tables/x", nil, "Call-Id", "r-1")
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
		})
	}
}

// tablesView returns a view with a service for requests of all methods.
func tablesView(t testing.TB) func() *proxy.View {
	view := startEntry(t, false, proxy.Hooks{}, proxy.Rules{}).view
	return func() *proxy.View { return &view }
}
