package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/update"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/proxy"
)

// claimResult returns a Claim hook that always returns this state and answer.
func claimResult(state wire.ClaimState, answer *wire.Answer) func(context.Context, wire.Claim) (wire.Claimed, error) {
	return func(context.Context, wire.Claim) (wire.Claimed, error) {
		return wire.Claimed{State: state, Answer: answer}, nil
	}
}

// orderRequest is a keyed request that must not be repeated.
const orderRequest = "POST /orders HTTP/1.1\r\nHost: ledger.example\r\nConnection: close\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx"

// shortHeaderView returns a View hook whose service text limits headers to 100
// bytes.
func shortHeaderView(t *testing.T) func() *proxy.View {
	text, err := spec.Parse([]byte("[limits]\nheader = 100\n[[service]]\nname = \"a\"\nfloor = \"1\"\n[[route]]\nservice = \"a\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	return func() *proxy.View { return &proxy.View{Text: text, Revision: 1, Ready: true} }
}

// Guards against unintended changes of the reason, status or run field of a
// refusal, and against refusals that are not counted.
func TestRefusals(t *testing.T) {
	shed := "HTTP/1.1 503 Service Unavailable\r\nGalenalock-Run: no\r\nContent-Length: 0\r\n\r\n"
	get := "GET /tables/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n%s\r\n"
	change := "POST /tables/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 1\r\n%s\r\nx"
	closedTarget, silentTarget := closedAddress(t), respond(t, "", nil)
	cases := []struct {
		name, request string
		hooks         proxy.Hooks
		targets       []netip.AddrPort
	}{
		{"noroute", "GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", proxy.Hooks{}, nil},
		{"nomethod", "GET /orders HTTP/1.1\r\nHost: ledger.example\r\nConnection: close\r\n\r\n", proxy.Hooks{}, nil},
		{"noworkspace", fmt.Sprintf(get, "Galenalock-Workspace: other\r\n"), proxy.Hooks{}, nil},
		{"nokey", strings.Replace(orderRequest, "Idempotency-Key: k\r\n", "", 1), proxy.Hooks{}, nil},
		{"badkey", strings.Replace(orderRequest, ": k\r", ": k k\r", 1), proxy.Hooks{}, nil},
		{"badrequest", "GET /tables/../x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", proxy.Hooks{}, nil},
		{"baddigest", fmt.Sprintf(change, "Content-Digest: sha-256=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:\r\n"), proxy.Hooks{}, nil},
		{"toolarge", strings.Replace(orderRequest, "Content-Length: 1\r", "Content-Length: 1048577\r", 1), proxy.Hooks{}, nil},
		{"bigheader", fmt.Sprintf(get, "X-Long: "+strings.Repeat("x", 200)+"\r\n"), proxy.Hooks{View: shortHeaderView(t)}, nil},
		{"upgrade", "GET /tables/x HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, close\r\nUpgrade: websocket\r\n\r\n", proxy.Hooks{}, nil},
		{"notarget", fmt.Sprintf(get, ""), proxy.Hooks{}, nil},
		{"limited", fmt.Sprintf(get, ""), proxy.Hooks{Unavailable: func(proxy.Request, time.Time) (refuse.Reason, time.Duration) {
			return refuse.Limited, 1500 * time.Millisecond
		}}, nil},
		{"paused", fmt.Sprintf(get, ""), proxy.Hooks{Unavailable: func(proxy.Request, time.Time) (refuse.Reason, time.Duration) {
			return refuse.Paused, 3 * time.Second
		}}, nil},
		{"nopath", fmt.Sprintf(get, ""), proxy.Hooks{Unavailable: func(proxy.Request, time.Time) (refuse.Reason, time.Duration) {
			return refuse.NoPath, 500 * time.Millisecond
		}}, nil},
		{"connect", fmt.Sprintf(get, ""), proxy.Hooks{}, []netip.AddrPort{closedTarget}},
		{"shed", fmt.Sprintf(change, ""), proxy.Hooks{}, []netip.AddrPort{respond(t, shed, nil)}},
		{"quarantined", fmt.Sprintf(get, ""), proxy.Hooks{Quarantined: func(proxy.Request, time.Time) (time.Duration, bool) {
			return 10 * time.Minute, true
		}}, nil},
		{"broken", fmt.Sprintf(change, ""), proxy.Hooks{}, []netip.AddrPort{silentTarget}},
		{"deadline", fmt.Sprintf(get, "Galenalock-Deadline: 0\r\n"), proxy.Hooks{}, []netip.AddrPort{silentTarget}},
		{"overload", fmt.Sprintf(get, ""), proxy.Hooks{Admit: func(context.Context, proxy.Request) (proxy.Admission, error) {
			return proxy.Admission{}, errors.New("full")
		}}, nil},
		{"rate", fmt.Sprintf(get, ""), proxy.Hooks{Admit: func(context.Context, proxy.Request) (proxy.Admission, error) {
			return proxy.Admission{}, &refuse.Error{Reason: refuse.Rate, Run: refuse.NotRun, RetryAfter: time.Second}
		}}, nil},
		// A request that loses its token while it waits must not reach the target.
		{"unmetered", fmt.Sprintf(get, ""), proxy.Hooks{Admit: func(context.Context, proxy.Request) (proxy.Admission, error) {
			return proxy.Admission{Send: func() error {
				return &refuse.Error{Reason: refuse.Unmetered, Run: refuse.NotRun, RetryAfter: 300 * time.Millisecond}
			}}, nil
		}}, []netip.AddrPort{silentTarget}},
		{"draining", fmt.Sprintf(get, ""), proxy.Hooks{Enter: func(proxy.Request) (func(), bool) { return nil, false }}, nil},
		{"notready", fmt.Sprintf(get, ""), proxy.Hooks{View: func() *proxy.View { return nil }}, nil},
		{"stale", fmt.Sprintf(get, ""), proxy.Hooks{Stale: func() bool { return true }}, nil},
		{"noquorum", orderRequest, proxy.Hooks{}, nil},
		{"mismatch", orderRequest, proxy.Hooks{Claim: claimResult(wire.ClaimMismatch, nil)}, nil},
		{"lost", orderRequest, proxy.Hooks{Claim: claimResult(wire.ClaimUnknown, nil)}, nil},
		{"expired", orderRequest, proxy.Hooks{Claim: claimResult(wire.ClaimExpired, nil)}, nil},
		{"running", strings.Replace(orderRequest, "Connection", "Galenalock-Deadline: 20\r\nConnection", 1), proxy.Hooks{Claim: claimResult(wire.ClaimRunning, nil)}, nil},
		{"unauthorized", fmt.Sprintf(get, ""), newGuarded(t, "key-0").hooks(), nil},
		{"unconfirmed", fmt.Sprintf(get, "Authorization: Bearer key-0\r\n"), proxy.Hooks{
			View: newGuarded(t, "key-0").view.Load, Freshness: func() update.Freshness { return update.Outdated },
		}, nil},
	}
	seen := map[string]bool{}
	var transcript strings.Builder
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			var counted []refuse.Reason
			hooks := c.hooks
			hooks.Random = func() uint64 { return 7 }
			hooks.Refused = func(r refuse.Reason) {
				mu.Lock()
				defer mu.Unlock()
				counted = append(counted, r)
			}
			e := startEntry(t, false, hooks, proxy.Rules{}, c.targets...)
			got := e.sendRaw(t, c.request)
			mu.Lock()
			is.Equal(counted, []refuse.Reason{refuse.Reason(c.name)})
			mu.Unlock()
			for line := range strings.Lines(got) {
				if !strings.HasPrefix(line, "Date: ") {
					transcript.WriteString(strings.TrimRight(line, "\r\n") + "\n")
				}
			}
			transcript.WriteString("\n")
			seen[c.name] = true
		})
	}
	is := is.New(t)
	for _, r := range refuse.Reasons() {
		is.True(seen[string(r)]) // every reason has a case
	}
	goldie.New(t).Assert(t, "refusals", []byte(transcript.String()))
}

// Guards against run "no" for a request that may have run, and against "unknown"
// for one that cannot have run. The naive variant treats every failed attempt as
// unsent.
func TestRunField(t *testing.T) {
	shed := "HTTP/1.1 503 Service Unavailable\r\nGalenalock-Run: no\r\nContent-Length: 0\r\n\r\n"
	cases := []struct {
		name    string
		targets func(ran func(*http.Request, string)) []netip.AddrPort
		run     refuse.Run
	}{
		{"refused connection", func(func(*http.Request, string)) []netip.AddrPort { return []netip.AddrPort{closedAddress(t)} }, refuse.NotRun},
		{"closed after the request", func(ran func(*http.Request, string)) []netip.AddrPort {
			return []netip.AddrPort{respond(t, "", ran)}
		}, refuse.Unknown},
		{"closed, then refused connection", func(ran func(*http.Request, string)) []netip.AddrPort {
			return []netip.AddrPort{respond(t, "", ran), closedAddress(t)}
		}, refuse.Unknown},
		{"refused connection, then shed", func(func(*http.Request, string)) []netip.AddrPort {
			return []netip.AddrPort{closedAddress(t), respond(t, shed, nil)}
		}, refuse.NotRun},
		{"malformed response", func(ran func(*http.Request, string)) []netip.AddrPort {
			return []netip.AddrPort{respond(t, "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", ran)}
		}, refuse.Unknown},
	}
	for _, c := range cases {
		for _, naive := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s naive=%t", c.name, naive), func(t *testing.T) {
				is := is.New(t)
				ran := make(chan struct{}, 8)
				rules := proxy.Rules{}
				if naive {
					rules.Unsent = func(error) bool { return true }
				}
				targets := c.targets(func(*http.Request, string) { ran <- struct{}{} })
				e := startEntry(t, false, proxy.Hooks{Retry: allowRetry}, rules, targets...)
				_, _, body, err := e.send(http.MethodGet, "/tables/x", nil)
				is.NoErr(err)
				falseNotRun := len(ran) > 0 && strings.Contains(body, `"run":"no"`)
				is.Equal(falseNotRun, naive && c.run == refuse.Unknown)
				if !naive {
					is.True(strings.Contains(body, `"run":"`+string(c.run)+`"`))
				}
			})
		}
	}
}

// Guards against callers that return to a service that sheds at a fixed time, whatever
// the entry knows of its room, and against a time of 0 if it knows nothing.
func TestRetryAfterShed(t *testing.T) {
	shed := "HTTP/1.1 503 Service Unavailable\r\nGalenalock-Run: no\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		known bool
		want  string
	}{{true, "3"}, {false, "1"}} {
		is := is.New(t)
		hooks := proxy.Hooks{RoomAfter: func(proxy.Request, time.Time) (time.Duration, bool) { return 2500 * time.Millisecond, c.known }}
		e := startEntry(t, false, hooks, proxy.Rules{}, respond(t, shed, nil))
		status, header, _, err := e.send(http.MethodGet, "/tables/x", nil)
		is.NoErr(err)
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(header.Get("Retry-After"), c.want)
	}
}
