package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/drain"
	"github.com/galenalock/galenalock/core/pool"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/proxy"
)

const fine = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func after(d time.Duration) func(*spec.Service, *spec.Kind) (time.Duration, bool) {
	return func(*spec.Service, *spec.Kind) (time.Duration, bool) { return d, true }
}

func never(*spec.Service, *spec.Kind) (time.Duration, bool) { return 0, false }

// journal collects what the hooks report.
type journal struct {
	mu      sync.Mutex
	retries []proxy.Reason
	classes chan proxy.Class
}

func newJournal() *journal { return &journal{classes: make(chan proxy.Class, 64)} }

func (j *journal) fill(h proxy.Hooks) proxy.Hooks {
	h.Retried = func(r proxy.Reason) {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.retries = append(j.retries, r)
	}
	h.End = func(_ proxy.Attempt, o proxy.Outcome) { j.classes <- o.Class }
	if h.Retry == nil {
		h.Retry = always
	}
	return h
}

// Guards against attempts that a request must not have, that go to a target
// that was tried, that the budget does not cover, or that are not counted by
// their reason. The naive variant repeats what must not be repeated.
func TestRetries(t *testing.T) {
	shed := "HTTP/1.1 503 Busy\r\nGalenalock-Run: no\r\nContent-Length: 0\r\n\r\n"
	full := strings.Replace(shed, "Content", "Galenalock-Shed: service\r\nContent", 1)
	naive := proxy.Rules{Once: func(*spec.Kind) bool { return false }}
	cases := []struct {
		name, method, first, body string
		rules                     proxy.Rules
		status                    int
		arrivals                  int64 // at both targets
		retries                   string
	}{
		{"lookup, target fails", "GET", "", "", proxy.Rules{}, 200, 2, "[failed]"},
		{"change of state by PUT, body resent", "PUT", "", "data", proxy.Rules{}, 200, 2, "[failed]"},
		{"order, target fails", "POST", "", "data", proxy.Rules{}, 502, 1, "[]"},
		{"order, target fails, naive", "POST", "", "data", naive, 200, 2, "[failed]"},
		{"lookup, target refuses connections", "GET", "refuse", "", proxy.Rules{}, 200, 1, "[connect]"},
		{"order, target refuses connections", "POST", "refuse", "data", proxy.Rules{}, 200, 1, "[connect]"},
		{"lookup, target sheds", "GET", shed, "", proxy.Rules{}, 200, 2, "[shed]"},
		{"lookup, service is full", "GET", full, "", proxy.Rules{}, 503, 1, "[]"},
		{"order, target sheds", "POST", shed, "data", proxy.Rules{}, 503, 1, "[]"},
	}
	for _, c := range cases {
		for _, budget := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s budget=%t", c.name, budget), func(t *testing.T) {
				is := is.New(t)
				var arrivals atomic.Int64
				seen := func(_ *http.Request, body string) {
					is.Equal(body, c.body)
					arrivals.Add(1)
				}
				first := refusing(t)
				if c.first != "refuse" {
					first = answers(t, c.first, seen)
				}
				j := newJournal()
				h := j.fill(proxy.Hooks{Retry: func(proxy.Request, proxy.Reason) bool { return budget }})
				e := start(t, false, h, c.rules, first, answers(t, fine, seen))
				status, _, _, err := e.send(c.method, "/tables/x", strings.NewReader(c.body))
				is.NoErr(err)
				j.mu.Lock()
				defer j.mu.Unlock()
				if budget {
					is.Equal(status, c.status)
					is.Equal(arrivals.Load(), c.arrivals)
					is.Equal(fmt.Sprint(j.retries), c.retries)
				} else {
					is.True(status >= 500 && arrivals.Load() <= 1 && len(j.retries) == 0)
				}
			})
		}
	}
}

// stuck is a target that reads requests, never answers and reports when its
// connection ends. The first answered requests of a connection get an answer.
func stuck(t *testing.T, answered int, gone chan<- struct{}) netip.AddrPort {
	return listen(t, func(c net.Conn, in *bufio.Reader) {
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(in); err != nil {
				gone <- struct{}{}
				return
			}
			if n < answered {
				_, _ = io.WriteString(c, fine)
			}
		}
	})
}

// Guards against a hedge that waits for the slow target, or whose loser keeps
// a slot of the target. The naive variant does not hedge.
func TestHedge(t *testing.T) {
	for _, naive := range []bool{true, false} {
		is := is.New(t)
		gone := make(chan struct{}, 8)
		j := newJournal()
		h := j.fill(proxy.Hooks{Patience: never, Hedge: after(time.Millisecond)})
		if naive {
			h.Hedge = never
		}
		e := start(t, false, h, proxy.Rules{}, stuck(t, 0, gone), answers(t, fine, nil))
		status, _, _, err := e.send(http.MethodGet, "/tables/x", nil, "Galenalock-Deadline", "100")
		is.NoErr(err)
		is.Equal(status == 200, !naive)
		<-gone // the losing attempt was cancelled
		classes := []proxy.Class{<-j.classes}
		if !naive {
			classes = append(classes, <-j.classes)
			is.True(classes[0] == proxy.Answered || classes[1] == proxy.Answered)
			is.True(classes[0] == proxy.Cancelled || classes[1] == proxy.Cancelled)
		}
	}
}

// Guards against "not run" when the deadline ends a hedge that did not connect
// while the first attempt was sent.
func TestDeadlineDuringHedge(t *testing.T) {
	is := is.New(t)
	first, second := stuck(t, 0, make(chan struct{}, 64)), refusing(t)
	connections := pool.New(pool.WithDial(func(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
		if target == second {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", target.String())
	}))
	e := startWith(t, false, proxy.Hooks{Retry: always, Hedge: after(time.Millisecond)}, proxy.Rules{}, connections, first, second)
	for range 20 {
		_, _, body, err := e.send(http.MethodGet, "/tables/x", nil, "Galenalock-Deadline", "10")
		is.NoErr(err)
		is.True(strings.Contains(body, `"reason":"deadline","run":"unknown"`))
	}
}

// Guards against requests that wait on connections that went silent while new
// connections work, and against taking the target for unhealthy because of it.
// The naive variant waits.
func TestSilentConnection(t *testing.T) {
	for _, naive := range []bool{true, false} {
		is := is.New(t)
		gone := make(chan struct{}, 8)
		target := stuck(t, 1, gone)
		j := newJournal()
		silent := make(chan int, 1)
		h := j.fill(proxy.Hooks{Patience: after(5 * time.Millisecond)})
		h.Silent = func(at proxy.Target, closed int) {
			is.Equal(at.Address, target)
			silent <- closed
		}
		if naive {
			h.Patience = never
		}
		e := start(t, false, h, proxy.Rules{}, target)
		status, _, _, err := e.send(http.MethodGet, "/tables/x", nil)
		is.NoErr(err)
		is.Equal(status, 200)
		is.Equal(<-j.classes, proxy.Answered)
		status, _, _, err = e.send(http.MethodGet, "/tables/x", nil, "Galenalock-Deadline", "200")
		is.NoErr(err)
		is.Equal(status == 200, !naive)
		if naive {
			is.Equal(<-j.classes, proxy.Overdue)
			continue
		}
		is.Equal(<-silent, 1)
		classes := fmt.Sprint(<-j.classes, " ", <-j.classes)
		is.True(classes == "silenced answered" || classes == "answered silenced")
		<-gone // the silent connection was closed
	}
}

// Guards against a graceful stop that cuts off a booking in flight, takes new
// requests or keeps connections open. The naive variant closes at once.
func TestDrain(t *testing.T) {
	for _, naive := range []bool{true, false} {
		is := is.New(t)
		arrived, finish := make(chan struct{}), make(chan struct{})
		target := listen(t, func(c net.Conn, in *bufio.Reader) {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			close(arrived)
			<-finish
			_, _ = io.WriteString(c, fine)
		})
		core := drain.New(drain.WithTimes(0, time.Minute))
		h := proxy.Hooks{Claim: claims(wire.ClaimGranted, nil), Enter: proxy.Tracked(core)}
		h.Close = newControl().close
		var view atomic.Pointer[proxy.View]
		h.View = view.Load
		e := start(t, false, h, proxy.Rules{}, target)
		view.Store(&e.view)
		result := make(chan error, 1)
		go func() {
			status, header, _, err := e.send(http.MethodPost, "/orders", strings.NewReader("x"), "Idempotency-Key", "k")
			if err == nil && (status != 200 || header.Get("Connection") != "close") {
				err = fmt.Errorf("status %d, Connection %q", status, header.Get("Connection"))
			}
			result <- err
		}()
		<-arrived
		draining := e.view
		draining.Draining = true
		view.Store(&draining)
		is.Equal(core.Stop(time.Now()), drain.Waiting)
		_, _, body, err := e.send(http.MethodGet, "/tables/x", nil)
		is.NoErr(err)
		is.True(strings.Contains(body, `"reason":"`+string(refuse.Draining)+`","run":"no"`))
		is.Equal(core.Inflight()[drain.Group{Service: "ledger", Kind: "order"}], 1)
		if naive {
			e.server.CloseClientConnections()
			is.True(<-result != nil)
		}
		close(finish)
		if !naive {
			is.NoErr(<-result)
		}
		<-core.Done()
		is.Equal(len(core.Cut()), 0)
		is.Equal(len(e.proxy.Settle(t.Context())), 0)
	}
}
