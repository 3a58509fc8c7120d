package proxy_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/entry/proxy"
)

// Guards against a request that is sent to another target after its caller has
// left. The first target holds a request until its caller has left, then declares
// that it did not run it. The naive variant sends it to the second target.
func TestCallerLeftDuringAttempt(t *testing.T) {
	for _, naive := range []bool{true, false} {
		is := is.New(t)
		arrived, left := make(chan struct{}), make(chan struct{})
		first := listen(t, func(c net.Conn, in *bufio.Reader) {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.ReadAll(r.Body)
			close(arrived)
			<-left
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nGalenalock-Run: no\r\nContent-Length: 0\r\n\r\n")
		})
		var further atomic.Int64
		second := respond(t, okResponse, func(*http.Request, string) { further.Add(1) })
		log := newHookLog()
		rules := proxy.Rules{RetryAfterShed: func(*spec.Kind) bool { return true }}
		gone := make(chan struct{})
		rules.CallerGone = func(ctx context.Context) bool {
			<-ctx.Done() // the server has detected that the caller left
			close(gone)
			return !naive
		}
		e := startEntry(t, false, log.attach(proxy.Hooks{}), rules, first, second)
		ctx, leave := context.WithTimeout(t.Context(), time.Minute)
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/tables/x", http.NoBody)
		is.NoErr(err)
		r.Host = "h"
		sent := make(chan error)
		go func() {
			response, err := e.client.Do(r)
			if err == nil {
				response.Body.Close()
			}
			sent <- err
		}()
		<-arrived
		leave()
		is.True(<-sent != nil)
		close(left)
		<-gone
		is.Equal(<-log.classes, proxy.Refused)
		if naive {
			is.Equal(<-log.classes, proxy.Answered)
		}
		is.Equal(further.Load() > 0, naive)
	}
}
