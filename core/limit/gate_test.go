package limit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/limit"
	"github.com/galenalock/galenalock/core/refuse"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ticket(kind string, weight float64, deadline time.Duration) *limit.Ticket {
	return &limit.Ticket{Kind: kind, Weight: weight, Deadline: start.Add(deadline)}
}

func ExampleGate() {
	g := limit.New(start)
	first, second := ticket("lookup", 1, time.Second), ticket("lookup", 1, time.Second)
	g.Acquire(start, first)
	g.Acquire(start, second)
	fmt.Println(first.Decision == limit.Admitted, second.Decision == limit.Waiting)
	g.Release(start.Add(5*time.Millisecond), first, true)
	fmt.Println(second.Decision == limit.Admitted)
	// Output:
	// true true
	// true
}

// Guards against a queue that keeps requests which cannot end in time, and
// against refusing a request with a high weight instead of one with a low weight.
func TestEarlyRefusal(t *testing.T) {
	is := is.New(t)
	g := limit.New(start)
	busy := ticket("lookup", 1, time.Second)
	g.Acquire(start, busy)
	cheap := make([]*limit.Ticket, 3)
	for i := range cheap {
		cheap[i] = ticket("lookup", 1, 35*time.Millisecond)
		g.Acquire(start, cheap[i])
		is.Equal(cheap[i].Decision, limit.Waiting) // 10 ms each, one at a time
	}
	order := ticket("order", 10, 36*time.Millisecond)
	_, decided := g.Acquire(start, order)
	is.Equal(order.Decision, limit.Waiting)
	is.Equal(len(decided), 1)
	is.Equal(decided[0].Reason, refuse.Overload)
	is.Equal(decided[0].Kind, "lookup")

	is.True(g.Cancel(order))
	is.True(!g.Cancel(decided[0]))
	decided = g.Tick(start.Add(40 * time.Millisecond))
	is.Equal(len(decided), 2) // the deadlines have passed
	_, _, waiting := g.Limit()
	is.Equal(waiting, 0)
}

// Guards against data races and lost wake-ups between concurrent requests.
func TestConcurrentRequests(t *testing.T) {
	g := limit.New(start)
	g.SetCapacity(start, 4, 1)
	wake := func(decided []*limit.Ticket) {
		for _, o := range decided {
			o.Wake <- o.Decision
		}
	}
	var traffic sync.WaitGroup
	for range 32 {
		traffic.Go(func() {
			for range 200 {
				own := ticket("lookup", 1, time.Hour)
				own.Wake = make(chan limit.Decision, 1)
				decision, decided := g.Acquire(start, own)
				wake(decided)
				if decision == limit.Waiting {
					decision = <-own.Wake
				}
				if decision == limit.Admitted {
					wake(g.Release(start, own, true))
				}
			}
		})
	}
	traffic.Wait()
	if _, inflight, waiting := g.Limit(); inflight != 0 || waiting != 0 {
		t.Fatalf("%d in flight, %d waiting", inflight, waiting)
	}
}

// Guards against a limit that ignores the load reported by the targets, and
// against one that does not recover.
func TestLimitFollowsLoad(t *testing.T) {
	is := is.New(t)
	g := limit.New(start)
	now := start
	g.SetCapacity(now, 72, 4)
	before, _, _ := g.Limit()
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		g.RecordLoad(ticket("lookup", 1, time.Second), 12, 6)
		g.Tick(now)
	}
	low, _, _ := g.Limit()
	is.True(low < before)
	is.True(low >= 9) // half of the fair share
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		g.Acquire(now, ticket("lookup", 1, time.Hour))
		g.Acquire(now, ticket("lookup", 1, time.Hour))
		g.RecordLoad(ticket("lookup", 1, time.Second), 3, 6)
		g.Tick(now)
	}
	high, _, _ := g.Limit()
	is.Equal(high, 72.0)
}

// runOverload offers 1.5 times the capacity of six slots with a service time of
// 10 ms. One request in ten has weight 10. It returns the weight answered in time
// relative to the maximum possible. Only requests that arrive in the middle of
// the run count, because those at its ends find an empty queue or do not end. The
// naive variant is a FIFO queue without refusals.
func runOverload(seed uint64, naive bool) float64 {
	const slots, service, step = 6, 10 * time.Millisecond, time.Millisecond
	const length, margin, timeout = 4 * time.Second, 500 * time.Millisecond, 300 * time.Millisecond
	counts := func(t *limit.Ticket) bool {
		arrival := t.Deadline.Add(-timeout).Sub(start)
		return arrival >= margin && arrival < length-margin
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	g := limit.New(start)
	g.SetCapacity(start, slots, 1)
	var running, waiting []*limit.Ticket
	ends := map[*limit.Ticket]time.Time{}
	begin := func(now time.Time, t *limit.Ticket) {
		running = append(running, t)
		ends[t] = now.Add(service)
	}
	answered, offered, highWeight := 0.0, 0, 0
	now := start
	for ; now.Before(start.Add(length)); now = now.Add(step) {
		for _, t := range slices.Clone(running) {
			if ends[t].After(now) {
				continue
			}
			running = slices.DeleteFunc(running, func(o *limit.Ticket) bool { return o == t })
			if !now.After(t.Deadline) && counts(t) {
				answered += t.Weight
			}
			if naive {
				continue
			}
			for _, o := range g.Release(now, t, true) {
				if o.Decision == limit.Admitted {
					begin(now, o)
				}
			}
		}
		if rng.Float64() < 0.9 {
			t := &limit.Ticket{Kind: "lookup", Weight: 1, Deadline: now.Add(timeout)}
			if rng.IntN(10) == 0 {
				t.Kind, t.Weight = "order", 10
			}
			if counts(t) {
				offered++
				highWeight += boolToInt(t.Weight > 1)
			}
			if naive {
				waiting = append(waiting, t)
			} else {
				_, decided := g.Acquire(now, t)
				for _, o := range append(decided, t) {
					if o.Decision == limit.Admitted {
						begin(now, o)
					}
				}
			}
		}
		for naive && len(running) < slots && len(waiting) > 0 {
			begin(now, waiting[0])
			waiting = waiting[1:]
		}
	}
	capacity := (length - 2*margin).Seconds() * slots / service.Seconds()
	return answered / (float64(10*highWeight) + min(capacity, float64(offered)) - float64(highWeight))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against shedding that wastes capacity or refuses the wrong requests.
func TestOverload(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		actual, naive := runOverload(seed, false), runOverload(seed, true)
		t.Logf("seed %d: actual %.3f naive %.3f", seed, actual, naive)
		is.True(naive < 0.5)
		is.True(actual > 0.95)
	}
}
