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
