package turns_test

import (
	"errors"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/control/turns"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// model plays callers that try a dependency. Each attempt takes some time.
type model struct {
	queue    *turns.Queue
	now      time.Time
	attempts int
	served   int
	running  map[*turns.Turn]time.Time // end of each attempt
	waiting  []*turns.Turn
}

func newModel(opts ...turns.Option) *model {
	return &model{queue: turns.New(opts...), now: start, running: map[*turns.Turn]time.Time{}}
}

func (m *model) add(t *testing.T, callers int) {
	t.Helper()
	for range callers {
		turn, err := m.queue.Add()
		if err != nil {
			t.Fatal(err)
		}
		m.waiting = append(m.waiting, turn)
	}
}

// run plays a time in steps of a millisecond.
func (m *model) run(d, attempt time.Duration, available bool) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(time.Millisecond) {
		for turn, ends := range m.running {
			if m.now.Before(ends) {
				continue
			}
			delete(m.running, turn)
			if available {
				m.queue.Succeed(turn)
				m.served++
			} else {
				m.queue.Fail(m.now, turn)
				m.waiting = append(m.waiting, turn)
			}
		}
		m.queue.Advance(m.now)
		kept := m.waiting[:0]
		for _, turn := range m.waiting {
			select {
			case <-turn.Start:
				m.attempts++
				m.running[turn] = m.now.Add(attempt)
			default:
				kept = append(kept, turn)
			}
		}
		m.waiting = kept
	}
}

// Guards against attempts that grow with the number of callers while nobody can be
// served, and against callers that are not served once the dependency is back.
func TestAttemptsDoNotGrowWithCallers(t *testing.T) {
	for _, callers := range []int{50, 150, 443, 1000} {
		t.Run(fmt.Sprint(callers), func(t *testing.T) {
			is := is.New(t)
			m := newModel()
			m.add(t, callers)
			m.run(2*time.Second, 5*time.Millisecond, false)
			// The attempts of the first moment, then one in each interval.
			is.True(m.attempts <= min(callers, turns.DefaultRunning)+2*int(time.Second/turns.DefaultInterval))
			m.run(500*time.Millisecond, 5*time.Millisecond, true)
			is.Equal(m.served, callers)

			naive := newModel(turns.WithRunning(1<<20), turns.WithInterval(0))
			naive.add(t, callers)
			naive.run(2*time.Second, 5*time.Millisecond, false)
			is.True(naive.attempts > m.attempts)
		})
	}
}

// Guards against callers that wait for an attempt at a former leader.
func TestResetDoesNotWaitForHangingAttempts(t *testing.T) {
	is := is.New(t)
	m := newModel()
	m.add(t, 1)
	m.run(100*time.Millisecond, time.Millisecond, false)
	m.run(100*time.Millisecond, time.Hour, false) // hangs
	m.add(t, 1)
	m.run(time.Second, time.Millisecond, true)
	is.Equal(m.served, 0)
	m.queue.Reset(m.now)
	m.run(time.Second, time.Millisecond, true)
	is.Equal(m.served, 1)
}

// Guards against a former leader that hangs and uses up the attempts at a new one.
func TestHangingAttemptsDoNotCountAfterReset(t *testing.T) {
	is := is.New(t)
	m := newModel()
	m.add(t, turns.DefaultRunning)
	m.run(100*time.Millisecond, time.Hour, true)
	m.add(t, 10)
	m.run(100*time.Millisecond, time.Millisecond, true)
	is.Equal(m.served, 0)
	m.queue.Reset(m.now)
	m.run(100*time.Millisecond, time.Millisecond, true)
	is.Equal(m.served, 10)
}

// Guards against failures at a former leader that close the queue for a new one.
func TestLateFailuresDoNotDelayOthers(t *testing.T) {
	is := is.New(t)
	q := turns.New()
	old, err := q.Add()
	is.NoErr(err)
	q.Advance(start)
	q.Reset(start)
	q.Fail(start, old)
	is.True(q.Advance(start).IsZero())
	<-old.Start
}

// Guards against a caller that is overtaken after a failed attempt, and against a
// queue without a limit.
func TestOrderAndLimit(t *testing.T) {
	is := is.New(t)
	q := turns.New(turns.WithRunning(1), turns.WithWaiting(2))
	first, err := q.Add()
	is.NoErr(err)
	q.Advance(start)
	second, err := q.Add()
	is.NoErr(err)
	_, err = q.Add()
	is.NoErr(err)
	_, err = q.Add()
	var full *turns.FullError
	is.True(errors.As(err, &full))
	is.Equal(full.Waiting, 2)

	q.Fail(start, first)
	is.Equal(q.Advance(start), start.Add(turns.DefaultInterval))
	is.True(q.Advance(start.Add(turns.DefaultInterval)).IsZero())
	<-first.Start
	q.Succeed(first)
	q.Advance(start.Add(turns.DefaultInterval))
	<-second.Start
}

// Guards against a place that is given back twice, so that more callers try at a time
// than allowed.
func TestLeaveAfterTheEndHasNoEffect(t *testing.T) {
	is := is.New(t)
	q := turns.New(turns.WithRunning(1))
	first, err := q.Add()
	is.NoErr(err)
	for range 2 {
		_, err := q.Add()
		is.NoErr(err)
	}
	q.Advance(start)
	q.Succeed(first)
	q.Leave(first)
	q.Advance(start)
	is.Equal(q.Waiting(), 1)
}

// Guards against a queue that stops for ever in some order of events.
func TestCallersAreServedAfterAnyOrder(t *testing.T) {
	for seed := range int64(200) {
		rnd := rand.New(rand.NewSource(seed))
		q := turns.New(turns.WithRunning(3))
		now := start
		var running, waiting []*turns.Turn
		for range 300 {
			now = now.Add(time.Duration(rnd.Intn(10)) * time.Millisecond)
			switch event := rnd.Intn(6); {
			case event == 0:
				turn, err := q.Add()
				is.New(t).NoErr(err)
				waiting = append(waiting, turn)
			case event == 1:
				q.Reset(now)
			case event == 2 && len(waiting) > 0:
				q.Leave(waiting[0])
				waiting = waiting[1:]
			case len(running) == 0:
			case event == 3:
				q.Succeed(running[0])
				running = running[1:]
			case event == 4:
				q.Fail(now, running[0])
				waiting = append(waiting, running[0])
				running = running[1:]
			case event == 5:
				q.Leave(running[0])
				running = running[1:]
			}
			q.Advance(now)
			running, waiting = started(running, waiting)
		}
		for range 1000 {
			now = now.Add(turns.DefaultInterval)
			for _, turn := range running {
				q.Succeed(turn)
			}
			running = nil
			q.Advance(now)
			running, waiting = started(running, waiting)
		}
		if len(waiting)+len(running)+q.Waiting() > 0 {
			t.Fatalf("seed %d: %d callers were not served", seed, len(waiting)+len(running))
		}
	}
}

// started moves the turns that may start to those that run.
func started(running, waiting []*turns.Turn) (nowRunning, stillWaiting []*turns.Turn) {
	for _, turn := range waiting {
		select {
		case <-turn.Start:
			running = append(running, turn)
		default:
			stillWaiting = append(stillWaiting, turn)
		}
	}
	return running, stillWaiting
}
