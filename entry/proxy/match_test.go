package proxy_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/meter"
	"github.com/galenalock/galenalock/core/pool"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/proxy"
)

// newPipeProxy returns a proxy whose target answers 204 over pipes, so that it
// can run in a synctest bubble.
func newPipeProxy(t *testing.T, hooks proxy.Hooks, seen func(*http.Request)) *proxy.Proxy {
	data, err := os.ReadFile("testdata/text.toml")
	if err != nil {
		t.Fatal(err)
	}
	text, err := spec.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	hooks.View = func() *proxy.View { return &proxy.View{Text: text, Ready: true} }
	hooks.Pick = func(proxy.Request, []netip.AddrPort, time.Time) (proxy.Target, bool) { return proxy.Target{}, true }
	return proxy.New(hooks, proxy.WithPool(pool.New(pool.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			r, err := http.ReadRequest(bufio.NewReader(far))
			if err == nil {
				seen(r)
				_, _ = far.Write([]byte("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"))
			}
		}()
		return near, nil
	}))))
}

// Guards against requests that are sent to the wrong service, kind or path.
func TestPaths(t *testing.T) {
	is := is.New(t)
	table, err := os.ReadFile("testdata/paths.txt")
	is.NoErr(err)
	for line := range strings.Lines(string(table)) {
		request, want, ok := strings.Cut(strings.TrimSpace(line), " -> ")
		if !ok || line[0] == '#' {
			continue
		}
		var got string
		var uri atomic.Value
		p := newPipeProxy(t, proxy.Hooks{
			Claim:   claimResult(wire.ClaimGranted, nil),
			Close:   newFakeControl().close,
			Begin:   func(a proxy.Attempt) { got = a.Request.Service.Name + " " + a.Request.Kind.Name },
			Refused: func(r refuse.Reason) { got = string(r) },
		}, func(r *http.Request) { uri.Store(" " + r.RequestURI) })
		field := strings.Fields(request)
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(field[1] + " " + field[2] + " HTTP/1.1\r\nHost: " + field[0] + "\r\nIdempotency-Key: k\r\n\r\n")))
		is.NoErr(err)
		p.ServeHTTP(httptest.NewRecorder(), r)
		if sent, ok := uri.Load().(string); ok {
			got += sent
		}
		if got != want {
			t.Errorf("%s: got %q, want %q", request, got, want)
		}
		p.Settle(t.Context())
		p.Close()
	}
}

// Guards against two spellings of one key that run a request twice, and against
// different requests with the same fingerprint.
func TestKeysAndFingerprints(t *testing.T) {
	is := is.New(t)
	var last wire.Claim
	p := newPipeProxy(t, proxy.Hooks{Claim: func(_ context.Context, c wire.Claim) (wire.Claimed, error) {
		last = c
		return wire.Claimed{State: wire.ClaimUnknown}, nil
	}}, func(*http.Request) {})
	claim := func(url, key, body, workspace string) wire.Claim {
		last = wire.Claim{}
		r := httptest.NewRequest(http.MethodPost, url, strings.NewReader(body))
		r.Host = "ledger.example"
		r.Header["Idempotency-Key"] = []string{key}
		if workspace != "" {
			r.Header.Set("Galenalock-Workspace", workspace)
		}
		p.ServeHTTP(httptest.NewRecorder(), r)
		return last
	}
	long := strings.Repeat("k", 255)
	for key, want := range map[string]string{
		"k": "k", `"k"`: "k", " k\t": "k", `"a\"b\\c"`: `a"b\c`, long: long,
		"": "", `""`: "", `"`: `"`, `"a"b"`: "", `"a\b"`: "", "a b": "", "k\x7f": "", "é": "", long + "k": "",
	} {
		is.Equal(claim("/orders", key, "x", "").Key, want)
	}
	seen := map[uint64]bool{}
	for _, c := range [][3]string{{"/orders", "x", ""}, {"/orders/x", "", ""}, {"/orders", "y", ""}, {"/orders?x", "x", ""}, {"/orders", "x", "pier-3"}} {
		fingerprint := claim(c[0], "k", c[1], c[2]).Fingerprint
		is.True(fingerprint != 0 && !seen[fingerprint])
		is.Equal(claim(c[0], "other", c[1], c[2]).Fingerprint, fingerprint)
		seen[fingerprint] = true
	}
}

// Guards against a response whose record is given up during a long outage of
// control, and against a Settle that does not wait for the record.
func TestRecordSurvivesOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		end := time.Now().Add(3 * time.Hour)
		var calls atomic.Int64
		p := newPipeProxy(t, proxy.Hooks{
			Claim: claimResult(wire.ClaimGranted, nil),
			Close: func(_ context.Context, c wire.Close) (wire.Claimed, error) {
				calls.Add(1)
				is.Equal(c.Outcome, wire.OutcomeDone)
				if time.Now().Before(end) {
					return wire.Claimed{}, errors.New("no majority")
				}
				return wire.Claimed{State: wire.ClaimDone}, nil
			},
		}, func(*http.Request) {})
		r := httptest.NewRequest(http.MethodPost, "/orders", nil)
		r.Host = "ledger.example"
		r.Header.Set("Idempotency-Key", "k")
		w := httptest.NewRecorder()
		p.ServeHTTP(w, r)
		is.Equal(w.Code, http.StatusNoContent)
		is.Equal(len(p.Settle(context.Background())), 0)
		is.True(!time.Now().Before(end) && time.Now().Before(end.Add(10*time.Second)))
		is.True(calls.Load() > 2000 && calls.Load() < 2500) // once every 5 s
		p.Close()
	})
}

// Guards against requests, refusals and retries that no metric counts.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	m, err := meter.New()
	is.NoErr(err)
	hooks, err := proxy.Hooks{Retry: allowRetry}.WithMetrics(m)
	is.NoErr(err)
	e := startEntry(t, false, hooks, proxy.Rules{}, closedAddress(t), respond(t, okResponse, nil))
	for _, path := range []string{"/tables/x", "/none"} {
		_, _, _, err = e.send(http.MethodGet, path, nil)
		is.NoErr(err)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, attribute := range []string{`service="tables"`, `reason="connect"`, `reason="nomethod"`} {
		if !strings.Contains(w.Body.String(), attribute) {
			t.Errorf("no %s in:\n%s", attribute, w.Body.String())
		}
	}
	is.NoErr(m.Close(t.Context()))
}
