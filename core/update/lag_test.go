package update_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/update"
)

func ExampleLag() {
	var lag update.Lag
	at := time.Unix(1_800_000_000, 0)
	lag.Apply(at, 4)
	lag.Hear(at.Add(time.Second), 5)
	lag.Hear(at.Add(3*time.Second), 6)
	fmt.Println(lag.Behind(at.Add(4 * time.Second)))
	fmt.Println(lag.Apply(at.Add(4*time.Second), 5))
	fmt.Println(lag.Behind(at.Add(4 * time.Second)))
	// Output:
	// 3s 6
	// 3s
	// 1s 6
}

// Guards against a lag that begins anew with each further revision, so that an
// entry that never catches up seems to lag little.
func TestLagCountsFromTheFirstRevision(t *testing.T) {
	is := is.New(t)
	var lag update.Lag
	for n := range 100 {
		lag.Hear(start.Add(time.Duration(n)*time.Second), uint64(n+1))
	}
	lag.Hear(start.Add(time.Hour), 7) // known
	behind, newest := lag.Behind(start.Add(100 * time.Second))
	is.Equal(behind, 100*time.Second)
	is.Equal(newest, uint64(100))
	lag.Apply(start.Add(100*time.Second), 100)
	behind, _ = lag.Behind(start.Add(200 * time.Second))
	is.Equal(behind, time.Duration(0))
}

// Guards against an entry that counts as lagging for ever because of a revision that it
// cannot parse, or that no replica in reach has.
func TestLagForgetsWhatCannotBeApplied(t *testing.T) {
	is := is.New(t)
	var lag update.Lag
	lag.Apply(start, 1)
	lag.Hear(start, 2)
	lag.Refuse(2)
	lag.Hear(start, 2) // announced once more
	behind, _ := lag.Behind(start.Add(time.Minute))
	is.Equal(behind, time.Duration(0))
	lag.Hear(start.Add(time.Minute), 3)
	lag.Hear(start.Add(2*time.Minute), 5)
	lag.Retain(4)
	behind, newest := lag.Behind(start.Add(3 * time.Minute))
	is.Equal(behind, 2*time.Minute)
	is.Equal(newest, uint64(3))
	lag.Retain(0)
	behind, _ = lag.Behind(start.Add(3 * time.Minute))
	is.Equal(behind, time.Duration(0))
	lag.Hear(start.Add(4*time.Minute), 3)
	behind, _ = lag.Behind(start.Add(5 * time.Minute))
	is.Equal(behind, time.Minute)
}
