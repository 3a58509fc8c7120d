package proxy_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/proxy"
)

// BenchmarkAddedLatency measures the latency that the proxy adds. Each round sends
// one request directly to the target and one through the proxy, so that background
// load affects both equally.
func BenchmarkAddedLatency(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(make([]byte, 1024))
	}))
	defer server.Close()
	target := netip.MustParseAddrPort(server.Listener.Addr().String())
	var number atomic.Int64
	cases := []struct {
		name, method, path, body string
		callers                  int
	}{
		{"lookup callers=1", "GET", "/tables/x", "", 1},
		{"change callers=1", "POST", "/tables/x", "data", 1},
		{"lookup callers=16", "GET", "/tables/x", "", 16},
		{"change callers=16", "POST", "/tables/x", "data", 16},
		{"upload 256 KiB callers=4", "PUT", "/files/x", strings.Repeat("u", 256<<10), 4},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			h := proxy.Hooks{Claim: claimResult(wire.ClaimGranted, nil)}
			e := startEntry(b, false, h, proxy.Rules{}, target)
			transport := &http.Transport{MaxIdleConnsPerHost: 2 * c.callers}
			client := &http.Client{Transport: transport}
			defer transport.CloseIdleConnections()
			call := func(url string) time.Duration {
				r, err := http.NewRequest(c.method, url+c.path, strings.NewReader(c.body))
				if err != nil {
					b.Error(err)
					return 0
				}
				if !strings.HasPrefix(c.path, "/tables") {
					r.Host = "ledger.example"
				}
				begin := time.Now()
				response, err := client.Do(r)
				if err != nil {
					b.Error(err)
					return 0
				}
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
				number.Add(1)
				return time.Since(begin)
			}
			var mu sync.Mutex
			direct, through := hdrhistogram.New(1, 1e10, 3), hdrhistogram.New(1, 1e10, 3)
			var left atomic.Int64
			left.Store(int64(b.N))
			var group sync.WaitGroup
			b.ReportAllocs()
			b.ResetTimer()
			for range c.callers {
				group.Go(func() {
					for left.Add(-1) >= 0 {
						d, p := call(server.URL), call(e.url)
						mu.Lock()
						_, _ = direct.RecordValue(int64(d)), through.RecordValue(int64(p))
						mu.Unlock()
					}
				})
			}
			group.Wait()
			for _, q := range []struct {
				name    string
				percent float64
			}{{"p50", 50}, {"p99", 99}} {
				d, p := direct.ValueAtQuantile(q.percent), through.ValueAtQuantile(q.percent)
				b.ReportMetric(float64(d)/1e3, "direct-"+q.name+"-µs")
				b.ReportMetric(float64(p-d)/1e3, "added-"+q.name+"-µs")
			}
		})
	}
}
