package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/limit"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/room"
)

// Guards against urgent requests that are held, callers that return with less time left
// and lose their place to newcomers, and requests that are held although they would miss
// their goal.
func TestHeldRequests(t *testing.T) {
	is := is.New(t)
	var events []limit.Event
	g := limit.New(start, limit.WithMinLimit(64), limit.WithEventHook(func(e limit.Event) { events = append(events, e) }))
	report := func(now time.Time, requests int) {
		for range 20 {
			g.ObserveTarget(now, room.SameDataCentre, requests, 10)
		}
	}
	acquire := func(now time.Time, rank int, goal, deadline time.Duration) *limit.Ticket {
		o := ticket("lookup", 1, deadline)
		o.Rank, o.Goal = rank, start.Add(goal)
		g.Acquire(now, o)
		return o
	}
	g.SetCapacity(start, 64, 1)
	report(start, 8)
	for n := range 20 {
		now := start.Add(time.Duration(n) * 50 * time.Millisecond)
		o := acquire(now, 1, time.Minute, time.Minute)
		is.Equal(o.Decision, limit.Admitted)
		g.Release(now.Add(10*time.Millisecond), o, true)
	}
	now := start.Add(time.Second)
	report(now, 26)
	late := acquire(now, 1, time.Minute, 30*time.Second)
	for late.Decision == limit.Admitted { // tokens that were left
		late = acquire(now, 1, time.Minute, 30*time.Second)
	}
	returned := acquire(now, 1, time.Minute, 10*time.Second)
	short := acquire(now, 1, time.Second+50*time.Millisecond, 30*time.Second)
	is.Equal(short.Decision, limit.Refused)
	is.Equal(short.Reason, refuse.Overload)
	is.True(short.RetryAfter > 0)
	is.Equal(events, []limit.Event{limit.Held, limit.Held, limit.Turned})
	is.Equal(acquire(now, 0, time.Second+100*time.Millisecond, 30*time.Second).Decision, limit.Admitted)
	order := []*limit.Ticket{}
	for ; len(order) < 2 && now.Before(start.Add(5*time.Second)); now = now.Add(100 * time.Millisecond) {
		order = append(order, g.Tick(now)...)
	}
	is.Equal(order, []*limit.Ticket{returned, late})
	is.Equal(late.Decision, limit.Admitted)
}
