package daemon_test

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a restart that loses or replays changes, and against a resend
// after a lost answer that is answered as a conflict.
func TestRestartAfterManyChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	changes := 500
	if testing.Short() {
		changes = 60
	}
	r := startGroup(t, 1)[0]
	first := r.settle(0, "lost", serviceText(0))
	for i := range changes {
		status, _ := r.submit(uint64(i+1), fmt.Sprint("change-", i), serviceText(i+1))
		is.Equal(status, http.StatusOK)
	}
	_, before := r.ask(http.MethodGet, "/v1/history", nil)
	r.stop()
	r.restart()
	is.Equal(r.settle(0, "lost", serviceText(0)), first)
	_, after := r.ask(http.MethodGet, "/v1/history", nil)
	is.Equal(after, before)
	_, text := r.ask(http.MethodGet, "/v1/text", nil)
	is.Equal(text["revision"].(map[string]any)["number"], float64(changes+1))
	status, _ := r.submit(uint64(changes+1), "next", serviceText(changes+1))
	is.Equal(status, http.StatusOK)
}

// Guards against two operators who both believe that their change was made
// from the newest revision, and against a conflict that does not name the winner.
func TestOperatorsRaceOnOneBase(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	group := startGroup(t, 3)
	group[0].settle(0, "first", serviceText(0))
	const operators = 6
	for round := range 5 {
		base := uint64(round + 1)
		var mu sync.Mutex
		var winners []string
		named := map[string]int{}
		var wait sync.WaitGroup
		for i := range operators {
			change := fmt.Sprintf("round-%d-operator-%d", round, i)
			wait.Go(func() {
				doc := group[i%3].settle(base, change, serviceText(i))
				mu.Lock()
				defer mu.Unlock()
				if doc["outcome"] == "accepted" {
					winners = append(winners, change)
				}
				named[fmt.Sprint(doc["revision"], " ", doc["change"])]++
			})
		}
		wait.Wait()
		is.Equal(len(winners), 1)
		is.Equal(named, map[string]int{fmt.Sprint(base+1, " ", winners[0]): operators})
	}
}

// formed waits until every replica votes. A founder that the others did not
// wait for recovers first, and does not vote until it has.
func formed(group []*replica) {
	for _, r := range group {
		for role := ""; role != "leader" && role != "follower"; {
			_, doc := r.ask(http.MethodGet, "/v1/status", nil)
			local, _ := doc["replica"].(map[string]any)
			role, _ = local["role"].(string)
		}
	}
}

// leader returns the position of the leader.
func leader(group []*replica) int {
	for {
		for _, r := range group {
			if r.cancel == nil {
				continue
			}
			_, doc := r.ask(http.MethodGet, "/v1/replicas", nil)
			if id, ok := doc["leader"].(float64); ok && id != 0 && group[int(id)-1].cancel != nil {
				return int(id) - 1
			}
		}
	}
}

// Guards against changes lost, reverted or refused when the leader stops, and
// against a leader that stops without handing over.
func TestLeaderStops(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	group := startGroup(t, 3)
	group[0].settle(0, "first", serviceText(0))
	formed(group)
	stopped := leader(group)
	group[stopped].stop()
	next := group[(stopped+1)%3]
	is.Equal(next.settle(1, "second", serviceText(1))["revision"], 2.0)
	is.True(leader(group) != stopped)
	group[stopped].restart()
	is.Equal(group[stopped].settle(2, "third", serviceText(2))["revision"], 3.0)
	for _, r := range group {
		_, doc := r.ask(http.MethodGet, "/v1/text", nil)
		is.Equal(doc["confirmed"], true)
		is.Equal(doc["revision"].(map[string]any)["change"], "third")
	}
}

// Guards against a replica that comes back with an empty folder and lets an
// accepted change be lost when another one fails right after.
func TestLostDiskAndAnotherFailure(t *testing.T) {
	t.Parallel()
	t.Run("found removed", func(t *testing.T) { t.Parallel(); lostDisk(t, false) })
	t.Run("found left", func(t *testing.T) { t.Parallel(); lostDisk(t, true) })
}

func lostDisk(t *testing.T, found bool) {
	is := is.New(t)
	group := startGroup(t, 3)
	group[0].settle(0, "first", serviceText(0))
	formed(group)
	lost := (leader(group) + 1) % 3
	group[lost].stop()
	is.NoErr(os.RemoveAll(group[lost].settings.Data))
	other := group[(lost+1)%3]
	is.Equal(other.settle(1, "second", serviceText(1))["revision"], 2.0)
	group[lost].restartAs(found)
	// The replica answers only when it has caught up.
	is.Equal(group[lost].settle(2, "third", serviceText(2))["revision"], 3.0)
	formed(group[lost : lost+1])
	other.stop()
	is.Equal(group[lost].settle(3, "fourth", serviceText(3))["revision"], 4.0)
	_, doc := group[lost].ask(http.MethodGet, "/v1/history", nil)
	is.Equal(len(doc["revisions"].([]any)), 4)
}

// Guards against a refused change that looks failed while it may be accepted,
// and against answers from a minority that claim to be confirmed.
func TestWithoutMajority(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	group := startGroup(t, 3)
	group[0].settle(0, "first", serviceText(0))
	formed(group)
	group[1].stop()
	group[2].stop()
	const wait = 200 * time.Millisecond
	status, doc := group[0].askWithin(wait, http.MethodPost, "/v1/submit", map[string]any{"base": 1, "change": "second", "text": serviceText(1)})
	is.True(status == http.StatusServiceUnavailable && doc["run"] == "no" || status == http.StatusGatewayTimeout && doc["run"] == "unknown")
	_, doc = group[0].askWithin(wait, http.MethodGet, "/v1/text", nil)
	is.Equal(doc["confirmed"], false)
	group[1].restart()
	is.Equal(group[0].settle(1, "second", serviceText(1))["revision"], 2.0)
}
