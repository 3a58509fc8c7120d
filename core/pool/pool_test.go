package pool_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/galenalock/galenalock/core/pool"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// listen starts a server that handles each connection with f and returns its
// address.
func listen(t *testing.T, f func(c net.Conn, in *bufio.Reader)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// closeOnSecondRequest starts a server that answers the first request on each
// connection and closes the connection after it has read the second one.
func closeOnSecondRequest(t *testing.T, arrivals *atomic.Int64) netip.AddrPort {
	return listen(t, func(c net.Conn, in *bufio.Reader) {
		for n := range 2 {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/counted" {
				arrivals.Add(1)
			}
			if n == 0 {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	})
}

// Guards against a request that is resent automatically when a reused connection
// fails. http.Transport, the naive variant, resends some of these requests.
func TestNoSilentReplay(t *testing.T) {
	cases := []struct {
		name, method, key, body string
		naive                   int64 // requests that arrive from http.Transport
	}{
		{"GET", http.MethodGet, "", "", 2},
		{"GET with key", http.MethodGet, "k", "", 2},
		{"POST", http.MethodPost, "", "", 1},
		{"POST with key", http.MethodPost, "k", "", 2},
		{"POST with body", http.MethodPost, "", "b", 1},
		{"POST with body and key", http.MethodPost, "k", "b", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var arrivals atomic.Int64
			target := closeOnSecondRequest(t, &arrivals)
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for _, path := range []string{"/", "/counted"} {
				r, err := http.NewRequest(c.method, "http://"+target.String()+path, bytes.NewReader([]byte(c.body)))
				is.NoErr(err)
				if c.key != "" {
					r.Header.Set("Idempotency-Key", c.key)
				}
				if response, err := transport.RoundTrip(r); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
			}
			is.Equal(arrivals.Swap(0), c.naive)

			client := pool.New()
			defer client.Close()
			for _, path := range []string{"/", "/counted"} {
				header := http.Header{}
				if c.key != "" {
					header.Set("Idempotency-Key", c.key)
				}
				response, err := client.Do(context.Background(), &pool.Request{
					Target: target, Method: c.method, URI: path, Host: "x", Header: header, BufferedBody: []byte(c.body),
				})
				is.Equal(err != nil, path == "/counted")
				if err == nil {
					is.NoErr(drain(response))
				} else {
					is.True(!pool.Unsent(err))
				}
			}
			is.Equal(arrivals.Load(), int64(1))
		})
	}
}

func drain(r *pool.Response) error {
	_, err := io.Copy(io.Discard, r.Body)
	r.Body.Close()
	return err
}

// Guards against a response to no request, or to an abandoned one, that is read as
// the response to the next request on the connection. The naive variant disables
// the idle check.
func TestUnsolicitedResponse(t *testing.T) {
	for _, naive := range []bool{true, false} {
		is := is.New(t)
		extra, sent := make(chan struct{}), make(chan struct{})
		target := listen(t, func(c net.Conn, in *bufio.Reader) {
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"+r.URL.Path)
				if r.URL.Path == "/1" {
					<-extra
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
					sent <- struct{}{}
				}
			}
		})
		var opts []pool.Option
		if naive {
			opts = append(opts, pool.WithIdleCheck(func(net.Conn) bool { return true }))
		}
		p := pool.New(opts...)
		get := func(uri string) string {
			response, err := p.Do(context.Background(), &pool.Request{Target: target, Method: http.MethodGet, URI: uri, Host: "x"})
			is.NoErr(err)
			data, err := io.ReadAll(response.Body)
			is.NoErr(err)
			return string(data)
		}
		is.Equal(get("/1"), "/1")
		extra <- struct{}{}
		<-sent
		is.Equal(get("/2") == "no", naive)
		p.Close()
	}
}

// Guards against a NonRepeatable request on a connection that has not received a
// response recently.
func TestNonRepeatableUsesRecentConnection(t *testing.T) {
	is := is.New(t)
	var opened atomic.Int64
	target := listen(t, func(c net.Conn, in *bufio.Reader) {
		opened.Add(1)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	})
	now := time.Unix(0, 0)
	p := pool.New(pool.WithClock(func() time.Time { return now }))
	defer p.Close()
	send := func(nonRepeatable bool) bool {
		response, err := p.Do(context.Background(), &pool.Request{Target: target, Method: http.MethodGet, URI: "/", Host: "x", NonRepeatable: nonRepeatable})
		is.NoErr(err)
		is.NoErr(drain(response))
		return response.Reused
	}
	is.True(!send(false))
	now = now.Add(3 * time.Second)
	is.True(send(false))
	now = now.Add(3 * time.Second)
	is.True(!send(true))
	now = now.Add(time.Second)
	is.True(send(true))
	now = now.Add(time.Hour)
	is.True(!send(false))
	is.Equal(opened.Load(), int64(3))
}

// Guards against request smuggling through a header value that holds a line break.
func TestMalformedRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	p := pool.New()
	target := listen(t, func(_ net.Conn, in *bufio.Reader) { _, _ = in.ReadByte() })
	_, err := p.Do(context.Background(), &pool.Request{
		Target: target, Method: "GET", URI: "/", Host: "x", Header: http.Header{"A": {"b\r\nC: d"}},
	})
	is.True(pool.Unsent(err))
}

// Guards against reuse of old connections to a target after one of them stopped
// responding, and against more idle connections than WithMaxIdle allows.
func TestDrop(t *testing.T) {
	is := is.New(t)
	target := listen(t, func(c net.Conn, in *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	now := time.Unix(0, 0)
	p := pool.New(pool.WithClock(func() time.Time { return now }), pool.WithMaxIdle(3))
	defer p.Close()
	var open []*pool.Response
	for range 4 {
		response, err := p.Do(context.Background(), &pool.Request{Target: target, Method: http.MethodGet, URI: "/", Host: "x"})
		is.NoErr(err)
		open = append(open, response)
		now = now.Add(time.Second)
	}
	for _, response := range open {
		is.NoErr(drain(response))
	}
	is.Equal(p.IdleCount(target), 3)
	is.Equal(p.CloseIdleBefore(target, time.Unix(2, 0)), 2)
	is.Equal(p.IdleCount(target), 1)
}

// Guards against a failed write that is reported as unsent although a byte was
// sent.
func TestUnsentWrites(t *testing.T) {
	for _, read := range []int{0, 1} {
		is := is.New(t)
		p := pool.New(pool.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				_, _ = far.Read(make([]byte, read))
				far.Close()
			}()
			return near, nil
		}))
		_, err := p.Do(context.Background(), &pool.Request{Method: http.MethodPost, URI: "/", Host: "x", NonRepeatable: true})
		is.True(err != nil)
		is.Equal(pool.Unsent(err), read == 0)
	}
}

// Guards against an upload that is complete for the target although reading its
// last bytes failed.
func TestSizedBodyThatFailsAtItsEndIsNotComplete(t *testing.T) {
	is := is.New(t)
	complete := make(chan bool, 1)
	to := listen(t, func(_ net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, r.Body)
		complete <- err == nil
	})
	p := pool.New()
	defer p.Close()
	body := io.MultiReader(bytes.NewReader([]byte("first ")), iotest.DataErrReader(io.MultiReader(
		bytes.NewReader([]byte("last")), iotest.ErrReader(io.ErrUnexpectedEOF))))
	_, err := p.Do(t.Context(), &pool.Request{Target: to, Method: http.MethodPost, URI: "/", Host: "h", Body: body, Length: 10})
	var source *pool.RequestBodyError
	is.True(errors.As(err, &source))
	is.True(!<-complete)
}

// Guards against an idle connection on which a target sends bytes without end:
// they belong to no request and fill the buffers of the system until the
// connection is closed. The naive variant does not look at idle connections.
func TestBytesOnIdleConnectionsCloseThem(t *testing.T) {
	for _, naive := range []bool{true, false} {
		is := is.New(t)
		answered, closed := make(chan struct{}), make(chan struct{})
		to := listen(t, func(c net.Conn, in *bufio.Reader) {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			<-answered
			for block := make([]byte, 4<<10); ; {
				if _, err := c.Write(block); err != nil {
					close(closed)
					return
				}
			}
		})
		opts := []pool.Option{pool.WithSweepInterval(10 * time.Millisecond)}
		if naive {
			opts = append(opts, pool.WithIdleCheck(func(net.Conn) bool { return true }))
		}
		p := pool.New(opts...)
		response, err := p.Do(t.Context(), &pool.Request{Target: to, Method: http.MethodGet, URI: "/", Host: "h"})
		is.NoErr(err)
		_, err = io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(p.IdleCount(to), 1)
		close(answered)
		select {
		case <-closed:
			is.True(!naive)
		case <-time.After(500 * time.Millisecond):
			is.True(naive)
		}
		p.Close()
		<-closed
	}
}
