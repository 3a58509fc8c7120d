package pool_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"testing"

	"github.com/galenalock/galenalock/core/pool"
)

// Guards against heads without end, of many short fields, that together exhaust the
// memory of an entry: half of 184 MB for 64 requests in flight.
func TestEndlessHeadsStayWithinTheMemoryOfAnEntry(t *testing.T) {
	const requests, limit = 64, 92 << 20
	p := pool.New(pool.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
		ours, theirs := net.Pipe()
		go func() {
			defer theirs.Close()
			if _, err := http.ReadRequest(bufio.NewReader(theirs)); err != nil {
				return
			}
			_, err := io.WriteString(theirs, "HTTP/1.1 200 OK\r\n")
			for n := 0; err == nil; n++ {
				_, err = fmt.Fprintf(theirs, "%X:\r\n", n)
			}
		}()
		return ours, nil
	}))
	defer p.Close()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range requests {
		_, err := p.Do(t.Context(), &pool.Request{Target: netip.MustParseAddrPort("10.0.0.1:80"), Method: http.MethodGet, URI: "/", Host: "x"})
		if err == nil {
			t.Fatal("a head without end was taken for a response")
		}
	}
	runtime.ReadMemStats(&after)
	if used := after.TotalAlloc - before.TotalAlloc; used > limit {
		t.Errorf("%d heads took %d MiB, more than %d MiB", requests, used>>20, limit>>20)
	}
}
