package proxy_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/entry/proxy"
)

// Guards against a request that is handled by a configuration of which the entry knows
// that it is out of date, or whose refusal does not say that it has not run.
func TestStaleEntryRefuses(t *testing.T) {
	is := is.New(t)
	stale := false
	ran := 0
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran++ }))
	t.Cleanup(target.Close)
	address := netip.MustParseAddrPort(target.Listener.Addr().String())
	e := startEntry(t, false, proxy.Hooks{Stale: func() bool { return stale }}, proxy.Rules{}, address)
	status, _, _, err := e.send(http.MethodGet, "/tables/x", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	stale = true
	status, header, body, err := e.send(http.MethodGet, "/tables/x", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
	is.True(strings.Contains(body, `"stale"`) && strings.Contains(body, `"run":"no"`))
	is.Equal(ran, 1)
}
