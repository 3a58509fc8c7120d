package serve_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/budget"
	"github.com/galenalock/galenalock/core/serve"
)

// rawConn is a connection of a caller.
type rawConn struct {
	net.Conn
	in *bufio.Reader
}

func dialRaw(t *testing.T, addr string) *rawConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &rawConn{c, bufio.NewReader(c)}
}

// exchange sends bytes and returns the status of the answer, 0 if the connection was
// closed.
func (c *rawConn) exchange(request string) int {
	_, _ = io.WriteString(c, request)
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

const (
	get   = "GET /idle HTTP/1.1\r\nHost: h\r\n\r\n"
	block = "GET /block HTTP/1.1\r\nHost: h\r\n\r\n"
)

// Guards against idle connections that keep out all other callers, against a busy one
// that is closed for a new one, and against one that is closed while there is room.
func TestOldestIdleConnectionIsClosedAtTheLimit(t *testing.T) {
	is := is.New(t)
	entered, proceed := make(chan struct{}), make(chan struct{})
	closed := make(chan string, 8)
	limits := serve.DefaultLimits()
	limits.MaxConnections = 3
	idle := make(chan struct{}, 8)
	_, addr, _ := start(t, serve.WithLimits(limits), serve.WithCloseHook(func(reason string) { closed <- reason }), serve.WithConnState(func(_ net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			idle <- struct{}{}
		}
	}), serve.WithHandler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/block" {
			entered <- struct{}{}
			<-proceed
		}
	})))
	busy, old, young := dialRaw(t, addr), dialRaw(t, addr), dialRaw(t, addr)
	status := make(chan int, 1)
	go func() { status <- busy.exchange(block) }()
	<-entered
	is.Equal(old.exchange(get), 200)
	<-idle // the response arrives before the connection counts as idle
	is.Equal(young.exchange(get), 200)
	<-idle
	is.Equal(len(closed), 0)
	is.Equal(dialRaw(t, addr).exchange(get), 200)
	is.Equal(<-closed, serve.ClosedForConnections)
	is.Equal(old.exchange(get), 0)
	is.Equal(young.exchange(get), 200)
	close(proceed)
	is.Equal(<-status, 200)
}

// Guards against bodies that stop and keep out all other callers, and against one that
// goes on, or a request without one, that is closed for a new caller.
func TestStoppedBodyIsClosedAtTheLimit(t *testing.T) {
	is := is.New(t)
	entered, proceed := make(chan struct{}), make(chan struct{})
	read := make(chan struct{}, 64)
	limits := serve.DefaultLimits()
	limits.MaxConnections = 3
	_, addr, _ := start(t, serve.WithLimits(limits), serve.WithHandler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/block" {
			entered <- struct{}{}
			<-proceed
			return
		}
		for b := make([]byte, 1); ; read <- struct{}{} {
			if _, err := r.Body.Read(b); err != nil {
				return
			}
		}
	})))
	busy, slow, stopped := dialRaw(t, addr), dialRaw(t, addr), dialRaw(t, addr)
	status := make(chan int, 1)
	go func() { status <- busy.exchange(block) }()
	<-entered
	for _, c := range []*rawConn{stopped, slow} {
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 64\r\n\r\nx")
		is.NoErr(err)
		<-read
	}
	newcomer := make(chan int, 1)
	go func() { newcomer <- dialRaw(t, addr).exchange(get) }()
	sent := 1
	for served := false; !served; sent++ {
		select {
		case s := <-newcomer:
			is.Equal(s, 200)
			served = true
		case <-time.After(100 * time.Millisecond):
			_, err := io.WriteString(slow, "x")
			is.NoErr(err)
			<-read
		}
	}
	is.Equal(stopped.exchange("x"), 0)
	is.Equal(slow.exchange(strings.Repeat("x", 64-sent+1)), 200)
	close(proceed)
	is.Equal(<-status, 200)
}

// Guards against a body that stops and holds its request, and against a slow one that is
// taken for such a body.
func TestStalledBodyIsClosed(t *testing.T) {
	is := is.New(t)
	closed := make(chan string, 1)
	limits := serve.DefaultLimits()
	limits.StallTimeout = 300 * time.Millisecond
	read := make(chan struct{}, 8)
	_, addr, _ := start(t, serve.WithLimits(limits), serve.WithCloseHook(func(reason string) { closed <- reason }), serve.WithHandler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		for b := make([]byte, 1); ; {
			if _, err := r.Body.Read(b); err != nil {
				return
			}
			read <- struct{}{}
		}
	})))
	c := dialRaw(t, addr)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n")
	is.NoErr(err)
	for range 8 { // takes longer than the limit in sum
		<-time.After(limits.StallTimeout / 6)
		_, err := io.WriteString(c, "x")
		is.NoErr(err)
		<-read
	}
	is.Equal(len(closed), 0)
	is.Equal(<-closed, serve.ClosedForStall)
	is.Equal(c.exchange("x"), 0)
}

// Guards against header lines that are not counted: in an unfinished head, in one that
// arrived together with the request before it, and in HTTP/2, and against ordinary callers
// that are closed instead of those that hold most.
func TestLinesOfUnfinishedHeadsAreCounted(t *testing.T) {
	lines := strings.Repeat("a:\r\n", 700)
	for name, parts := range map[string][]string{
		"one head":         {"GET /idle HTTP/1.1\r\nHost: h\r\n", lines, lines, lines},
		"after a request":  {get + "GET /idle HTTP/1.1\r\nHost: h\r\n" + lines},
		"with another one": {get + get + "GET /idle HTTP/1.1\r\nHost: h\r\n" + lines},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := budget.New(2 << 20)
			closed := make(chan string, 64)
			_, addr, _ := start(t, serve.WithBudget(b), serve.WithCloseHook(func(reason string) { closed <- reason }), serve.WithHandler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
			ordinary := dialRaw(t, addr)
			is.Equal(ordinary.exchange(get), 200)
			for range 40 {
				c := dialRaw(t, addr)
				for _, part := range parts {
					_, _ = io.WriteString(c, part)
				}
			}
			is.Equal(<-closed, serve.ClosedForMemory)
			is.Equal(ordinary.exchange(get), 200)
			is.True(b.Used() <= b.Limit())
		})
	}
}

// Guards against a body that a handler buffers without counting it, and against bytes
// that stay counted after their request.
func TestBufferedBodiesAreCounted(t *testing.T) {
	is := is.New(t)
	b := budget.New(1 << 20)
	held := make(chan int64, 1)
	_, addr, _ := start(t, serve.WithBudget(b), serve.WithBufferedBodies(), serve.WithHandler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		held <- b.Used()
	})))
	c := dialRaw(t, addr)
	is.Equal(c.exchange(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n%s", strings.Repeat("x", 50000))), 200)
	is.True(<-held > 400_000)
	is.Equal(c.exchange("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"), 200)
	is.True(<-held < 40_000)
	is.Equal(c.exchange(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n%s", strings.Repeat("x", 500000))), 0)
	<-held
}

// Guards against an ordinary caller who gets no memory, or waits for connections that end
// late, while bodies that stand still hold all of it.
func TestStandingBodiesMakeRoomForOthers(t *testing.T) {
	is := is.New(t)
	const held = 64 << 10
	b := budget.New(1 << 20)
	closed := make(chan string, 256)
	_, addr, _ := start(t, serve.WithBudget(b), serve.WithCloseHook(func(reason string) { closed <- reason }), serve.WithHandler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet || !budget.FromContext(r.Context()).Add(held) {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})))
	for range 100 {
		_, err := io.WriteString(dialRaw(t, addr), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 64\r\n\r\n")
		is.NoErr(err)
	}
	for range 10 {
		is.Equal(dialRaw(t, addr).exchange(get), 200)
	}
	is.Equal(<-closed, serve.ClosedForMemory)
	is.True(b.Used() <= b.Limit())
}
