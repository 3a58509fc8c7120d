package proxy_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/entry/proxy"
)

// simulateStart simulates the start of an entry that gets its configuration after
// the given time, or never if it is 0. Callers send a request every 20 ms for 2 s.
// It returns the numbers of admitted and refused requests and the longest time
// until a refusal.
func simulateStart(t *testing.T, configured, wait time.Duration) (admitted, refused int, longest time.Duration) {
	data, err := os.ReadFile("testdata/text.toml")
	if err != nil {
		t.Fatal(err)
	}
	text, err := spec.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	var view atomic.Pointer[proxy.View]
	view.Store(&proxy.View{})
	gate := proxy.NewStartupGate(time.Now().Add(wait))
	if configured > 0 {
		time.AfterFunc(configured, func() {
			view.Store(&proxy.View{Text: text, Revision: 1, Ready: true})
			gate.Open()
		})
	}
	var admittedCount, refusedCount atomic.Int64
	var longestRefusal atomic.Int64
	p := proxy.New(proxy.Hooks{
		View: view.Load,
		Await: func(ctx context.Context) {
			gate.Wait(ctx, time.Now())
		},
		Pick: func(proxy.Request, []netip.AddrPort, time.Time) (proxy.Target, bool) {
			admittedCount.Add(1)
			return proxy.Target{}, false
		},
		Finished: func(f proxy.Summary) {
			if f.Refusal != nil && f.Refusal.Reason == refuse.NotReady {
				refusedCount.Add(1)
				longestRefusal.Store(max(longestRefusal.Load(), int64(f.Duration)))
			}
		},
	})
	defer p.Close()
	for range 100 {
		go p.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "http://h/tables/x", nil))
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Minute)
	return int(admittedCount.Load()), int(refusedCount.Load()), time.Duration(longestRefusal.Load())
}

// Guards against an entry that refuses requests shortly before its configuration
// arrives, as the naive variant without a wait does, and against one that delays
// requests for longer than the limit while control is unreachable.
func TestStart(t *testing.T) {
	for _, c := range []struct {
		name              string
		configured, wait  time.Duration
		admitted, refused int
		longest           time.Duration
	}{
		{"configuration after 0.61 s", 610 * time.Millisecond, 2 * time.Second, 100, 0, 0},
		{"naive", 610 * time.Millisecond, 0, 69, 31, 0},
		{"control is unreachable", 0, time.Second, 0, 100, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				admitted, refused, longest := simulateStart(t, c.configured, c.wait)
				t.Logf("%d admitted, %d refused, the last after %v", admitted, refused, longest)
				is.Equal(admitted, c.admitted)
				is.Equal(refused, c.refused)
				is.True(longest <= c.longest)
			})
		})
	}
}

// Guards against a gate that keeps waiting after the caller has left.
func TestStartEndsWithTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		begun := time.Now()
		proxy.NewStartupGate(begun.Add(time.Minute)).Wait(ctx, begun)
		is.New(t).Equal(time.Since(begun), 10*time.Millisecond)
	})
}
