package proxy_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/entry/proxy"
)

// Guards against requests that are forwarded with hop-by-hop headers, with a
// prefix that the route strips, or without the Forwarded, trace and deadline
// headers.
func TestForward(t *testing.T) {
	for _, h2c := range []bool{false, true} {
		is := is.New(t)
		var got *http.Request
		var body string
		target := respond(t, "HTTP/1.1 201 Created\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-A: 1\r\nX-A: 2\r\nGalenalock-Load: inflight=3 limit=6\r\nContent-Length: 2\r\n\r\nok",
			func(r *http.Request, b string) { got, body = r, b })
		e := startEntry(t, h2c, proxy.Hooks{}, proxy.Rules{}, target)
		status, header, answer, err := e.send(http.MethodPut, "/tables/tide/a%2Fb?x=1", strings.NewReader("up"),
			"X-Forwarded-For", "192.0.2.1", "Te", "trailers", "X-End", "kept", "Galenalock-Deadline", "1500")
		is.NoErr(err)
		is.Equal(status, 201)
		is.Equal(answer, "ok")
		is.Equal(header.Values("X-A"), []string{"1", "2"})
		is.Equal(header.Get("X-Hop")+header.Get("Galenalock-Load")+header.Get("Content-Type"), "")
		is.Equal(got.RequestURI, "/tide/a%2Fb?x=1")
		is.Equal(body, "up")
		is.Equal(got.Header.Get("X-Forwarded-For"), "192.0.2.1, 127.0.0.1")
		is.Equal(got.Header.Get("X-Forwarded-Proto"), "http")
		is.Equal(got.Header.Get("Te"), "trailers")
		is.Equal(got.Header.Get("X-End"), "kept")
		is.True(strings.HasPrefix(got.Header.Get("Forwarded"), `for=127.0.0.1;host="127.0.0.1:`))
		is.Equal(len(got.Header.Get("Traceparent")), 55)
		is.True(len(got.Header.Get("Galenalock-Deadline")) > 2)
	}
}
