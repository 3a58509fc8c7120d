package plain_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/bench/plain"
	"github.com/galenalock/galenalock/bench/stub"
)

// Guards against a proxy that does not retry, which would make the comparison
// unfair: a request on a silent connection must be answered after one retry.
func TestRetriesOnASilentConnection(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 2)
	var targets []netip.AddrPort
	var first *stub.Stub
	for range 2 {
		s, err := stub.New(stub.WithLatency(0, 0), stub.WithGrace(0))
		is.NoErr(err)
		go func() { done <- s.Run(ctx) }()
		targets = append(targets, s.Address())
		first = s
	}
	proxy := plain.New("/tables", targets, plain.WithTimeout(100*time.Millisecond))
	lookup := func() int {
		w := httptest.NewRecorder()
		proxy.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/tables/lookups", nil))
		return w.Code
	}
	for range 4 {
		is.Equal(lookup(), http.StatusOK)
	}
	is.Equal(proxy.Counts(), plain.Counts{})
	is.NoErr(first.SetFault(stub.Fault{Silent: true}))
	for range 4 {
		is.Equal(lookup(), http.StatusOK)
	}
	is.Equal(proxy.Counts(), plain.Counts{Retries: 1}) // new connections work
	cancel()
	proxy.Run(ctx) // closes the idle connections
	for range 2 {
		is.NoErr(<-done)
	}
}
