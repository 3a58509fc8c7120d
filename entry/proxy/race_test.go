package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
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

// okResponse is a complete response with the body "ok".
const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func fixedDelay(d time.Duration) func(*spec.Service, *spec.Kind) (time.Duration, bool) {
	return func(*spec.Service, *spec.Kind) (time.Duration, bool) { return d, true }
}

func noDelay(*spec.Service, *spec.Kind) (time.Duration, bool) { return 0, false }

// hookLog records the retries and outcomes that the hooks report.
type hookLog struct {
	mu      sync.Mutex
	retries []proxy.Reason
	classes chan proxy.Class
}

func newHookLog() *hookLog { return &hookLog{classes: make(chan proxy.Class, 64)} }

// attach sets the Retried and End hooks, and a Retry hook that allows everything
// if there is none.
func (l *hookLog) attach(h proxy.Hooks) proxy.Hooks {
	h.Retried = func(r proxy.Reason) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.retries = append(l.retries, r)
	}
	h.End = func(_ proxy.Attempt, o proxy.Outcome) { l.classes <- o.Class }
	if h.Retry == nil {
		h.Retry = allowRetry
	}
	return h
}

// Guards against further attempts that the kind does not allow, that go to a
// target that was tried before, that exceed the budget or that are not counted
// by reason. The naive variant repeats requests that must not be repeated.
func TestRetries(t *testing.T) {
	shed := "HTTP/1.1 503 Busy\r\nGalenalock-Run: no\r\nContent-Length: 0\r\n\r\n"
	full := strings.Replace(shed, "Content", "Galenalock-Shed: service\r\nContent", 1)
	naive := proxy.Rules{AtMostOnce: func(*spec.Kind) bool { return false }}
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
				first := closedAddress(t)
				if c.first != "refuse" {
					first = respond(t, c.first, seen)
				}
				log := newHookLog()
				h := log.attach(proxy.Hooks{Retry: func(proxy.Request, proxy.Reason) bool { return budget }})
				e := startEntry(t, false, h, c.rules, first, respond(t, okResponse, seen))
				status, _, _, err := e.send(c.method, "/tables/x", strings.NewReader(c.body))
				is.NoErr(err)
				log.mu.Lock()
				defer log.mu.Unlock()
				if budget {
					is.Equal(status, c.status)
					is.Equal(arrivals.Load(), c.arrivals)
					is.Equal(fmt.Sprint(log.retries), c.retries)
				} else {
					is.True(status >= 500 && arrivals.Load() <= 1 && len(log.retries) == 0)
				}
			})
		}
	}
}

// unresponsive starts a target that answers the given number of requests on each
// connection, then only reads, and reports the end of each connection.
func unresponsive(t *testing.T, answered int, gone chan<- struct{}) netip.AddrPort {
	return listen(t, func(c net.Conn, in *bufio.Reader) {
		for n := 0; ; n++ {
			if _, err := http.ReadRequest(in); err != nil {
				gone <- struct{}{}
				return
			}
			if n < answered {
				_, _ = io.WriteString(c, okResponse)
			}
		}
	})
}

// Guards against a hedged request that waits for the slow target, or whose losing
// attempt is not cancelled and occupies a slot. The naive variant does not hedge.
func TestHedge(t *testing.T) {
	for _, naive := range []bool{true, false} {
		is := is.New(t)
		gone := make(chan struct{}, 8)
		log := newHookLog()
		h := log.attach(proxy.Hooks{ProbeDelay: noDelay, HedgeDelay: fixedDelay(time.Millisecond)})
		if naive {
			h.HedgeDelay = noDelay
		}
		e := startEntry(t, false, h, proxy.Rules{}, unresponsive(t, 0, gone), respond(t, okResponse, nil))
		status, _, _, err := e.send(http.MethodGet, "/tables/x", nil, "Galenalock-Deadline", "100")
		is.NoErr(err)
		is.Equal(status == 200, !naive)
		<-gone // the losing attempt was cancelled
		classes := []proxy.Class{<-log.classes}
		if !naive {
			classes = append(classes, <-log.classes)
			is.True(classes[0] == proxy.Answered || classes[1] == proxy.Answered)
			is.True(classes[0] == proxy.Cancelled || classes[1] == proxy.Cancelled)
		}
	}
}

// Guards against run "no" when the deadline passes while a hedge is connecting
// and the first attempt was already sent.
func TestDeadlineDuringHedge(t *testing.T) {
	is := is.New(t)
	first, second := unresponsive(t, 0, make(chan struct{}, 64)), closedAddress(t)
	connections := pool.New(pool.WithDial(func(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
		if target == second {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", target.String())
	}))
	e := startEntryWithPool(t, false, proxy.Hooks{Retry: allowRetry, HedgeDelay: fixedDelay(time.Millisecond)}, proxy.Rules{}, connections, first, second)
	for range 20 {
		_, _, body, err := e.send(http.MethodGet, "/tables/x", nil, "Galenalock-Deadline", "10")
		is.NoErr(err)
		is.True(strings.Contains(body, `"reason":"deadline","run":"unknown"`))
	}
}

// Guards against requests that wait on a connection that became unresponsive
// while new connections work, and against an outcome that counts as a failure of
// the target. The naive variant waits.
func TestSilentConnection(t *testing.T) {
	for _, naive := range []bool{true, false} {
		is := is.New(t)
		gone := make(chan struct{}, 8)
		target := unresponsive(t, 1, gone)
		log := newHookLog()
		silent := make(chan int, 1)
		h := log.attach(proxy.Hooks{ProbeDelay: fixedDelay(5 * time.Millisecond)})
		h.Silent = func(at proxy.Target, closed int) {
			is.Equal(at.Address, target)
			silent <- closed
		}
		if naive {
			h.ProbeDelay = noDelay
		}
		e := startEntry(t, false, h, proxy.Rules{}, target)
		status, _, _, err := e.send(http.MethodGet, "/tables/x", nil)
		is.NoErr(err)
		is.Equal(status, 200)
		is.Equal(<-log.classes, proxy.Answered)
		status, _, _, err = e.send(http.MethodGet, "/tables/x", nil, "Galenalock-Deadline", "200")
		is.NoErr(err)
		is.Equal(status == 200, !naive)
		if naive {
			is.Equal(<-log.classes, proxy.Overdue)
			continue
		}
		is.Equal(<-silent, 1)
		classes := fmt.Sprint(<-log.classes, " ", <-log.classes)
		is.True(classes == "silenced answered" || classes == "answered silenced")
		<-gone // the silent connection was closed
	}
}

// Guards against a graceful stop that aborts an order in flight, accepts new
// requests or keeps connections open. The naive variant closes the connections
// immediately.
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
			_, _ = io.WriteString(c, okResponse)
		})
		core := drain.New(drain.WithTimeouts(0, time.Minute))
		h := proxy.Hooks{Claim: claimResult(wire.ClaimGranted, nil), Enter: proxy.TrackInflight(core)}
		h.Close = newFakeControl().close
		var view atomic.Pointer[proxy.View]
		h.View = view.Load
		e := startEntry(t, false, h, proxy.Rules{}, target)
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
		is.Equal(core.Inflight()[drain.ServiceKind{Service: "ledger", Kind: "order"}], 1)
		if naive {
			e.server.CloseClientConnections()
			is.True(<-result != nil)
		}
		close(finish)
		if !naive {
			is.NoErr(<-result)
		}
		<-core.Done()
		is.Equal(len(core.Interrupted()), 0)
		is.Equal(len(e.proxy.Settle(t.Context())), 0)
	}
}

// Guards against a panic in the attempt of one request that ends the process and
// so breaks off all others.
func TestPanicOfAnAttemptFailsOnlyThatAttempt(t *testing.T) {
	is := is.New(t)
	first, second := respond(t, okResponse, nil), respond(t, okResponse, nil)
	log := newHookLog()
	e := startEntry(t, false, log.attach(proxy.Hooks{
		HedgeDelay: noDelay,
		Begin: func(a proxy.Attempt) {
			if a.Target.Address == first {
				panic("fault in a hook")
			}
		},
	}), proxy.Rules{}, first, second)
	status, _, body, err := e.send(http.MethodGet, "/tables/1", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "ok")
	is.Equal(<-log.classes, proxy.Failed)
	is.Equal(<-log.classes, proxy.Answered)
}

// Guards against a request that runs on more targets than its kind allows: the
// first target is silent and refuses the new connection of the probe, while the
// hedge is pending at the second one.
func TestFailedProbeStartsNoFurtherAttempt(t *testing.T) {
	is := is.New(t)
	text, err := spec.Parse([]byte(`
[[service]]
name = "tables"
floor = "50%"
[[route]]
prefix = "/look"
service = "tables"
kind = { repeat = true, timeout = "2s", attempts = 2, hedge = true }
`))
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		l.Close() // further connections are refused
		in := bufio.NewReader(c)
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(c, okResponse)
		}
		_, _ = io.Copy(io.Discard, in) // the second request gets no response
	}()
	var second, third atomic.Int64
	silent := func(arrivals *atomic.Int64) netip.AddrPort {
		return listen(t, func(_ net.Conn, in *bufio.Reader) {
			if _, err := http.ReadRequest(in); err == nil {
				arrivals.Add(1)
			}
			_, _ = io.Copy(io.Discard, in)
		})
	}
	log := newHookLog()
	hooks := log.attach(proxy.Hooks{
		View:       func() *proxy.View { return &proxy.View{Text: text, Revision: 1, Ready: true} },
		HedgeDelay: fixedDelay(20 * time.Millisecond), ProbeDelay: fixedDelay(40 * time.Millisecond),
	})
	e := startEntry(t, false, hooks, proxy.Rules{}, netip.MustParseAddrPort(l.Addr().String()), silent(&second), silent(&third))
	status, _, _, err := e.send(http.MethodGet, "/look", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	status, _, _, err = e.send(http.MethodGet, "/look", nil, "Galenalock-Deadline", "400")
	is.NoErr(err)
	is.Equal(status, http.StatusGatewayTimeout)
	is.Equal(second.Load(), int64(1))
	is.Equal(third.Load(), int64(0))
	is.True(slices.Contains(log.retries, proxy.RetrySilent)) // the probe was made
}
