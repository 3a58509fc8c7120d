package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/entry/proxy"
)

// repeatRefusal is a target that refuses the first request on each connection and
// writes the refusal once more when the second one has arrived.
func repeatRefusal(t testing.TB, refusal string, ran *atomic.Int64) netip.AddrPort {
	return listen(t, func(conn net.Conn, in *bufio.Reader) {
		first, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.ReadAll(first.Body)
		text := strings.ReplaceAll(refusal, "%s", first.Header.Get("Call-Id"))
		_, _ = io.WriteString(conn, text)
		second, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.ReadAll(second.Body)
		ran.Add(1)
		_, _ = io.WriteString(conn, text)
		_, _ = in.ReadByte() // until the proxy closes the connection
	})
}

// Guards against a copy of an earlier refusal that is taken for one of the next
// request on the connection, which then runs twice or is reported as not run.
func TestLateCopyOfAnEarlierRefusal(t *testing.T) {
	retry := proxy.Hooks{Retry: allowRetry, HedgeDelay: noDelay}
	rules := proxy.Rules{RetryAfterShed: func(*spec.Kind) bool { return true }}
	for name, c := range map[string]struct {
		path, refusal string
		start         func(targets ...netip.AddrPort) *entry
		ids           [2]string
	}{
		"no identifiers": {
			"/tables/x", "HTTP/1.1 503 Busy\r\nGalenalock-Run: no\r\nContent-Length: 0\r\n\r\n",
			func(targets ...netip.AddrPort) *entry { return startEntry(t, false, retry, rules, targets...) }, [2]string{},
		},
		"identifier of neither": {
			"/order", "HTTP/1.1 503 Busy\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n",
			func(targets ...netip.AddrPort) *entry { return strictEntry(t, retry, targets...) }, [2]string{},
		},
		"identifier of the first one": {
			"/order", "HTTP/1.1 503 Busy\r\nCall-Id: %s\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n",
			func(targets ...netip.AddrPort) *entry { return strictEntry(t, retry, targets...) }, [2]string{"r-1", ""},
		},
		"different identifiers": {
			"/order", "HTTP/1.1 503 Busy\r\nCall-Id: %s\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n",
			func(targets ...netip.AddrPort) *entry { return strictEntry(t, retry, targets...) }, [2]string{"r-1", "r-2"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var ran, elsewhere atomic.Int64
			target := repeatRefusal(t, c.refusal, &ran)
			other := respondWithID(t, "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nCall-Proof: p\r\nContent-Length: 2\r\n\r\nok", &elsewhere)
			e := c.start(target, other)
			for _, id := range c.ids {
				header := []string{}
				if id != "" {
					header = append(header, "Call-Id", id)
				}
				before := ran.Load()
				elsewhere.Store(0)
				status, _, body, err := e.send(http.MethodPost, c.path, strings.NewReader("1"), header...)
				is.NoErr(err)
				if ran.Load() > before {
					is.Equal(elsewhere.Load(), int64(0))
					is.True(status == http.StatusBadGateway || status == http.StatusGatewayTimeout)
					is.True(!strings.Contains(body, `"run":"no"`))
				}
			}
		})
	}
}
