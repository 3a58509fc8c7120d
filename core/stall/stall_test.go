package stall_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/stall"
)

// Guards against a body that goes on, or has ended, that is given up for other requests,
// and against one that stands still and keeps its room.
func TestBodiesThatStandStillAreGivenUp(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	var table stall.Table
	var given []string
	begin := func(name string) *stall.Transfer {
		x, err := table.Begin(t.Context(), 0, func() { given = append(given, name) })
		is.NoErr(err)
		x.Wait(start)
		return x
	}
	begin("stands still")
	goesOn, slow, whole := begin("goes on"), begin("slow"), begin("whole")
	goesOn.Advance()
	later := start.Add(stall.Time)
	slow.Wait(later.Add(-time.Millisecond))
	whole.End()
	is.Equal(table.Relieve(later.Add(-time.Millisecond)), 0)
	is.Equal(table.Relieve(later), 1)
	is.Equal(given, []string{"stands still"})
	is.Equal(table.Relieve(later), 0)
	var none *stall.Transfer
	none.Wait(start)
	none.Advance()
	none.End()
}

// Guards against bodies that take all room of a service, and against a line that does not
// go on when one ends, stands still or leaves.
func TestFurtherBodiesWaitInLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const limit = 2
		var table stall.Table
		begun := make(chan *stall.Transfer, 8)
		begin := func(ctx context.Context) {
			go func() {
				if x, err := table.Begin(ctx, limit, func() {}); err == nil {
					begun <- x
				}
			}()
			synctest.Wait()
		}
		impatient, leave := context.WithCancel(t.Context())
		for _, ctx := range []context.Context{t.Context(), t.Context(), impatient, t.Context(), t.Context()} {
			begin(ctx)
		}
		is.Equal(len(begun), limit)
		is.Equal(table.Waiting(), 3)
		leave()
		synctest.Wait()
		is.Equal(table.Waiting(), 2)
		first, second := <-begun, <-begun
		first.End()
		first.End()
		synctest.Wait()
		is.Equal(len(begun), 1)
		second.Wait(time.Now())
		is.Equal(table.Relieve(time.Now().Add(stall.Time)), 1)
		synctest.Wait()
		is.Equal(len(begun), 2)
		is.Equal(table.Waiting(), 0)
	})
}
