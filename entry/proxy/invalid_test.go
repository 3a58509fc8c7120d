package proxy_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/pool"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/entry/proxy"
)

// way is a way in which a response reaches the caller.
type way struct {
	name, method, path string
	body               int // bytes
	header             []string
	start              func(t *testing.T, target netip.AddrPort) *entry
	again              bool // the request is sent twice, and the second answer counts as well
}

// delimited starts an entry that takes responses without a length.
func delimited(t *testing.T, hooks proxy.Hooks, targets ...netip.AddrPort) *entry {
	return startEntryWithPool(t, false, hooks, proxy.Rules{}, pool.New(pool.WithCloseDelimited()), targets...)
}

func ways() []way {
	direct := func(t *testing.T, target netip.AddrPort) *entry { return delimited(t, proxy.Hooks{}, target) }
	relayed := func(t *testing.T, target netip.AddrPort) *entry {
		return startWithoutPath(t, proxy.Hooks{}, startRelayTarget(t, delimited(t, proxy.Hooks{}, target)))
	}
	hedged := func(t *testing.T, target netip.AddrPort) *entry {
		silent := listen(t, func(_ net.Conn, in *bufio.Reader) {
			_, _ = http.ReadRequest(in)
			_, _ = in.ReadByte() // until the proxy closes the connection
		})
		hedge := func(*spec.Service, *spec.Kind) (time.Duration, bool) { return time.Millisecond, true }
		return delimited(t, proxy.Hooks{HedgeDelay: hedge, ProbeDelay: noDelay, Retry: allowRetry}, silent, target)
	}
	claimed := func(t *testing.T, target netip.AddrPort) *entry {
		return delimited(t, newFakeControl().hooks(), target)
	}
	key := []string{"Idempotency-Key", "k"}
	return []way{
		{"direct", http.MethodGet, "/tables/x", 0, nil, direct, false},
		{"direct upload", http.MethodPut, "/files/x", 8 << 20, nil, direct, false},
		{"direct buffered upload", http.MethodPut, "/files/x", 60 << 10, nil, direct, false},
		{"repeatable upload", http.MethodPut, "/tables/x", 8 << 20, nil, direct, false},
		{"relayed", http.MethodGet, "/tables/x", 0, nil, relayed, false},
		{"relayed upload", http.MethodPut, "/files/x", 8 << 20, nil, relayed, false},
		{"hedge", http.MethodGet, "/tables/x", 0, []string{"Galenalock-Deadline", "300"}, hedged, false}, // the first attempt stays silent
		{"replay", http.MethodPost, "/orders", 10, key, claimed, true},
		{"replay of a large order", http.MethodPost, "/orders", 900 << 10, key, claimed, true},
	}
}

// startRelayTarget returns the address at which an entry takes requests of other entries.
func startRelayTarget(t *testing.T, e *entry) netip.AddrPort {
	helper := &entry{proxy: e.proxy}
	helper.serveHandler(t, false, http.HandlerFunc(e.proxy.ServeRelayed))
	return netip.MustParseAddrPort(helper.addr)
}

// sendAll sends the request of a way and returns the status of each answer that was
// complete.
func (w *way) sendAll(e *entry) []int {
	var out []int
	for range 2 {
		status, _, _, err := e.send(w.method, w.path, bytes.NewReader(make([]byte, w.body)), w.header...)
		if err == nil {
			out = append(out, status)
		}
		if !w.again {
			break
		}
	}
	return out
}

// answerAndClose is a target that answers without reading the body and then closes the
// connection, by a reset or in order.
func answerAndClose(t *testing.T, response string, reset bool) netip.AddrPort {
	return listen(t, func(c net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if !reset {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(c, response)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
}

// Guards against a part of a response without a length that is passed on as complete
// after its connection was reset, in particular while the request is still being sent:
// the write that fails then hides the reset from the read. A response that ends in order
// is complete.
func TestResetEndsNoResponse(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\n\r\npart of the body"
	for _, w := range ways() {
		t.Run(w.name, func(t *testing.T) {
			is := is.New(t)
			for range 20 { // the read or the write notices the reset
				for _, status := range w.sendAll(w.start(t, answerAndClose(t, response, true))) {
					is.True(status >= 400)
				}
			}
			is.Equal(w.sendAll(w.start(t, answerAndClose(t, response, false)))[0], 200)
		})
	}
}

// Guards against a response whose status is not one of HTTP, which callers take for
// whatever they like.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, w := range ways() {
		for _, status := range []string{"000", "001", "099", "-00", "+20", "600", "999"} {
			t.Run(w.name+" "+status, func(t *testing.T) {
				is := is.New(t)
				target := answerAndClose(t, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\nok", false)
				got := w.sendAll(w.start(t, target))
				is.True(len(got) > 0)
				for _, s := range got {
					is.True(s >= 400 && s < 600)
				}
			})
		}
	}
}

// Guards against an invalid status that is hidden behind a valid one.
func TestInvalidStatusAfterInformational(t *testing.T) {
	is := is.New(t)
	target := answerAndClose(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok", false)
	got := delimited(t, proxy.Hooks{}, target).sendRaw(t, "GET /tables/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	is.True(strings.Contains(got, "HTTP/1.1 502 "))
}
