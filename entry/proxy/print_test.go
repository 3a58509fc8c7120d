package proxy_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/poison"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/proxy"
)

const printedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against different requests with the same print, of which one would be
// refused because of the other, and against prints that change with what differs
// between attempts of a caller.
func TestPrintIdentifiesRequest(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var last poison.Print
	e := startEntry(t, false, proxy.Hooks{Quarantined: func(r proxy.Request, _ time.Time) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		last = r.Print()
		return 0, false
	}}, proxy.Rules{}, respond(t, printedResponse, nil))
	print := func(method, path, body string, header ...string) poison.Print {
		status, _, _, err := e.send(method, path, strings.NewReader(body), header...)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		mu.Lock()
		defer mu.Unlock()
		return last
	}
	base := print("GET", "/tables/x?day=1", "")
	is.Equal(base, print("GET", "/tables/x?day=1", "", "Date", "Fri, 04 Dec 2026 18:00:00 GMT", "X-Trace", "other"))
	seen := map[poison.Print]bool{base: true}
	for _, other := range []poison.Print{
		print("GET", "/tables/x?day=2", ""),
		print("GET", "/tables/y?day=1", ""),
		print("GET", "/tables/x?day=1", "", "Authorization", "Bearer a"),
		print("GET", "/tables/x?day=1", "", "Authorization", "Bearer b"),
		print("GET", "/tables/x?day=1", "", "Cookie", "Bearer a"),
		print("GET", "/tables/x?day=1", "body"),
		print("GET", "/tables/x?day=1", "bodz"),
	} {
		is.True(!seen[other])
		seen[other] = true
	}
}

// Guards against retries of a request that has just been quarantined.
func TestQuarantinedRequestIsNotRetried(t *testing.T) {
	is := is.New(t)
	for _, held := range []bool{false, true} {
		var mu sync.Mutex
		asked := 0
		hooks := proxy.Hooks{Retry: allowRetry, ProbeDelay: noDelay, Quarantined: func(proxy.Request, time.Time) (time.Duration, bool) {
			mu.Lock()
			defer mu.Unlock()
			asked++
			return time.Minute, held && asked > 1 // the first attempt was the third crash
		}}
		second := 0
		broken := respond(t, "", nil)
		e := startEntry(t, false, hooks, proxy.Rules{}, broken, respond(t, printedResponse, func(*http.Request, string) {
			mu.Lock()
			defer mu.Unlock()
			second++
		}))
		_, _, _, _ = e.send("GET", "/tables/x", nil) // fails if held
		mu.Lock()
		is.Equal(second > 0, !held)
		mu.Unlock()
	}
}

// Guards against a repeat on a new connection that exceeds the limit of a target.
func TestNoRepeatAboveLimit(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		is := is.New(t)
		target := unresponsive(t, 1, make(chan struct{}, 8))
		hooks := proxy.Hooks{
			Retry: allowRetry, ProbeDelay: fixedDelay(5 * time.Millisecond), HedgeDelay: noDelay,
			MayResend: func(proxy.Target, time.Time) bool { return allowed },
		}
		e := startEntry(t, false, hooks, proxy.Rules{}, target)
		status, _, _, err := e.send("GET", "/tables/x", nil)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		status, _, _, err = e.send("GET", "/tables/x", nil, "Galenalock-Deadline", "200")
		is.NoErr(err)
		is.Equal(status == http.StatusOK, allowed)
	}
}

// Guards against an order that is refused as not run because its request is
// quarantined, although an earlier attempt with its key has run.
func TestQuarantineDoesNotHideEarlierRun(t *testing.T) {
	for _, c := range []struct {
		state  wire.ClaimState
		status string
		reason string
	}{
		{wire.ClaimDone, "200 OK", ""},
		{wire.ClaimUnknown, "409 Conflict", `"lost"`},
		{wire.ClaimGranted, "503 Service Unavailable", `"quarantined"`},
	} {
		is := is.New(t)
		closed := make(chan wire.Close, 1)
		e := startEntry(t, false, proxy.Hooks{
			Claim: claimResult(c.state, &wire.Answer{Status: http.StatusOK, Stored: true}),
			Close: func(_ context.Context, c wire.Close) (wire.Claimed, error) {
				closed <- c
				return wire.Claimed{}, nil
			},
			Quarantined: func(proxy.Request, time.Time) (time.Duration, bool) { return time.Minute, true },
		}, proxy.Rules{}, respond(t, printedResponse, func(*http.Request, string) { t.Error("the request reached a target") }))
		response := e.sendRaw(t, orderRequest)
		is.True(strings.HasPrefix(response, "HTTP/1.1 "+c.status))
		is.True(strings.Contains(response, c.reason))
		if c.state == wire.ClaimGranted {
			is.Equal((<-closed).Outcome, wire.OutcomeReleased)
		}
	}
}
