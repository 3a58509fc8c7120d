package proxy_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/galenalock/galenalock/core/pool"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/entry/proxy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// listen starts a TCP server that serves each connection with f, and returns its
// address.
func listen(t testing.TB, f func(c net.Conn, in *bufio.Reader)) netip.AddrPort {
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

// respond starts a target that reads each request and writes the response. With
// an empty response it closes the connection after the first request.
func respond(t testing.TB, response string, seen func(*http.Request, string)) netip.AddrPort {
	return listen(t, func(c net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			if seen != nil {
				seen(r, string(body))
			}
			if _, err := io.WriteString(c, response); err != nil || response == "" {
				return
			}
		}
	})
}

// closedAddress returns an address that refuses connections until the test ends. A
// bound socket that does not listen keeps the port from being given to a listener.
func closedAddress(t testing.TB) netip.AddrPort {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	local := [4]byte{127, 0, 0, 1}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: local}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(local), uint16(name.(*syscall.SockaddrInet4).Port))
}

// entry is a proxy behind an HTTP server, with a client.
type entry struct {
	proxy  *proxy.Proxy
	url    string
	addr   string
	client *http.Client
	view   proxy.View
	server *httptest.Server
}

// startEntry starts a proxy in front of the targets, which are picked in order.
func startEntry(t testing.TB, h2c bool, hooks proxy.Hooks, rules proxy.Rules, targets ...netip.AddrPort) *entry {
	t.Helper()
	return startEntryWithPool(t, h2c, hooks, rules, pool.New(), targets...)
}

func startEntryWithPool(t testing.TB, h2c bool, hooks proxy.Hooks, rules proxy.Rules, connections *pool.Pool, targets ...netip.AddrPort) *entry {
	t.Helper()
	data, err := os.ReadFile("testdata/text.toml")
	if err != nil {
		t.Fatal(err)
	}
	text, err := spec.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	e := &entry{view: proxy.View{Text: text, Revision: 1, Ready: true}}
	if hooks.View == nil {
		hooks.View = func() *proxy.View { return &e.view }
	}
	hooks.Pick = func(_ proxy.Request, exclude []netip.AddrPort, _ time.Time) (proxy.Target, bool) {
		for _, a := range targets {
			if !slices.Contains(exclude, a) {
				return proxy.Target{Address: a}, true
			}
		}
		return proxy.Target{}, false
	}
	e.proxy = proxy.New(hooks, proxy.WithRules(rules), proxy.WithPool(connections))
	e.serve(t, h2c)
	return e
}

// startEntryWithOptions starts a proxy with exactly these hooks and options.
func startEntryWithOptions(t testing.TB, hooks proxy.Hooks, opts ...proxy.Option) *entry {
	t.Helper()
	e := &entry{proxy: proxy.New(hooks, opts...)}
	e.serve(t, false)
	return e
}

// serve starts an HTTP server for the proxy, which runs until the test ends.
func (e *entry) serve(t testing.TB, h2c bool) { e.serveHandler(t, h2c, e.proxy) }

func (e *entry) serveHandler(t testing.TB, h2c bool, handler http.Handler) {
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!h2c)
	protocols.SetUnencryptedHTTP2(h2c)
	transport := &http.Transport{Protocols: protocols, DisableCompression: true, ExpectContinueTimeout: time.Minute}
	e.client = &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	e.server = server
	e.url, e.addr = server.URL, server.Listener.Addr().String()
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		server.Close()
		e.proxy.Close()
	})
}

// send sends a request and returns status, headers and body. An error means that
// the caller received no complete response.
func (e *entry) send(method, path string, body io.Reader, header ...string) (int, http.Header, string, error) {
	return e.sendContext(context.Background(), method, path, body, header...)
}

func (e *entry) sendContext(ctx context.Context, method, path string, body io.Reader, header ...string) (int, http.Header, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, e.url+path, body)
	if err != nil {
		return 0, nil, "", err
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Add(header[i], header[i+1])
	}
	if !strings.HasPrefix(path, "/tables") {
		r.Host = "ledger.example"
	}
	response, err := e.client.Do(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	if response.Close {
		response.Header.Set("Connection", "close") // net/http removes the header
	}
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(data), err
}

// sendRaw sends bytes on a new connection and returns everything that is received
// until the connection is closed.
func (e *entry) sendRaw(t testing.TB, request string) string {
	t.Helper()
	c, err := net.Dial("tcp", e.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// Fails the test if the proxy does not close the connection, instead of blocking.
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	data, _ := io.ReadAll(c)
	return string(data)
}

func allowRetry(proxy.Request, proxy.Reason) bool { return true }

func neverDetach(*spec.Kind) bool { return false }
