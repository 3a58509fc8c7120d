package budget_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/budget"
)

// Guards against ordinary connections that are given up instead of the one that holds
// most, against bytes that stay in use after their connection, and against a connection
// that is given up twice.
func TestLargestHolderIsGivenUp(t *testing.T) {
	is := is.New(t)
	b := budget.New(100)
	var given []string
	open := func(name string) (*budget.Holder, *budget.Charge) {
		h := b.Open(func() { given = append(given, name) })
		return h, h.Charge()
	}
	small, smallCharge := open("small")
	_, large := open("large")
	_, other := open("other")
	smallCharge.Add(10)
	large.Add(60)
	other.Set(30)
	is.Equal(b.Used(), int64(100))
	is.Equal(len(given), 0)
	smallCharge.Add(1)
	is.Equal(given, []string{"large"})
	is.Equal(b.Used(), int64(41))
	large.Add(50) // of a connection that is gone
	is.Equal(b.Used(), int64(41))
	other.Set(5)
	is.Equal(b.Used(), int64(16))
	small.Close()
	small.Close()
	smallCharge.Add(90)
	is.Equal(b.Used(), int64(5))
	other.Add(100) // one connection alone does not exceed the budget either
	is.Equal(given, []string{"large", "other"})
	is.Equal(b.Used(), int64(0))
}

// Guards against a process without a bound that fails where it should count nothing.
func TestNoBound(t *testing.T) {
	is := is.New(t)
	b := budget.New(0)
	h := b.Open(nil)
	h.Charge().Add(1 << 40)
	budget.FromContext(budget.WithCharge(context.Background(), h.Charge())).Set(1)
	h.Close()
	is.Equal(b.Used()+b.Limit(), int64(0))
}
