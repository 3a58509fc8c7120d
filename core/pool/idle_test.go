package pool_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/pool"
)

// Guards against a choice of targets that relies on a connection which the request may
// not use, and against connect times of requests that opened no connection.
func TestHasIdleAndConnectTime(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	defer server.Close()
	target := netip.MustParseAddrPort(server.Listener.Addr().String())
	now := time.Unix(1_800_000_000, 0)
	p := pool.New(
		pool.WithClock(func() time.Time { return now }), pool.WithIdleTimeouts(8*time.Second, 5*time.Second),
		pool.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
			now = now.Add(7 * time.Millisecond)
			return net.Dial("tcp", target.String())
		}))
	defer p.Close()
	is.True(!p.HasIdle(target, false))
	for _, connect := range []time.Duration{7 * time.Millisecond, 0} {
		response, err := p.Do(t.Context(), &pool.Request{Target: target, Method: http.MethodGet, URI: "/", Host: "h"})
		is.NoErr(err)
		is.Equal(response.ConnectTime, connect)
		response.Body.Close()
	}
	is.True(p.HasIdle(target, true))
	now = now.Add(6 * time.Second)
	is.True(p.HasIdle(target, false))
	is.True(!p.HasIdle(target, true))
	now = now.Add(3 * time.Second)
	is.True(!p.HasIdle(target, false))
}
