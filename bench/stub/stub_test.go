package stub_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/galenalock/galenalock/bench/stub"
	"github.com/galenalock/galenalock/core/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startTarget runs a target and returns it with a client and a function that stops
// both.
func startTarget(t *testing.T, h2 bool, opts ...stub.Option) (*stub.Stub, *http.Client, func()) {
	t.Helper()
	target, err := stub.New(append([]stub.Option{stub.WithLatency(0, 0), stub.WithGrace(0)}, opts...)...)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- target.Run(ctx) }()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!h2)
	protocols.SetUnencryptedHTTP2(h2)
	transport := &http.Transport{Protocols: protocols}
	stop := sync.OnceFunc(func() {
		cancel()
		transport.CloseIdleConnections()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return target, &http.Client{Transport: transport, Timeout: 5 * time.Second}, stop
}

func post(target *stub.Stub, client *http.Client, path, key, body string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+target.Address().String()+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return nil, err
	}
	r.Header.Set(stub.HeaderKey, key)
	return client.Do(r)
}

func Example() {
	target, err := stub.New(stub.WithLatency(0, 0), stub.WithGrace(0))
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error)
	go func() { done <- target.Run(ctx) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := post(target, client, "/uploads/chart", "k1", "soundings")
	if err != nil {
		fmt.Println(err)
		return
	}
	var answer stub.Answer
	fmt.Println(json.NewDecoder(response.Body).Decode(&answer), answer.Length, answer.Digest[:8], response.Header.Get(stub.HeaderLoad))
	response.Body.Close()
	fmt.Println(target.Counts().Keys)
	cancel()
	fmt.Println(<-done)
	// Output:
	// <nil> 9 d2f17f74 inflight=1 limit=6
	// map[k1:{upload 1}]
	// <nil>
}

// Guards against a cut that still gives a complete answer; tests of truncated
// answers would then pass without testing anything.
func TestCutsAreSeen(t *testing.T) {
	for _, h2 := range []bool{false, true} {
		target, client, stop := startTarget(t, h2)
		for _, point := range []stub.CutPoint{stub.CutBefore, stub.CutHeader, stub.CutBody, stub.CutChunk, stub.CutTruncated} {
			t.Run(fmt.Sprintf("h2=%v/%s", h2, point), func(t *testing.T) {
				is := is.New(t)
				is.NoErr(target.SetFault(stub.Fault{Cut: point}))
				response, err := post(target, client, "/orders", string(point), "x")
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
				is.True(err != nil)                                    // the caller sees an error
				is.Equal(target.Counts().Keys[string(point)].Times, 1) // the order was executed
			})
		}
		stop()
	}
}

// Guards against a silent connection that still answers, and against connections
// opened after the fault that are silent too.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	target, client, _ := startTarget(t, false)
	response, err := post(target, client, "/orders", "before", "")
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body) // returns the connection to the pool
	is.NoErr(err)
	is.NoErr(target.SetFault(stub.Fault{Silent: true}))
	client.Timeout = 50 * time.Millisecond
	_, err = post(target, client, "/orders", "silent", "")
	is.True(err != nil)
	is.Equal(target.Counts().Keys["silent"].Times, 0)
	client.Timeout = 5 * time.Second
	response, err = post(target, client, "/orders", "after", "")
	is.NoErr(err)
	response.Body.Close()
}

// Guards against requests that are answered 503 although they were executed, and
// against executed requests that are declared as not executed.
func TestShedsBeyondSlotsAndQueue(t *testing.T) {
	is := is.New(t)
	target, client, _ := startTarget(t, true, stub.WithSlots(2, 1), stub.WithLatency(100*time.Millisecond, 0))
	var wait sync.WaitGroup
	var mu sync.Mutex
	status := map[int]int{}
	for i := range 8 {
		wait.Go(func() {
			response, err := post(target, client, "/orders", fmt.Sprint(i), "")
			if err != nil {
				t.Error(err)
				return
			}
			response.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			status[response.StatusCode]++
			if (response.StatusCode == http.StatusServiceUnavailable) != (response.Header.Get(stub.HeaderRun) == "no") {
				t.Errorf("status %d with %s %q", response.StatusCode, stub.HeaderRun, response.Header.Get(stub.HeaderRun))
			}
		})
	}
	wait.Wait()
	counts := target.Counts()
	is.Equal(counts.Ran[stub.Order], status[http.StatusOK])
	is.Equal(counts.Shed, status[http.StatusServiceUnavailable])
	is.True(counts.Shed > 0)
}

// Guards against a target that stops without announcing that it leaves, and
// against announcements out of order.
func TestAnnouncesAndLeaves(t *testing.T) {
	is := is.New(t)
	renewals := make(chan wire.Renew, 1000)
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var renewal wire.Renew
		if err := json.NewDecoder(r.Body).Decode(&renewal); err != nil || r.URL.Path != "/v1/announce" {
			t.Errorf("%s: %v", r.URL.Path, err)
		}
		renewals <- renewal
		w.WriteHeader(http.StatusAccepted)
	}))
	defer entry.Close()
	address := netip.MustParseAddrPort(entry.Listener.Addr().String())
	target, _, stop := startTarget(t, false, stub.WithEntries(address), stub.WithColdStart(20*time.Millisecond, 3), stub.WithInterval(10*time.Millisecond, time.Second))
	first := <-renewals
	is.Equal(first.State, stub.StateCold)
	is.Equal(first.Address, target.Address())
	for renewal := range renewals {
		if renewal.State == stub.StateReady {
			break
		}
	}
	stop()
	entry.Close() // waits for the handlers
	close(renewals)
	var last wire.Renew
	for renewal := range renewals {
		is.True(renewal.Seq > last.Seq)
		last = renewal
	}
	is.Equal(last.State, stub.StateLeaving)
}

// Guards against faults that are accepted without effect, and against invalid
// faults that are accepted.
func TestFaultEndpoint(t *testing.T) {
	is := is.New(t)
	target, client, _ := startTarget(t, false)
	url := "http://" + target.Address().String() + "/stub/fault"
	for body, want := range map[string]int{
		`{"errors":1,"stall":"1ms"}`: http.StatusOK,
		`{"errors":2}`:               http.StatusBadRequest,
		`{"cut":"middle"}`:           http.StatusBadRequest,
		`{"eror":1}`:                 http.StatusBadRequest,
	} {
		response, err := client.Post(url, "application/json", strings.NewReader(body))
		is.NoErr(err)
		response.Body.Close()
		is.Equal(response.StatusCode, want)
	}
	response, err := post(target, client, "/orders", "k", "")
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusInternalServerError)
	is.Equal(target.Counts().Failed, 1)
}
