package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/retry"
)

// Guards against further attempts of all entries together that exceed the share
// and the slack in some span, in quiet times, bursts and after idle ones. The
// load it plays: 48 entries with 2 requests a second each, bursts of ten times
// as much, and a further attempt wanted for each request.
func TestWindowHoldsInEverySpan(t *testing.T) {
	const entries, share, slack, span = 48, 0.2, 64.0, 10 * time.Second
	type event struct {
		at    time.Duration
		extra bool
	}
	for seed := range uint64(5) {
		draws := rand.New(rand.NewPCG(seed, 1))
		var events []event
		budgets := make([]*retry.Budget, entries)
		for i := range budgets {
			budgets[i] = retry.New(start, retry.WithWindow(span, share, slack))
			budgets[i].Divide(entries)
		}
		for at := time.Duration(0); at < 90*time.Second; at += 10 * time.Millisecond {
			rate := 2.0
			if at%(30*time.Second) > 25*time.Second {
				rate = 20
			}
			for _, b := range budgets {
				if draws.Float64() > rate/100 {
					continue
				}
				now := start.Add(at)
				b.RequestAt(now)
				events = append(events, event{at: at})
				if b.Allow(now, retry.Broken, 1, time.Second) {
					events = append(events, event{at: at, extra: true})
				}
			}
		}
		most := 0.0
		for first := range events {
			requests, extra := 0, 0
			for _, e := range events[first:] {
				if e.at >= events[first].at+span {
					break
				}
				if e.extra {
					extra++
				} else {
					requests++
				}
			}
			if over := float64(extra) - share*float64(requests); over > most {
				most = over
			}
		}
		t.Logf("seed %d: at most %.1f beyond the share, of %.0f", seed, most, slack)
		is := is.New(t)
		is.True(most <= slack)
		is.True(most > slack/4) // the slack is of use
	}
}
