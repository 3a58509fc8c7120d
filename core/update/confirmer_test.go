package update_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/update"
)

// simulateConfirmation returns the time until an instance that starts has the first
// confirmation, of three replicas of which two do not answer for 2 s. It asks the
// replica at the position first.
func simulateConfirmation(first int, opts ...update.ConfirmerOption) time.Duration {
	const answering = 2
	replicas := []string{"a", "b", "c"}
	c := update.NewConfirmer(30*time.Second, append(opts, update.WithFirst(first))...)
	answers := map[string]time.Time{}
	for now := start; ; now = now.Add(10 * time.Millisecond) {
		for name, at := range answers {
			if now.Before(at) {
				continue
			}
			if name == replicas[answering] {
				return now.Sub(start)
			}
			c.Answered(name)
			delete(answers, name)
		}
		if i, ok := c.Ask(now, false, replicas); ok {
			answers[replicas[i]] = now.Add(2 * time.Second)
			if i == answering {
				answers[replicas[i]] = now.Add(50 * time.Millisecond)
			}
		}
	}
}

// Guards against a restarted entry that is not ready for seconds, since it waits for a
// replica that is cut off while others could answer. The naive variant asks one at a time.
func TestConfirmationDoesNotWaitForOneReplica(t *testing.T) {
	is := is.New(t)
	for first := range 3 {
		is.True(simulateConfirmation(first) <= 600*time.Millisecond)
	}
	is.True(simulateConfirmation(0, update.WithHedgeDelay(time.Hour)) > 4*time.Second)
}

// Guards against confirmations of ready entries that cost more than one round of the
// control group per interval.
func TestReadyInstanceAsksOnceAnInterval(t *testing.T) {
	is := is.New(t)
	c := update.NewConfirmer(30 * time.Second)
	asked := 0
	for now := start; now.Before(start.Add(5 * time.Minute)); now = now.Add(100 * time.Millisecond) {
		if i, ok := c.Ask(now, true, []string{"a", "b"}); ok {
			asked++
			c.Answered([]string{"a", "b"}[i])
		}
	}
	is.Equal(asked, 10)
	_, ok := c.Ask(start.Add(time.Hour), true, []string{"a"})
	is.True(ok)
	_, ok = c.Ask(start.Add(2*time.Hour), true, []string{"a", "b"})
	is.True(!ok) // the first has not answered
}

// Guards against a view that ages because one replica of three does not answer or answers
// late, and against more calls than needed.
func TestFrequentCallsPassOverSilentReplicas(t *testing.T) {
	for name, delay := range map[string]time.Duration{"silent": 2 * time.Second, "late": 900 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			replicas := []string{"a", "b", "c"}
			c := update.NewConfirmer(30 * time.Second)
			c.SetFrequent(update.FrequentInterval(5 * time.Second))
			type call struct {
				replica      string
				asked, until time.Time
			}
			var calls []call
			asks, confirmed := 0, start
			end := start.Add(time.Minute)
			for now := start; now.Before(end); now = now.Add(50 * time.Millisecond) {
				calls = slices.DeleteFunc(calls, func(k call) bool {
					if now.Before(k.until) {
						return false
					}
					c.Answered(k.replica)
					if k.replica != "a" || name == "late" {
						c.Confirmed(k.asked)
						confirmed = k.asked
					}
					return true
				})
				if i, ok := c.Ask(now, true, replicas); ok {
					asks++
					until := now.Add(50 * time.Millisecond)
					if replicas[i] == "a" {
						until = now.Add(delay)
					}
					calls = append(calls, call{replicas[i], now, until})
				}
				is.True(now.Sub(confirmed) < 2*time.Second)
			}
			is.True(asks <= 90)
		})
	}
}
