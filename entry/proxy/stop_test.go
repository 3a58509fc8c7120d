package proxy_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/entry/proxy"
)

// Guards against requests that are passed on, or wait for admission, so late in a
// shutdown that they are cut off. The naive variant does not know that it stops.
func TestRequestLateInShutdownIsRefused(t *testing.T) {
	for _, naive := range []bool{true, false} {
		is := is.New(t)
		var arrived atomic.Int64
		stopsIn := func(time.Time) (time.Duration, bool) { return 500 * time.Millisecond, !naive }
		e := startEntry(t, false, proxy.Hooks{StopsIn: stopsIn}, proxy.Rules{}, respond(t, okResponse, func(*http.Request, string) { arrived.Add(1) }))
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			status, _, body, err := e.send(method, "/tables/x", strings.NewReader("1"))
			is.NoErr(err)
			is.Equal(status == http.StatusOK, naive)
			is.True(naive || strings.Contains(body, `"reason":"draining","run":"no"`))
		}
		is.Equal(arrived.Load() > 0, naive)

		queue := proxy.Hooks{StopsIn: stopsIn, Admit: func(ctx context.Context, _ proxy.Request) (proxy.Admission, error) {
			if naive {
				return proxy.Admission{}, nil
			}
			<-ctx.Done()
			return proxy.Admission{}, ctx.Err()
		}}
		waiting := startEntry(t, false, queue, proxy.Rules{}, respond(t, okResponse, nil))
		status, _, _, err := waiting.send(http.MethodPost, "/tables/x", strings.NewReader("1"))
		is.NoErr(err)
		is.Equal(status == http.StatusServiceUnavailable, !naive)
	}
}

// Guards against a further attempt that begins late in a shutdown: the first target
// sheds the request.
func TestNoFurtherAttemptLateInShutdown(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int64
	var left atomic.Int64
	left.Store(int64(5 * time.Second))
	shed := respond(t, "HTTP/1.1 503 Busy\r\nGalenalock-Run: no\r\nContent-Length: 0\r\n\r\n", func(*http.Request, string) { left.Store(int64(100 * time.Millisecond)) })
	hooks := proxy.Hooks{Retry: allowRetry, StopsIn: func(time.Time) (time.Duration, bool) { return time.Duration(left.Load()), true }}
	e := startEntry(t, false, hooks, proxy.Rules{RetryAfterShed: func(*spec.Kind) bool { return true }},
		shed, respond(t, okResponse, func(*http.Request, string) { arrived.Add(1) }))
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		left.Store(int64(5 * time.Second))
		status, _, body, err := e.send(method, "/tables/x", strings.NewReader("1"))
		is.NoErr(err)
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(strings.Contains(body, `"run":"no"`))
	}
	is.Equal(arrived.Load(), int64(0))
}
