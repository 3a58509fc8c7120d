package roll_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/bench/roll"
)

// Guards against a check that cannot fail: a change that one of two entries never
// applies, or applies late, is found, and entries that do not count are left out.
func TestCheckFindsLateChanges(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	var r roll.Record
	inTime, _ := r.Start("in-time", at(0))
	late, _ := r.Start("late", at(0))
	_, _ = r.Start("never", at(0))
	_, ended := r.Start("ended", at(0))
	_, _ = r.Start("young", at(8))
	ended(at(11))
	r.Accept(at(10), 7)
	inTime(at(9.9), 7)
	late(at(12.6), 8)
	found, delays := r.Check(at(20))
	is.Equal(len(delays), 3)
	is.Equal(found, []roll.Late{
		{Entry: "late", Revision: 7, Delay: 2600 * time.Millisecond, Applied: true},
		{Entry: "never", Revision: 7, Delay: 10 * time.Second},
	})
	r.Disturb(at(9))
	found, _ = r.Check(at(20))
	is.Equal(len(found), 1)
}
