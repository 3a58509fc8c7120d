package budget_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/budget"
)

// scene opens connections by name and records which are given up.
type scene struct {
	budget *budget.Budget
	given  []string
}

// open opens a connection that ends as soon as it is given up.
func (s *scene) open(name string) (*budget.Holder, *budget.Charge) {
	h, c, _ := s.openRequest(name, -1)
	return h, c
}

// openRequest is like open, with a request at a stage if that is not negative.
func (s *scene) openRequest(name string, stage budget.Stage) (h *budget.Holder, conn, request *budget.Charge) {
	h = s.budget.Open(func() {
		s.given = append(s.given, name)
		request.End()
		h.Close()
	})
	if stage >= 0 {
		request = h.Request(stage)
	}
	return h, h.Charge(), request
}

// Guards against ordinary connections that are given up instead of the one that holds
// most, against bytes that stay in use after their connection, and against a connection
// that is given up twice.
func TestLargestHolderIsGivenUp(t *testing.T) {
	is := is.New(t)
	s := scene{budget: budget.New(100)}
	small, smallCharge := s.open("small")
	_, large := s.open("large")
	_, other := s.open("other")
	is.True(smallCharge.Add(10))
	is.True(large.Add(60))
	is.True(other.Set(30))
	is.Equal(s.budget.Used(), int64(100))
	is.Equal(len(s.given), 0)
	is.True(smallCharge.Add(1))
	is.Equal(s.given, []string{"large"})
	is.Equal(s.budget.Used(), int64(41))
	is.True(!large.Add(50)) // of a connection that is gone
	is.Equal(s.budget.Used(), int64(41))
	is.True(other.Set(5))
	is.Equal(s.budget.Used(), int64(16))
	small.Close()
	small.Close()
	is.True(!smallCharge.Add(90))
	is.Equal(s.budget.Used(), int64(5))
	is.True(!other.Add(100)) // one connection alone does not exceed the budget either
	is.Equal(s.given, []string{"large"})
	is.Equal(s.budget.Used(), int64(5))
}

// Guards against memory that is used a second time while the connection that was given up
// for it still holds it.
func TestBytesAreGrantedWhenTheirHolderHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := budget.New(100)
		closed := 0
		old := b.Open(func() { closed++ })
		is.True(old.Charge().Add(80))
		request := old.Request(budget.Body)
		is.True(request.Add(10))
		results := make(chan bool, 2)
		for range 2 {
			h := b.Open(func() {})
			go func() { results <- h.Charge().Add(30) }()
			synctest.Wait()
		}
		is.Equal(closed, 1)
		is.Equal(len(results), 0)
		old.Close()
		synctest.Wait()
		is.Equal(b.Used(), int64(70)) // the request has not ended, but there is room
		is.Equal(len(results), 2)
		is.True(<-results)
		is.True(<-results)
		request.End()
		is.Equal(b.Used(), int64(60))
	})
}

// Guards against callers who wait for as long as the handler of one connection goes on after
// that was given up, and against one that asks for more than there is and costs all others
// their connections.
func TestAnotherHolderIsGivenUpForOneThatEndsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := scene{budget: budget.New(100)}
		late := s.budget.Open(func() { s.given = append(s.given, "late") })
		is.True(late.Charge().Add(50))
		_, small := s.open("small")
		is.True(small.Add(40))
		h, c := s.open("asking")
		is.True(!c.Add(101))
		is.Equal(len(s.given), 0)
		is.True(c.Add(30))
		is.Equal(s.given, []string{"late", "small"})
		late.Close()
		h.Close()
		is.Equal(s.budget.Used(), int64(0))
	})
}

// Guards against a connection that waits for memory for good although it was closed.
func TestClosedConnectionDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := budget.New(100)
		old := b.Open(func() {})
		is.True(old.Charge().Add(90))
		h := b.Open(func() {})
		result := make(chan bool, 1)
		go func() { result <- h.Charge().Add(50) }()
		synctest.Wait()
		h.Abandon()
		is.True(!<-result)
		h.Close()
		old.Close()
		is.Equal(b.Used(), int64(0))
	})
}

// Guards against a request that a target runs, or a body that goes on, that is given up
// while a connection holds memory whose loss costs its caller less.
func TestStagesAreGivenUpInOrder(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := scene{budget: budget.New(700, budget.WithClock(func() time.Time { return now }))}
	request := func(name string, stage budget.Stage, n int64) *budget.Charge {
		_, _, c := s.openRequest(name, stage)
		is.True(c.Add(n))
		return c
	}
	request("serving", budget.Serving, 200)
	request("forwarding", budget.Forwarding, 150)
	_, idle := s.open("idle")
	is.True(idle.Add(10))
	unread, _, response := s.openRequest("unread", budget.Serving)
	is.True(response.Add(110))
	unread.SetUnread(true)
	request("stopped", budget.Body, 20)
	now = now.Add(time.Second)
	request("large body", budget.Body, 60)
	request("small body", budget.Body, 50)
	head, headCharge := s.open("head")
	head.SetReading(true)
	is.True(headCharge.Add(15))
	_, last := s.open("last")
	for s.budget.Used() < 700 {
		is.True(last.Add(1))
	}
	is.Equal(len(s.given), 0)
	newcomer := request("newcomer", budget.Serving, 1)
	for newcomer.Add(1) {
	}
	is.Equal(s.given, []string{"head", "stopped", "large body", "small body", "unread", "last", "idle", "forwarding"})
	is.Equal(s.budget.Used(), int64(700))
	is.True(!newcomer.TryAdd(1))
}

// Guards against a request that gets no memory although it may have it, or that leaves
// some behind.
func TestRequestsReturnTheirBytes(t *testing.T) {
	is := is.New(t)
	b := budget.New(100)
	h := b.Open(func() {})
	c := h.Request(budget.Body)
	is.True(c.TryAdd(60))
	is.True(!c.TryAdd(60))
	c.SetStage(budget.Serving)
	c.Advance()
	is.True(c.Add(-20))
	is.Equal(b.Used(), int64(40))
	c.End()
	is.True(!c.TryAdd(1)) // an attempt may outlive its request
	is.True(!c.Add(1))
	is.True(c.Add(-1))
	is.Equal(b.Used(), int64(0))
	again := h.Request(budget.Serving)
	is.True(again.Add(100))
	h.Close()
	is.Equal(b.Used(), int64(100)) // its handler has not returned
	again.End()
	is.Equal(b.Used(), int64(0))
}

// Guards against a process without a bound that fails where it should count nothing.
func TestNoBound(t *testing.T) {
	is := is.New(t)
	b := budget.New(0)
	h := b.Open(nil)
	is.True(h.Charge().Add(1 << 40))
	is.True(h.Request(budget.Body).TryAdd(1 << 40))
	h.SetReading(true)
	h.SetUnread(true)
	is.True(budget.FromContext(budget.WithCharge(context.Background(), h.Charge())).Set(1))
	h.Abandon()
	h.Close()
	is.Equal(b.Used()+b.Limit(), int64(0))
}
