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

// Guards against a restart that loses or repeats changes, and against a conflict as
// the answer to a change that is sent again because its answer was lost.
func TestRestartAfterManyChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	changes := 500
	if testing.Short() {
		changes = 60
	}
	r := startGroup(t, 1)[0]
	first := r.submitUntilAnswered(0, "lost", serviceText(0))
	for i := range changes {
		status, _ := r.submit(uint64(i+1), fmt.Sprint("change-", i), serviceText(i+1))
		is.Equal(status, http.StatusOK)
	}
	_, before := r.request(http.MethodGet, "/v1/history", nil)
	r.stop()
	r.restart()
	is.Equal(r.submitUntilAnswered(0, "lost", serviceText(0)), first)
	_, after := r.request(http.MethodGet, "/v1/history", nil)
	is.Equal(after, before)
	_, text := r.request(http.MethodGet, "/v1/text", nil)
	is.Equal(text["revision"].(map[string]any)["number"], float64(changes+1))
	status, _ := r.submit(uint64(changes+1), "next", serviceText(changes+1))
	is.Equal(status, http.StatusOK)
}

// Guards against accepting the changes of two operators with the same base
// revision, and against a conflict that does not name the accepted change.
func TestOperatorsRaceOnOneBase(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	group := startGroup(t, 3)
	group[0].submitUntilAnswered(0, "first", serviceText(0))
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
				doc := group[i%3].submitUntilAnswered(base, change, serviceText(i))
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

// awaitVoters waits until every replica votes. A founder that missed the founding
// does not vote until it has recovered.
func awaitVoters(group []*replica) {
	for _, r := range group {
		for role := ""; role != "leader" && role != "follower"; {
			_, doc := r.request(http.MethodGet, "/v1/status", nil)
			local, _ := doc["replica"].(map[string]any)
			role, _ = local["role"].(string)
		}
	}
}

// awaitLeader waits for a running leader and returns its index.
func awaitLeader(group []*replica) int {
	for {
		for _, r := range group {
			if r.cancel == nil {
				continue
			}
			_, doc := r.request(http.MethodGet, "/v1/replicas", nil)
			if id, ok := doc["leader"].(float64); ok && id != 0 && group[int(id)-1].cancel != nil {
				return int(id) - 1
			}
		}
	}
}

// Guards against changes that are lost, reverted or refused when the leader stops,
// and against a leader that stops without transferring leadership.
func TestLeaderStops(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	group := startGroup(t, 3)
	group[0].submitUntilAnswered(0, "first", serviceText(0))
	awaitVoters(group)
	stopped := awaitLeader(group)
	group[stopped].stop()
	next := group[(stopped+1)%3]
	is.Equal(next.submitUntilAnswered(1, "second", serviceText(1))["revision"], 2.0)
	is.True(awaitLeader(group) != stopped)
	group[stopped].restart()
	is.Equal(group[stopped].submitUntilAnswered(2, "third", serviceText(2))["revision"], 3.0)
	for _, r := range group {
		_, doc := r.request(http.MethodGet, "/v1/text", nil)
		is.Equal(doc["confirmed"], true)
		is.Equal(doc["revision"].(map[string]any)["change"], "third")
	}
}

// Guards against the loss of an accepted change when a replica restarts with an
// empty data directory and another replica fails right after it.
func TestLostDiskAndAnotherFailure(t *testing.T) {
	t.Parallel()
	t.Run("found removed", func(t *testing.T) { t.Parallel(); testLostDisk(t, false) })
	t.Run("found left", func(t *testing.T) { t.Parallel(); testLostDisk(t, true) })
}

func testLostDisk(t *testing.T, found bool) {
	is := is.New(t)
	group := startGroup(t, 3)
	group[0].submitUntilAnswered(0, "first", serviceText(0))
	awaitVoters(group)
	lost := (awaitLeader(group) + 1) % 3
	group[lost].stop()
	is.NoErr(os.RemoveAll(group[lost].settings.Data))
	other := group[(lost+1)%3]
	is.Equal(other.submitUntilAnswered(1, "second", serviceText(1))["revision"], 2.0)
	group[lost].restartWith(found)
	// The replica answers only after it has caught up.
	is.Equal(group[lost].submitUntilAnswered(2, "third", serviceText(2))["revision"], 3.0)
	awaitVoters(group[lost : lost+1])
	other.stop()
	is.Equal(group[lost].submitUntilAnswered(3, "fourth", serviceText(3))["revision"], 4.0)
	_, doc := group[lost].request(http.MethodGet, "/v1/history", nil)
	is.Equal(len(doc["revisions"].([]any)), 4)
}

// Guards against an answer that reports a change as not applied although it may be
// accepted later, and against confirmed answers of a minority.
func TestWithoutMajority(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	group := startGroup(t, 3)
	group[0].submitUntilAnswered(0, "first", serviceText(0))
	awaitVoters(group)
	group[1].stop()
	group[2].stop()
	const wait = 200 * time.Millisecond
	status, doc := group[0].requestWithin(wait, http.MethodPost, "/v1/submit", map[string]any{"base": 1, "change": "second", "text": serviceText(1)})
	is.True(status == http.StatusServiceUnavailable && doc["run"] == "no" || status == http.StatusGatewayTimeout && doc["run"] == "unknown")
	_, doc = group[0].requestWithin(wait, http.MethodGet, "/v1/text", nil)
	is.Equal(doc["confirmed"], false)
	group[1].restart()
	is.Equal(group[0].submitUntilAnswered(1, "second", serviceText(1))["revision"], 2.0)
}
