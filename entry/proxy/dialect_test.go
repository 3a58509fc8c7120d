package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/pool"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/entry/proxy"
)

// strictDialect returns a dialect in which responses carry the request identifier
// and a header that only targets set.
func strictDialect() proxy.Dialect {
	return proxy.Dialect{
		Request: "Call-Id", Deadline: "Call-Time", Target: "Call-Target", Proof: "Call-Proof", RefusalID: "Call-Id",
		Load: func(http.Header) (proxy.Load, bool) { return proxy.Load{}, false },
		NotRun: func(_ int, h http.Header) (bool, bool) {
			return h.Get("Unrun") != "", false
		},
		Misdirected: func(status int) bool { return status == http.StatusMisdirectedRequest },
		HideHeaders: []string{"Unrun"},
		NotRunAs503: true,
		Style:       refuse.Style{FractionalRetryAfter: true},
	}
}

const strictText = `
[[service]]
name = "tables"
floor = "50%"
[[service]]
name = "desk"
floor = "50%"
[[route]]
prefix = "/look"
service = "tables"
kind = { repeat = true, timeout = "2s", attempts = 2 }
[[route]]
prefix = "/order"
service = "desk"
kind = { repeat = false, timeout = "2s", attempts = 2 }
[[route]]
prefix = "/once"
service = "desk"
kind = { repeat = false, timeout = "2s", attempts = 1 }
`

// strictEntry starts a proxy with the strict dialect in front of the targets,
// which are picked in order.
func strictEntry(t *testing.T, hooks proxy.Hooks, targets ...netip.AddrPort) *entry {
	t.Helper()
	text, err := spec.Parse([]byte(strictText))
	if err != nil {
		t.Fatal(err)
	}
	hooks.View = func() *proxy.View { return &proxy.View{Text: text, Revision: 1, Ready: true} }
	hooks.Retry = allowRetry
	hooks.ProbeDelay = noDelay
	hooks.Pick = func(_ proxy.Request, exclude []netip.AddrPort, _ time.Time) (proxy.Target, bool) {
		for i, a := range targets {
			if !slices.Contains(exclude, a) {
				return proxy.Target{Address: a, Name: fmt.Sprint("t-", i)}, true
			}
		}
		return proxy.Target{}, false
	}
	return startEntryWithOptions(t, hooks,
		proxy.WithDialect(strictDialect()), proxy.WithPool(pool.New(pool.WithCloseDelimited())),
		proxy.WithLimits(proxy.Limits{WholeResponse: 1 << 10}), proxy.WithRules(proxy.Rules{RetryAfterShed: func(*spec.Kind) bool { return true }}))
}

// respondWithID starts a target that answers each request with the response, in
// which %s stands for the identifier of the request.
func respondWithID(t *testing.T, response string, arrivals *atomic.Int64) netip.AddrPort {
	return listen(t, func(c net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.ReadAll(r.Body)
			arrivals.Add(1)
			text := response
			if strings.Contains(response, "%s") {
				text = fmt.Sprintf(response, r.Header.Get("Call-Id"))
			}
			_, _ = io.WriteString(c, text)
			if !strings.Contains(response, "Content-Length") || strings.Contains(response, "Connection: close") {
				return
			}
		}
	})
}

// Guards against forwarding a response that is incomplete or does not belong to
// the request, and against further attempts that the kind does not allow.
func TestResponsesAreChecked(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nCall-Proof: p\r\n"
		good   = head + "Content-Length: 2\r\n\r\nok"
		bad    = "HTTP/1.1 500 Error\r\nCall-Id: %s\r\nCall-Proof: p\r\nContent-Length: 4\r\n\r\nfail"
		shed   = "HTTP/1.1 503 Busy\r\nCall-Id: %s\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"
		other  = "HTTP/1.1 421 Other\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"
		closed = head + "Connection: close\r\n\r\nok"
	)
	for _, c := range []struct {
		name, path, first, second string
		status                    int
		body                      string
		arrivals                  [2]int64
	}{
		{"good", "/look", good, good, 200, "ok", [2]int64{1, 0}},
		{"of another request", "/look", strings.Replace(good, "%s", "other", 1), good, 200, "ok", [2]int64{1, 1}},
		{"of another request, order", "/order", strings.Replace(good, "%s", "other", 1), good, 502, "", [2]int64{1, 0}},
		{"without proof", "/look", strings.Replace(good, "Call-Proof: p\r\n", "", 1), good, 200, "ok", [2]int64{1, 1}},
		{"without proof, order", "/order", strings.Replace(good, "Call-Proof: p\r\n", "", 1), good, 502, "", [2]int64{1, 0}},
		{"truncated", "/look", head + "Content-Length: 9\r\nConnection: close\r\n\r\nok", good, 200, "ok", [2]int64{1, 1}},
		{"truncated, order", "/order", head + "Content-Length: 9\r\nConnection: close\r\n\r\nok", good, 502, "", [2]int64{1, 0}},
		{"ends with its connection", "/order", closed, good, 200, "ok", [2]int64{1, 0}},
		{"failed", "/look", bad, good, 200, "ok", [2]int64{1, 1}},
		{"failed twice", "/look", bad, bad, 500, "fail", [2]int64{1, 1}},
		{"failed, then broken", "/look", bad, "nonsense", 500, "fail", [2]int64{1, 1}},
		{"failed, order", "/order", bad, good, 500, "fail", [2]int64{1, 0}},
		{"shed, order", "/order", shed, good, 200, "ok", [2]int64{1, 1}},
		{"shed twice, order", "/order", shed, shed, 503, "", [2]int64{1, 1}},
		{"shed, one attempt", "/once", shed, good, 503, "", [2]int64{1, 0}},
		{"address of another target", "/order", other, good, 200, "ok", [2]int64{1, 1}},
		{"address of another target twice", "/order", other, other, 503, "", [2]int64{1, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var arrivals [2]atomic.Int64
			e := strictEntry(t, proxy.Hooks{}, respondWithID(t, c.first, &arrivals[0]), respondWithID(t, c.second, &arrivals[1]))
			method := http.MethodGet
			if c.path != "/look" {
				method = http.MethodPost
			}
			status, header, body, err := e.send(method, c.path, strings.NewReader(""), "Call-Id", "r-1")
			is.NoErr(err)
			is.Equal(status, c.status)
			is.Equal(header.Get("Call-Id"), "r-1")
			is.Equal(header.Get("Unrun"), "")
			if c.body != "" {
				is.Equal(body, c.body)
			}
			is.Equal([2]int64{arrivals[0].Load(), arrivals[1].Load()}, c.arrivals)
		})
	}
}

// Guards against a body without length that ends with a connection reset and is
// taken for complete.
func TestResetBodyIsNotComplete(t *testing.T) {
	is := is.New(t)
	first := listen(t, func(c net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nCall-Proof: p\r\n\r\nha", r.Header.Get("Call-Id"))
		_ = c.(*net.TCPConn).SetLinger(0) // makes Close reset the connection
	})
	e := strictEntry(t, proxy.Hooks{}, first)
	status, _, _, err := e.send(http.MethodPost, "/order", nil, "Call-Id", "r-1")
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
}

// Guards against a refusal of a request that was not run whose status differs
// from 503, and against a deadline for the target beyond the caller's deadline.
func TestNotRunStatusAndDeadline(t *testing.T) {
	is := is.New(t)
	e := strictEntry(t, proxy.Hooks{}, closedAddress(t))
	status, header, _, err := e.send(http.MethodPost, "/order", nil, "Call-Id", "r-1")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable) // nothing was sent
	is.True(header.Get("Retry-After") != "")

	seen := make(chan http.Header, 1)
	e = strictEntry(t, proxy.Hooks{}, respond(t, "", func(r *http.Request, _ string) { seen <- r.Header }))
	status, _, _, err = e.send(http.MethodPost, "/order", nil, "Call-Id", "r-1", "Call-Time", "150")
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
	got := <-seen
	is.True(len(got.Get("Call-Time")) <= 3)
	is.Equal(got.Get("Call-Target"), "t-0")
	is.Equal(got.Get("Forwarded"), "")
}

// Guards against shares of a weighted split that a further attempt or the kind of
// the request changes.
func TestSplitByWeight(t *testing.T) {
	is := is.New(t)
	text, err := spec.Parse([]byte(`
[[service]]
name = "old"
floor = "50%"
[[service]]
name = "new"
floor = "50%"
[[route]]
prefix = "/look"
split = [{ service = "old", weight = 3 }, { service = "new", weight = 1 }]
kind = { repeat = true, timeout = "2s" }
`))
	is.NoErr(err)
	count := map[string]int{}
	hooks := proxy.Hooks{
		View: func() *proxy.View { return &proxy.View{Text: text, Revision: 1, Ready: true} },
		Pick: func(r proxy.Request, _ []netip.AddrPort, _ time.Time) (proxy.Target, bool) {
			count[r.Service.Name]++
			return proxy.Target{}, false
		},
		Random: func() uint64 { return uint64(count["old"]+count["new"]) << 62 },
	}
	e := startEntryWithOptions(t, hooks)
	for range 8 {
		_, _, _, err := e.send(http.MethodGet, "/look", nil)
		is.NoErr(err)
	}
	is.Equal(count, map[string]int{"old": 6, "new": 2})

	// Further attempts of a request stay with the service that was drawn for it.
	clear(count)
	var services []string // of the attempts of one request
	refused := closedAddress(t)
	hooks.Pick = func(r proxy.Request, tried []netip.AddrPort, _ time.Time) (proxy.Target, bool) {
		if len(tried) == 0 {
			count[r.Service.Name]++
		}
		services = append(services, r.Service.Name)
		return proxy.Target{Address: refused}, len(tried) < 2
	}
	hooks.Retry = allowRetry
	e = startEntryWithOptions(t, hooks)
	for range 8 {
		services = nil
		_, _, _, err := e.send(http.MethodGet, "/look", nil)
		is.NoErr(err)
		is.True(len(services) > 1)
		is.Equal(len(slices.Compact(services)), 1)
	}
	is.Equal(count, map[string]int{"old": 6, "new": 2})
}

// Guards against the late second copy of a response on a connection that carries
// another request by then. If the copy declares that its request was shed, the
// next request is not shed: its target runs it, so it must neither go to another
// target nor be reported as not run.
func TestLateCopyOfAnEarlierResponse(t *testing.T) {
	for _, c := range []struct{ name, copy string }{
		{"answer", "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nCall-Proof: p\r\nContent-Length: 2\r\n\r\nok"},
		{"declaration of a shed", "HTTP/1.1 503 Service Unavailable\r\nCall-Id: %s\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"},
		{"declaration without identifier", "HTTP/1.1 503 Service Unavailable\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"},
		{"another target", "HTTP/1.1 421 Misdirected Request\r\nCall-Id: %s\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var ran, elsewhere atomic.Int64
			late := listen(t, func(conn net.Conn, in *bufio.Reader) {
				first, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.ReadAll(first.Body)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nCall-Proof: p\r\nContent-Length: 2\r\n\r\nok", first.Header.Get("Call-Id"))
				second, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.ReadAll(second.Body)
				ran.Add(1) // it works on the second request when the copy goes out
				_, _ = io.WriteString(conn, strings.ReplaceAll(c.copy, "%s", first.Header.Get("Call-Id")))
				_, _ = in.ReadByte() // until the proxy closes the connection
			})
			other := respondWithID(t, "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nCall-Proof: p\r\nContent-Length: 2\r\n\r\nok", &elsewhere)
			e := strictEntry(t, proxy.Hooks{HedgeDelay: noDelay}, late, other)
			status, _, _, err := e.send(http.MethodPost, "/order", nil, "Call-Id", "r-1")
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			status, _, _, err = e.send(http.MethodPost, "/order", nil, "Call-Id", "r-2", "Call-Time", "500")
			is.NoErr(err)
			is.Equal(ran.Load(), int64(1))
			is.Equal(elsewhere.Load(), int64(0))
			is.True(status == http.StatusBadGateway || status == http.StatusGatewayTimeout)
		})
	}
}
