package load_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/bench/load"
	"github.com/galenalock/galenalock/bench/stub"
)

// Guards against coordinated omission: while the server hangs, requests must still
// start at their intended times and their latencies must include the wait.
func TestLatencyCountsFromTheIntendedStart(t *testing.T) {
	is := is.New(t)
	var hung atomic.Bool
	gate := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if hung.CompareAndSwap(false, true) {
			time.AfterFunc(300*time.Millisecond, func() { close(gate) })
		}
		<-gate // all requests hang for 300 ms, then get their answers at once
	}))
	defer server.Close()
	result, err := load.Run(t.Context(), load.Plan{
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		Rate:    200, Duration: 300 * time.Millisecond, Seed: 1,
	})
	is.NoErr(err)
	is.True(result.Counts[load.Lookup].Answered > 30)      // a closed loop would send one
	is.True(result.Quantile(0.5) > 50*time.Millisecond)    // half of them waited for long
	is.True(result.Quantile(0.999) > 200*time.Millisecond) // the first ones waited longest
}

// Guards against requests that are missing from the counts.
func TestEveryRequestIsCounted(t *testing.T) {
	is := is.New(t)
	target, err := stub.New(stub.WithLatency(0, 0), stub.WithGrace(0), stub.WithSlots(100, 100),
		stub.WithFault(stub.Fault{Cut: stub.CutTruncated, Share: 0.2, Errors: 0.2}))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- target.Run(ctx) }()
	result, err := load.Run(t.Context(), load.Plan{
		Address: target.Address(), Rate: 1000, Duration: 300 * time.Millisecond,
		OrderShare: 0.3, UploadShare: 0.3, UploadBytes: 1000, Seed: 2,
	})
	is.NoErr(err)
	cancel()
	is.NoErr(<-done)
	ran := target.Counts().Ran
	for kind, c := range result.Counts {
		is.Equal(c.Sent, c.Answered+c.Refused+c.Broken+c.Corrupted)
		is.Equal(c.Corrupted, 0)
		is.True(c.Answered > 0 && c.Refused > 0 && c.Broken > 0)
		if kind == load.Order {
			is.Equal(ran[stub.Order], c.Sent)
		}
	}
}

// Guards against invalid plans that are accepted and then run for ever or send
// nothing.
func TestRefusesPlans(t *testing.T) {
	is := is.New(t)
	var refused *load.PlanError
	for _, plan := range []load.Plan{{}, {Address: netip.MustParseAddrPort("127.0.0.1:1"), Rate: 1}} {
		_, err := load.Run(t.Context(), plan)
		is.True(errors.As(err, &refused))
	}
}
