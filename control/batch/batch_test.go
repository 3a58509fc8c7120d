package batch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/control/batch"
	"github.com/galenalock/galenalock/core/wire"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// messagesPerSecond plays reports of the entries of one region, four a second of
// each, and returns the messages a second that one entry gets and the longest wait
// of a report. It checks that every entry gets each report of the others once.
func messagesPerSecond(t *testing.T, entries int, opts ...batch.Option) (float64, time.Duration) {
	t.Helper()
	const span, step, rate = 5 * time.Second, time.Millisecond, 4.0
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, uint64(entries)))
	b := batch.New[wire.Suspect](opts...)
	name := func(i int) string { return fmt.Sprint("e", i) }
	sent, messages, own, received := 0, 0, 0, 0
	longest := time.Duration(0)
	for now := start; now.Before(start.Add(span)); now = now.Add(step) {
		for i := range entries {
			if rng.Float64() < rate*step.Seconds() {
				sent++
				if i == 0 {
					own++
				}
				b.Add(now, name(i), "salish", []wire.Suspect{{Start: int64(sent)}}, true)
			}
		}
		if due, ok := b.Next(); !ok || now.Before(due) {
			continue
		}
		region := b.Flush(now)["salish"]
		is.Equal(len(region.All()), len(region.Direct()))
		for _, s := range region.All() {
			longest = max(longest, s.Age)
		}
		is.Equal(region.Reported(name(0)), len(region.Except(name(0))) < len(region.All()))
		if list := region.Except(name(0)); len(list) > 0 {
			messages++
			received += len(list)
		}
	}
	for _, s := range b.Flush(start.Add(span))["salish"].Except(name(0)) {
		is.True(s.Start > 0)
		received++
	}
	is.Equal(received, sent-own)
	return float64(messages) / span.Seconds(), longest
}

// Guards against messages to one entry that grow with the number of entries, as
// they do without a delay, and against reports that wait for long.
func TestMessagesDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	const bound = float64(time.Second / batch.Delay)
	for _, entries := range []int{15, 150, 600} {
		naive, _ := messagesPerSecond(t, entries, batch.WithDelay(0))
		batched, longest := messagesPerSecond(t, entries)
		t.Logf("%d entries: %.0f messages a second, without a delay %.0f; longest wait %s", entries, batched, naive, longest)
		is.True(batched <= bound)
		is.True(longest <= batch.Delay)
		if entries > 100 {
			is.True(naive > 2*bound)
		}
	}
}

// Guards against a single report that waits for others.
func TestSingleReportIsDueAtOnce(t *testing.T) {
	is := is.New(t)
	b := batch.New[wire.Suspect]()
	_, ok := b.Next()
	is.True(!ok)
	b.Add(start, "e1", "salish", []wire.Suspect{{}}, false)
	due, ok := b.Next()
	is.True(ok && !due.After(start))
	region := b.Flush(start)["salish"]
	is.Equal(len(region.Except("e1")), 0)
	is.Equal(len(region.Except("e2")), 1)
	is.Equal(len(region.Direct()), 0)
}
