package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/update"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/proxy"
)

// guarded is a view with keys that a test can withdraw.
type guarded struct {
	view  atomic.Pointer[proxy.View]
	fresh atomic.Int64
}

// newGuarded returns a view of the test text in which the workspaces have these keys.
func newGuarded(t testing.TB, keys ...string) *guarded {
	g := &guarded{}
	g.fresh.Store(int64(update.Newest))
	g.setKeys(t, keys...)
	return g
}

func (g *guarded) setKeys(t testing.TB, keys ...string) {
	data, err := os.ReadFile("testdata/text.toml")
	if err != nil {
		t.Fatal(err)
	}
	source := string(data) + "[[route]]\nprefix = \"/open\"\nservice = \"tables\"\npublic = true\n"
	for i, key := range keys {
		source += fmt.Sprintf("[[workspace]]\nname = \"w%d\"\nkeys = [\"plain:%s\"]\n", i, key)
	}
	text, err := spec.Parse([]byte(source))
	if err != nil {
		t.Fatal(err)
	}
	g.view.Store(&proxy.View{Text: text, Revision: 1, Ready: true})
}

func (g *guarded) hooks() proxy.Hooks {
	return proxy.Hooks{View: g.view.Load, Freshness: func() update.Freshness { return update.Freshness(g.fresh.Load()) }}
}

// Guards against a request that runs without a key, against an unknown key that is
// refused for good while it may be new, and against a target that sees a key or a
// workspace which the caller made up.
func TestKeyDeterminesTheWorkspace(t *testing.T) {
	cases := []struct {
		path, credential string
		fresh            update.Freshness
		status           int
		workspace        string
	}{
		{"/tables/x", "Bearer key-0", update.Newest, 200, "w0"},
		{"/tables/x", "bEARER  key-1 ", update.Usable, 200, "w1"},
		{"/tables/x", "Bearer key-0", update.Outdated, 503, ""},
		{"/tables/x", "Bearer other", update.Newest, 401, ""},
		{"/tables/x", "Bearer other", update.Usable, 503, ""},
		{"/tables/x", "Basic key-0", update.Newest, 401, ""},
		{"/tables/x", "", update.Newest, 401, ""},
		{"/tables/x", "", update.Usable, 503, ""},
		{"/open/x", "", update.Outdated, 200, ""},
		{"/open/x", "Bearer other", update.Outdated, 200, ""},
		{"/open/x", "Bearer key-0", update.Usable, 200, "w0"},
		{"/open/x", "Bearer key-0", update.Outdated, 503, ""},
	}
	seen := make(chan *http.Request, 1)
	target := respond(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", func(r *http.Request, _ string) { seen <- r })
	g := newGuarded(t, "key-0", "key-1")
	direct := startEntry(t, false, g.hooks(), proxy.Rules{}, target)
	relayed := startRelay(t, g, g, target)
	for _, e := range []*entry{direct, relayed} {
		for _, c := range cases {
			t.Run(fmt.Sprint(c), func(t *testing.T) {
				is := is.New(t)
				g.fresh.Store(int64(c.fresh))
				request := fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: h\r\nConnection: close, Galenalock-Workspace\r\nGalenalock-Workspace: w1\r\n"+
					"Transfer-Encoding: chunked\r\nTrailer: Authorization\r\n", c.path)
				if c.credential != "" {
					request += "Authorization: " + c.credential + "\r\n"
				}
				response := e.sendRaw(t, request+"\r\n1\r\nx\r\n0\r\nAuthorization: Bearer key-0\r\nGalenalock-Workspace: w1\r\n\r\n")
				is.True(strings.HasPrefix(response, fmt.Sprint("HTTP/1.1 ", c.status)))
				is.True(c.status == 200 || strings.Contains(response, `"run":"no"`))
				is.True(!strings.Contains(response, "key-"))
				if c.status == 200 {
					r := <-seen
					is.Equal(r.Header.Get("Authorization")+r.Header.Get("Galenalock-Relay")+r.Trailer.Get("Authorization")+r.Trailer.Get("Galenalock-Workspace"), "")
					is.Equal(r.Header.Get("Galenalock-Workspace"), c.workspace)
				}
			})
		}
	}
}

// startRelay starts an entry without a path to targets that passes requests on to another
// one, which has its own view.
func startRelay(t testing.TB, g, other *guarded, target netip.AddrPort) *entry {
	helper := startHelper(t, other.hooks(), target)
	hooks := g.hooks()
	hooks.Pick = func(_ proxy.Request, exclude []netip.AddrPort, _ time.Time) (proxy.Target, bool) {
		return proxy.Target{Address: helper, Relay: true}, len(exclude) == 0
	}
	return startEntryWithOptions(t, hooks)
}

// Guards against a request that another entry runs although its view lacks the key, and
// against a caller who is told that the key is unknown because two views differ.
func TestRelayedKeyIsCheckedByBothEntries(t *testing.T) {
	is := is.New(t)
	target := respond(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", func(*http.Request, string) { t.Error("request ran") })
	for _, keys := range [][]string{{"other"}, {"other", "key-0"}, nil} {
		e := startRelay(t, newGuarded(t, "key-0"), newGuarded(t, keys...), target)
		status, header, body, err := e.send(http.MethodGet, "/tables/x", nil, "Authorization", "Bearer key-0")
		is.NoErr(err)
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(strings.Contains(body, `"reason":"nopath"`) && strings.Contains(body, `"run":"no"`))
		is.True(header.Get("Retry-After") != "")
	}
}

// Guards against a send with a key that was withdrawn after the request was matched. If
// the key is kept, each case does send.
func TestWithdrawnKeyStopsFurtherSends(t *testing.T) {
	const (
		shed  = "HTTP/1.1 503 Service Unavailable\r\nGalenalock-Run: no\r\nContent-Length: 0\r\n\r\n"
		reset = ""
	)
	cases := []struct {
		name, first string // response of the first target
		at          string // moment of the withdrawal
		status      int
		run         refuse.Run
	}{
		{"admission", reset, "admit", 401, refuse.NotRun},
		{"first send", reset, "pick", 401, refuse.NotRun},
		{"retry", reset, "seen", 502, refuse.Unknown},
		{"retry after shed", shed, "seen", 503, refuse.NotRun},
		{"connected retry", reset, "retry", 502, refuse.Unknown},
		{"connected retry after shed", shed, "retry", 401, refuse.NotRun},
	}
	for _, c := range cases {
		for _, withdraw := range []bool{true, false} {
			t.Run(fmt.Sprint(c.name, withdraw), func(t *testing.T) {
				is := is.New(t)
				g := newGuarded(t, "key-0", "key-1")
				reach := func(at string) {
					if at == c.at && withdraw {
						g.setKeys(t, "other", "key-1")
					}
				}
				var sent atomic.Int64
				first := respond(t, c.first, func(*http.Request, string) { sent.Add(1); reach("seen") })
				second := respond(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", func(*http.Request, string) { sent.Add(1) })
				hooks := g.hooks()
				hooks.Admit = func(context.Context, proxy.Request) (proxy.Admission, error) {
					reach("admit")
					return proxy.Admission{}, nil
				}
				hooks.Begin = func(a proxy.Attempt) { reach([]string{"pick", "retry"}[a.Number]) }
				hooks.Retry = allowRetry
				e := startEntry(t, false, hooks, proxy.Rules{}, first, second)
				status, _, body, err := e.send(http.MethodGet, "/tables/x", nil, "Authorization", "Bearer key-0")
				is.NoErr(err)
				if !withdraw {
					is.Equal(status, http.StatusOK)
					is.Equal(sent.Load(), int64(2))
					return
				}
				is.Equal(status, c.status)
				is.True(strings.Contains(body, fmt.Sprintf(`"run":%q`, c.run)))
				is.True(sent.Load() < 2)
			})
		}
	}
}

// Guards against a hedge with a withdrawn key, and against the loss of the first attempt
// because of it.
func TestWithdrawnKeyStopsHedge(t *testing.T) {
	is := is.New(t)
	g := newGuarded(t, "key-0", "key-1")
	hedged := make(chan struct{})
	first := respond(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", func(*http.Request, string) { <-hedged })
	second := respond(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", func(*http.Request, string) { t.Error("request ran") })
	hooks := g.hooks()
	hooks.HedgeDelay = func(*spec.Service, *spec.Kind) (time.Duration, bool) { return 10 * time.Millisecond, true }
	hooks.Retry = allowRetry
	hooks.Begin = func(a proxy.Attempt) {
		if a.Number == 1 {
			g.setKeys(t, "other", "key-1")
		}
	}
	hooks.End = func(a proxy.Attempt, _ proxy.Outcome) {
		if a.Number == 1 {
			close(hedged)
		}
	}
	status, _, _, err := startEntry(t, false, hooks, proxy.Rules{}, first, second).send(http.MethodGet, "/tables/x", nil, "Authorization", "Bearer key-0")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}

// Guards against workspaces that share idempotency keys, and against a stored response
// that is sent again after the key of its workspace was withdrawn.
func TestIdempotencyKeysBelongToTheWorkspace(t *testing.T) {
	is := is.New(t)
	g := newGuarded(t, "key-0", "key-1")
	var runs atomic.Int64
	target := respond(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", func(*http.Request, string) { runs.Add(1) })
	control := newFakeControl()
	hooks := g.hooks()
	withdraw := false
	hooks.Close = control.close
	hooks.Claim = func(ctx context.Context, q wire.Claim) (wire.Claimed, error) {
		if withdraw {
			g.setKeys(t, "other", "key-1")
		}
		return control.claim(ctx, q)
	}
	e := startEntry(t, false, hooks, proxy.Rules{}, target)
	order := func(key string) int {
		status, _, _, err := e.send(http.MethodPost, "/orders", strings.NewReader("x"), "Authorization", "Bearer "+key, "Idempotency-Key", "k")
		is.NoErr(err)
		return status
	}
	is.Equal(order("key-0"), http.StatusOK)
	<-control.closed
	is.Equal(order("key-1"), http.StatusOK)
	is.Equal(runs.Load(), int64(2))
	<-control.closed
	is.Equal(order("key-0"), http.StatusOK) // stored
	withdraw = true
	is.Equal(order("key-0"), http.StatusUnauthorized)
	is.Equal(runs.Load(), int64(2))
}

// Guards against a configuration without keys under which headers of callers change, or
// under which an entry needs a confirmed view.
func TestWithoutKeysNothingChanges(t *testing.T) {
	is := is.New(t)
	seen := make(chan *http.Request, 1)
	target := respond(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", func(r *http.Request, _ string) { seen <- r })
	g := newGuarded(t)
	g.fresh.Store(int64(update.Outdated))
	for _, e := range []*entry{startEntry(t, false, g.hooks(), proxy.Rules{}, target), startRelay(t, g, g, target)} {
		status, _, _, err := e.send(http.MethodGet, "/tables/x", nil, "Authorization", "Bearer key-0", "Galenalock-Workspace", "harbour-17")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		r := <-seen
		is.Equal(r.Header.Get("Authorization"), "Bearer key-0")
		is.Equal(r.Header.Get("Galenalock-Workspace"), "harbour-17")
	}
}
