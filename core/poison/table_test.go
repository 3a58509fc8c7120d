package poison_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/poison"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func crash(p byte, target int, at time.Time) poison.Crash {
	return poison.Crash{
		Print:  poison.Print{p},
		Victim: poison.Victim{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(target >> 8), byte(target)}), 80), Start: 1},
		At:     at,
	}
}

func Example() {
	t := poison.New(poison.WithHold(time.Minute))
	for target := range 3 {
		_, quarantined := t.Record(start, crash(1, target, start))
		fmt.Println(quarantined)
	}
	fmt.Println(t.Quarantined(start.Add(10*time.Second), poison.Print{1}))
	// Output:
	// false
	// false
	// true
	// 50s true
}

// Guards against a request that is quarantined because of one crash that several
// entries or attempts saw, and against one that is quarantined although targets
// answer it.
func TestOnlyUnansweredCrashesOfSeveralTargetsCount(t *testing.T) {
	is := is.New(t)
	table := poison.New()
	isNew, _ := table.Record(start, crash(1, 1, start))
	is.True(isNew)
	for range 10 {
		isNew, quarantined := table.Record(start, crash(1, 1, start))
		is.True(!isNew && !quarantined)
	}
	table.Record(start, crash(1, 2, start))
	is.True(table.Answered(poison.Print{1}, start.Add(time.Second)))
	is.True(!table.Answered(poison.Print{1}, start.Add(2*time.Second))) // nothing is left
	late, _ := table.Record(start.Add(3*time.Second), crash(1, 3, start))
	is.True(!late) // before the answer
	for target := 4; target < 6; target++ {
		table.Record(start.Add(3*time.Second), crash(1, target, start.Add(3*time.Second)))
	}
	_, held := table.Quarantined(start.Add(4*time.Second), poison.Print{1})
	is.True(!held)
	_, quarantined := table.Record(start.Add(4*time.Second), crash(1, 6, start.Add(4*time.Second)))
	is.True(quarantined)
}

// Guards against a request that is tried again soon and often after its
// quarantine.
func TestQuarantineGrowsWithFurtherCrashes(t *testing.T) {
	is := is.New(t)
	table := poison.New(poison.WithHold(time.Minute))
	now := start
	for target := range 3 {
		table.Record(now, crash(1, target, now))
	}
	for trial, hold := range []time.Duration{time.Minute, 2 * time.Minute, 4 * time.Minute} {
		left, held := table.Quarantined(now, poison.Print{1})
		is.True(held)
		is.Equal(left, hold)
		now = now.Add(hold)
		_, held = table.Quarantined(now, poison.Print{1})
		is.True(!held)
		table.Record(now, crash(1, 10+trial, now))
	}
}

// Guards against innocent requests that are refused because they were running at
// targets which another request crashed. Of 200 requests, one crashes each target
// that runs it; the others come back after their targets have crashed.
func TestInnocentRequestsAreNotQuarantined(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	table := poison.New()
	innocent := func() byte { return byte(1 + rng.IntN(200)) }
	victims := 0
	for ; victims < 30; victims++ {
		now := start.Add(time.Duration(victims) * 100 * time.Millisecond)
		if _, held := table.Quarantined(now, poison.Print{0}); held {
			break
		}
		running := []byte{0, innocent(), innocent(), innocent(), 201} // the last one runs everywhere
		rng.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
		for _, p := range running {
			table.Record(now, crash(p, victims, now))
		}
		table.Answered(poison.Print{201}, now.Add(50*time.Millisecond))
	}
	is.Equal(victims, 3)
	for p := 1; p <= 201; p++ {
		_, held := table.Quarantined(start.Add(time.Second), poison.Print{byte(p)})
		is.True(!held)
	}
	// Requests that were running at these targets start from the beginning again.
	for target := range 2 {
		at := start.Add(2 * time.Second)
		table.Record(at, crash(201, 100+target, at))
	}
	_, held := table.Quarantined(start.Add(3*time.Second), poison.Print{201})
	is.True(!held)
}

// Guards against a table that grows without bound or drops its quarantines for
// requests that crashed one target.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := poison.New()
	is.Equal(table.Len(), 0)
	for target := range 3 {
		table.Record(start, crash(7, target, start))
	}
	for n := range 5000 {
		c := crash(0, 1000+n, start.Add(time.Second))
		c.Print = poison.Print{1, byte(n >> 8), byte(n)}
		table.Record(start.Add(time.Second), c)
	}
	is.True(table.Len() <= 1024)
	_, held := table.Quarantined(start.Add(2*time.Second), poison.Print{7})
	is.True(held)
	is.Equal(len(table.Held(start.Add(2*time.Second))), 3)
	table.Record(start.Add(time.Hour), crash(9, 1, start.Add(time.Hour)))
	is.Equal(table.Len(), 1)
}

// Guards against quarantines while they are disabled.
func TestQuarantineCanBeDisabled(t *testing.T) {
	is := is.New(t)
	table := poison.New(poison.WithHold(0))
	for target := range 5 {
		table.Record(start, crash(1, target, start))
	}
	_, held := table.Quarantined(start, poison.Print{1})
	is.True(!held)
}

// Guards against a request whose quarantine no longer starts again after so many
// crashes that not all of them are kept.
func TestQuarantineStartsAgainAfterManyCrashes(t *testing.T) {
	is := is.New(t)
	table := poison.New(poison.WithHold(time.Minute))
	now := start
	for target := range 40 {
		table.Record(now, crash(1, target, now))
		left, held := table.Quarantined(now, poison.Print{1})
		is.Equal(held, target >= 2)
		now = now.Add(max(0, left))
	}
}
