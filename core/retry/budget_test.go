package retry_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/retry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ExampleBudget() {
	b := retry.New(start, retry.WithReserve(1), retry.WithDecisionHook(func(r retry.Reason, decision retry.Decision) { fmt.Println(r, decision) }))
	b.AddRequest()
	b.Allow(start, retry.TargetFailed, 1, time.Second)
	b.Allow(start, retry.TargetFailed, 1, time.Second)
	b.Allow(start, retry.ServiceFull, 1, time.Second)
	// Output:
	// broken allowed
	// broken exhausted
	// full useless
}

// Guards against retries that multiply the load of a failing service.
func TestRetriesStayWithinShare(t *testing.T) {
	is := is.New(t)
	b := retry.New(start)
	var allowed atomic.Int64
	var traffic sync.WaitGroup
	for range 8 {
		traffic.Go(func() {
			for i := range 1000 {
				b.AddRequest()
				for attempts := 1; b.Allow(start.Add(time.Duration(i)*time.Millisecond), retry.TargetFailed, attempts, time.Second); attempts++ {
					allowed.Add(1)
				}
			}
		})
	}
	traffic.Wait()
	is.True(allowed.Load() <= 800+5+2) // 10%, the reserve and its refill in one second
	is.True(allowed.Load() >= 790)
}

// Guards against a hedge delay that follows the tail or the median of a
// heavy-tailed distribution instead of its 95th percentile.
func TestHedgeDelay(t *testing.T) {
	is := is.New(t)
	b := retry.New(start)
	rng := rand.New(rand.NewPCG(1, 1))
	sum := 0.0
	const samples = 20000
	for i := range 2 * samples {
		b.ObserveLatency(time.Duration(1e7 * math.Exp(rng.NormFloat64())))
		if d, _ := b.HedgeDelay(); i >= samples {
			sum += float64(d)
		}
	}
	want := 1e7 * math.Exp(1.645)
	is.True(math.Abs(sum/samples/want-1) < 0.15)
}

// Guards against attempts that cannot end before the deadline.
func TestAttemptsPastDeadline(t *testing.T) {
	is := is.New(t)
	b := retry.New(start)
	b.ObserveLatency(time.Second)
	is.True(!b.Allow(start, retry.TargetFailed, 1, 10*time.Millisecond))
	is.True(!b.Allow(start, retry.TargetFailed, 1, 0))
	is.True(b.Allow(start, retry.TargetFailed, 1, time.Second))
	is.True(!b.Allow(start, retry.TargetFailed, 3, time.Second))
}

// Guards against hedges that take the slots of waiting requests.
func TestNoHedgeWhileRequestsWait(t *testing.T) {
	is := is.New(t)
	b := retry.New(start)
	b.SetBusy(true)
	is.True(!b.Allow(start, retry.Hedging, 1, time.Second))
	is.True(b.Allow(start, retry.TargetFailed, 1, time.Second))
	b.SetBusy(false)
	is.True(b.Allow(start, retry.Hedging, 1, time.Second))
}
