package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/proxy"
)

// startHelper starts an entry that takes requests from other entries, and returns
// the address at which it does.
func startHelper(t testing.TB, hooks proxy.Hooks, targets ...netip.AddrPort) netip.AddrPort {
	e := startEntry(t, false, hooks, proxy.Rules{}, targets...)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !proxy.IsRelayed(r) {
			t.Error("request without the mark of an entry")
		}
		e.proxy.ServeRelayed(w, r)
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// startWithoutPath starts an entry that passes all requests on to the helpers, in
// order.
func startWithoutPath(t testing.TB, hooks proxy.Hooks, helpers ...netip.AddrPort) *entry {
	text := startEntry(t, false, proxy.Hooks{}, proxy.Rules{}).view.Text
	view := proxy.View{Text: text, Revision: 1, Ready: true}
	hooks.View = func() *proxy.View { return &view }
	hooks.PathLost = func() bool { return true }
	hooks.Pick = func(_ proxy.Request, exclude []netip.AddrPort, _ time.Time) (proxy.Target, bool) {
		for _, a := range helpers {
			if !slices.Contains(exclude, a) {
				return proxy.Target{Address: a, Relay: true}, true
			}
		}
		return proxy.Target{}, false
	}
	return startEntryWithOptions(t, hooks)
}

func noTarget(proxy.Request, []netip.AddrPort, time.Time) (proxy.Target, bool) {
	return proxy.Target{}, false
}

// Guards against a request that reaches the target through another entry in another
// form, with more time than its caller gave, or with traces of the way.
func TestRelayedRequestIsUnchanged(t *testing.T) {
	is := is.New(t)
	seen := make(chan *http.Request, 1)
	target := respond(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Own: 1\r\n\r\nok", func(r *http.Request, body string) {
		r.Header.Set("Seen-Body", body)
		seen <- r
	})
	e := startWithoutPath(t, proxy.Hooks{}, startHelper(t, proxy.Hooks{}, target))
	status, header, body, err := e.send(http.MethodPost, "/tables/x%2Fy?q=1", strings.NewReader("body"), "X-Caller", "a", "Galenalock-Deadline", "2000")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "ok")
	is.Equal(header.Get("X-Own"), "1")
	is.Equal(header.Get("Galenalock-Relay"), "")
	r := <-seen
	is.Equal(r.RequestURI, "/x%2Fy?q=1")
	is.Equal(r.Header.Get("X-Caller"), "a")
	is.Equal(r.Header.Get("Seen-Body"), "body")
	is.Equal(r.Header.Get("Galenalock-Relay"), "")
	left, err := strconv.Atoi(r.Header.Get("Galenalock-Deadline"))
	is.NoErr(err)
	is.True(left > 0 && left <= 2000)
}

// Guards against a request that is not repeatable and is sent again after an entry
// that it was passed on to may have sent it, and against one that is given up
// although an entry declares that it sent it to no target.
func TestRelayedOrderRunsOnce(t *testing.T) {
	var arrived atomic.Int64
	target := respond(t, okResponse, func(*http.Request, string) { arrived.Add(1) })
	silent := respond(t, "", func(*http.Request, string) { arrived.Add(1) })
	shedding := respond(t, "HTTP/1.1 503 Busy\r\nGalenalock-Run: no\r\nContent-Length: 0\r\n\r\n", nil)
	helper := startHelper(t, proxy.Hooks{}, target)
	broken := listen(t, func(c net.Conn, in *bufio.Reader) { _, _ = http.ReadRequest(in) })
	stranger := respond(t, okResponse, nil)
	for name, c := range map[string]struct {
		helpers []netip.AddrPort
		status  int
		run     string
		runs    int64
	}{
		"first helper refuses connections":   {[]netip.AddrPort{closedAddress(t), helper}, 200, "", 1},
		"first helper has no target":         {[]netip.AddrPort{startHelper(t, proxy.Hooks{}), helper}, 200, "", 1},
		"first helper reaches no target":     {[]netip.AddrPort{startHelper(t, proxy.Hooks{}, closedAddress(t)), helper}, 200, "", 1},
		"first helper is shutting down":      {[]netip.AddrPort{startHelper(t, proxy.Hooks{Enter: refuseEntry}, target), helper}, 200, "", 1},
		"first helper ends":                  {[]netip.AddrPort{broken, helper}, 502, "unknown", 0},
		"target of the first helper ends":    {[]netip.AddrPort{startHelper(t, proxy.Hooks{}, silent), helper}, 502, "unknown", 1},
		"target of the first helper sheds":   {[]netip.AddrPort{startHelper(t, proxy.Hooks{}, shedding), helper}, 503, "no", 0},
		"first helper is another program":    {[]netip.AddrPort{stranger, helper}, 502, "unknown", 0},
		"no helper has a target":             {[]netip.AddrPort{startHelper(t, proxy.Hooks{}), startHelper(t, proxy.Hooks{})}, 503, "no", 0},
		"no helper accepts connections":      {[]netip.AddrPort{closedAddress(t)}, 502, "no", 0},
		"there is no helper":                 {nil, 503, "no", 0},
		"helper would have to pass it on":    {[]netip.AddrPort{startHelper(t, proxy.Hooks{Pick: noTarget})}, 503, "no", 0},
		"first helper is overloaded":         {[]netip.AddrPort{startHelper(t, proxy.Hooks{Admit: refuseAdmission}, target), helper}, 200, "", 1},
		"helpers decline, the last one ends": {[]netip.AddrPort{startHelper(t, proxy.Hooks{}), broken, helper}, 502, "unknown", 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			arrived.Store(0)
			e := startWithoutPath(t, proxy.Hooks{Retry: allowRetry}, c.helpers...)
			status, _, body, err := e.send(http.MethodPost, "/tables/x", strings.NewReader("1"))
			is.NoErr(err)
			is.Equal(status, c.status)
			is.True(c.run == "" || strings.Contains(body, fmt.Sprintf(`"run":%q`, c.run)))
			is.Equal(arrived.Load(), c.runs)
		})
	}
}

func refuseEntry(proxy.Request) (func(), bool) { return nil, false }

func refuseAdmission(context.Context, proxy.Request) (proxy.Admission, error) {
	return proxy.Admission{}, io.EOF
}

// Guards against targets that get a request after its caller has left, through
// another entry as well.
func TestCallerOfRelayedRequestLeaves(t *testing.T) {
	is := is.New(t)
	arrived, left := make(chan struct{}), make(chan struct{})
	target := listen(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		close(arrived)
		_, _ = in.ReadByte() // returns when the connection is closed
		close(left)
	})
	e := startWithoutPath(t, proxy.Hooks{}, startHelper(t, proxy.Hooks{}, target))
	ctx, leave := context.WithCancel(t.Context())
	go func() { <-arrived; leave() }()
	_, _, _, err := e.sendContext(ctx, http.MethodGet, "/tables/x", nil)
	is.True(err != nil)
	<-left
}

// Guards against an entry that passes on the answer of a leaving target and later
// sends it requests itself.
func TestLeavingIsPassedOn(t *testing.T) {
	is := is.New(t)
	start := time.UnixMilli(1_700_000_000_123)
	leaving := respond(t, "HTTP/1.1 200 OK\r\nGalenalock-Leaving: 1\r\nContent-Length: 0\r\n\r\n", nil)
	view := startEntry(t, false, proxy.Hooks{}, proxy.Rules{}).view
	p := proxy.New(proxy.Hooks{View: func() *proxy.View { return &view }, Pick: func(proxy.Request, []netip.AddrPort, time.Time) (proxy.Target, bool) {
		return proxy.Target{Address: leaving, Incarnation: start}, true
	}})
	server := httptest.NewServer(http.HandlerFunc(p.ServeRelayed))
	t.Cleanup(func() { server.Close(); p.Close() })
	outcomes := make(chan proxy.Outcome, 1)
	e := startWithoutPath(t, proxy.Hooks{End: func(_ proxy.Attempt, o proxy.Outcome) { outcomes <- o }}, netip.MustParseAddrPort(server.Listener.Addr().String()))
	status, header, _, err := e.send(http.MethodPost, "/tables/x", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(header.Get("Galenalock-Relay"), "")
	o := <-outcomes
	is.True(o.Leaving)
	is.Equal(o.LeavingTarget, leaving)
	is.True(o.LeavingStart.Equal(start))
}

// Guards against callers that are told that there is no route, because an entry with
// another configuration knows none for a request that was passed on to it.
func TestHelperWithAnotherConfiguration(t *testing.T) {
	is := is.New(t)
	empty, err := spec.Parse([]byte("[[service]]\nname = \"other\"\nfloor = \"50%\"\n"))
	is.NoErr(err)
	view := proxy.View{Text: empty, Revision: 2, Ready: true}
	old := startHelper(t, proxy.Hooks{View: func() *proxy.View { return &view }})
	target := respond(t, okResponse, nil)
	for _, c := range []struct {
		helpers []netip.AddrPort
		status  int
	}{{[]netip.AddrPort{old}, http.StatusServiceUnavailable}, {[]netip.AddrPort{old, startHelper(t, proxy.Hooks{}, target)}, http.StatusOK}} {
		e := startWithoutPath(t, proxy.Hooks{Retry: allowRetry}, c.helpers...)
		status, _, _, err := e.send(http.MethodPost, "/tables/x", strings.NewReader("1"))
		is.NoErr(err)
		is.Equal(status, c.status)
	}
}

// Guards against a request that runs by an older configuration than that of the entry
// that took it, because the entry that it was passed on to lags.
func TestRelayedRequestRunsByTheConfigurationOfItsEntry(t *testing.T) {
	is := is.New(t)
	text := func(service string) *spec.Text {
		return parseText(t, "[[service]]\nname = \"before\"\nfloor = \"50%\"\n[[service]]\nname = \"after\"\nfloor = \"50%\"\n"+
			"[[route]]\nprefix = \"/tables\"\nservice = \""+service+"\"\nkind = { repeat = true, attempts = 2 }\n")
	}
	target := respond(t, okResponse, nil)
	for _, c := range []struct{ entry, helper string }{{"after", "before"}, {"before", "after"}, {"after", "after"}} {
		var ran string
		view := proxy.View{Text: text(c.entry), Revision: 2, Ready: true}
		helperView := proxy.View{Text: text(c.helper), Revision: 1, Ready: true}
		helper := startHelper(t, proxy.Hooks{
			View:  func() *proxy.View { return &helperView },
			Begin: func(a proxy.Attempt) { ran = a.Request.Service.Name },
		}, target)
		e := startEntryWithOptions(t, proxy.Hooks{View: func() *proxy.View { return &view }, Pick: pickInOrder([]netip.AddrPort{helper}, true)})
		status, _, _, err := e.send(http.MethodGet, "/tables/x", nil)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(ran, c.entry)
	}
}

// Guards against a request that must not be repeated and is, because the configuration
// of the entry that it was passed on to allows it.
func TestKindOfRepetitionIsPassedOn(t *testing.T) {
	is := is.New(t)
	text, err := spec.Parse([]byte("[[service]]\nname = \"tables\"\nfloor = \"50%\"\n[[route]]\nprefix = \"/tables\"\nservice = \"tables\"\nkind = { repeat = true, attempts = 3 }\n"))
	is.NoErr(err)
	view := proxy.View{Text: text, Revision: 2, Ready: true}
	var arrived atomic.Int64
	count := func(*http.Request, string) { arrived.Add(1) }
	helper := startHelper(t, proxy.Hooks{View: func() *proxy.View { return &view }, Retry: allowRetry}, respond(t, "", count), respond(t, okResponse, count))
	e := startWithoutPath(t, proxy.Hooks{Retry: allowRetry}, helper)
	status, _, body, err := e.send(http.MethodPost, "/tables/x", strings.NewReader("1"))
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
	is.True(strings.Contains(body, `"run":"unknown"`))
	is.Equal(arrived.Load(), int64(1))
}

// Guards against callers that pretend to be an entry.
func TestCallerCannotMarkRequestAsRelayed(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 1)
	target := respond(t, okResponse, func(r *http.Request, _ string) { seen <- r.Header.Get("Galenalock-Relay") })
	e := startEntry(t, false, proxy.Hooks{}, proxy.Rules{}, target)
	status, header, _, err := e.send(http.MethodGet, "/tables/x", nil, "Galenalock-Relay", "attempts=9")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(<-seen, "")
	is.Equal(header.Get("Galenalock-Relay"), "")
}

// Guards against more targets for one request than its kind allows, when the entry
// that it was passed on to tries several.
func TestRelayedRequestKeepsLimitOfAttempts(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int64
	failing := make([]netip.AddrPort, 6)
	for i := range failing {
		failing[i] = respond(t, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", func(*http.Request, string) { arrived.Add(1) })
	}
	limits := proxy.Limits{WholeResponse: 1 << 10}
	helper := func(targets ...netip.AddrPort) netip.AddrPort {
		text := limitedText(t)
		view := proxy.View{Text: text, Revision: 1, Ready: true}
		p := proxy.New(proxy.Hooks{View: func() *proxy.View { return &view }, Retry: allowRetry, Pick: pickInOrder(targets, false)}, proxy.WithLimits(limits))
		server := httptest.NewServer(http.HandlerFunc(p.ServeRelayed))
		t.Cleanup(func() { server.Close(); p.Close() })
		return netip.MustParseAddrPort(server.Listener.Addr().String())
	}
	view := proxy.View{Text: limitedText(t), Revision: 1, Ready: true}
	e := startEntryWithOptions(t, proxy.Hooks{
		View: func() *proxy.View { return &view }, Retry: allowRetry,
		Pick: pickInOrder([]netip.AddrPort{helper(failing[:3]...), helper(failing[3:]...)}, true),
	}, proxy.WithLimits(limits))
	status, _, _, err := e.send(http.MethodGet, "/tables/x", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusInternalServerError)
	is.Equal(arrived.Load(), int64(2))
}

// limitedText returns a service text whose requests may reach two targets.
func limitedText(t testing.TB) *spec.Text {
	return parseText(t, "[[service]]\nname = \"tables\"\nfloor = \"50%\"\n[[route]]\nprefix = \"/tables\"\nservice = \"tables\"\nkind = { repeat = true, attempts = 2 }\n")
}

func parseText(t testing.TB, source string) *spec.Text {
	t.Helper()
	text, err := spec.Parse([]byte(source))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func pickInOrder(addresses []netip.AddrPort, relay bool) func(proxy.Request, []netip.AddrPort, time.Time) (proxy.Target, bool) {
	return func(_ proxy.Request, exclude []netip.AddrPort, _ time.Time) (proxy.Target, bool) {
		for _, a := range addresses {
			if !slices.Contains(exclude, a) {
				return proxy.Target{Address: a, Relay: relay}, true
			}
		}
		return proxy.Target{}, false
	}
}

// Guards against a claim by an entry that cannot dispatch, which would keep the
// order from running through another entry.
func TestRelayedOrderIsClaimedByHelper(t *testing.T) {
	is := is.New(t)
	target := respond(t, okResponse, nil)
	var claims [2]atomic.Int64
	claim := func(i int) func(context.Context, wire.Claim) (wire.Claimed, error) {
		return func(context.Context, wire.Claim) (wire.Claimed, error) {
			claims[i].Add(1)
			return wire.Claimed{State: wire.ClaimGranted}, nil
		}
	}
	closeClaim := func(context.Context, wire.Close) (wire.Claimed, error) {
		return wire.Claimed{State: wire.ClaimDone}, nil
	}
	helper := startHelper(t, proxy.Hooks{Claim: claim(1), Close: closeClaim}, target)
	e := startWithoutPath(t, proxy.Hooks{Claim: claim(0), Close: closeClaim}, helper)
	status, _, _, err := e.send(http.MethodPost, "/orders", strings.NewReader("1"), "Idempotency-Key", "k")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(claims[0].Load(), int64(0))
	is.Equal(claims[1].Load(), int64(1))
}

// Guards against a second copy of a request at another entry, which would send it to
// further targets: a target is slow, and the connection to the entry was used before.
func TestRelayedRequestIsPassedOnOnce(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int64
	release := make(chan struct{})
	target := listen(t, func(c net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			arrived.Add(1)
			if r.URL.Path == "/slow" {
				<-release
			}
			_, _ = io.WriteString(c, okResponse)
		}
	})
	delays := proxy.Hooks{
		Retry: allowRetry, HedgeDelay: fixedDelay(time.Millisecond), ProbeDelay: fixedDelay(2 * time.Millisecond),
	}
	helper := startHelper(t, proxy.Hooks{}, target)
	e := startWithoutPath(t, delays, helper, startHelper(t, proxy.Hooks{}, target))
	_, _, _, err := e.send(http.MethodGet, "/tables/x", nil)
	is.NoErr(err)
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	status, _, _, err := e.send(http.MethodGet, "/tables/slow", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(arrived.Load(), int64(2))
}
