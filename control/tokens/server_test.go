package tokens_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/control/tokens"
	"github.com/galenalock/galenalock/core/bucket"
	"github.com/galenalock/galenalock/core/wire"
)

const text = "[[service]]\nname = \"s\"\nfloor = \"80%\"\n[[workspace]]\nname = \"a\"\nservices = [\"s\"]\nrate = 10.0\nburst = 5.0\n"

// replica is a replica whose group is replaced by fields.
type replica struct {
	mu     sync.Mutex
	office tokens.Office
	read   error // of reads from now on
	texts  []string

	cut    atomic.Bool  // the leader does not answer
	calls  atomic.Int64 // of the leader
	server *tokens.Server
}

// set changes the fields of the group.
func (r *replica) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// newReplica returns a replica of a group of two that replica 1 leads. A replica calls the
// leader, which is nil for the leader itself.
func newReplica(self uint64, leader *replica) *replica {
	start := time.Now()
	r := &replica{office: tokens.Office{Self: self, Leader: 1, Term: 1}, texts: []string{text}}
	r.server = tokens.New(tokens.Dependencies{
		ID: self, Replicas: func() int { return 2 },
		Office: func() (o tokens.Office) { r.set(func() { o = r.office }); return o },
		Read: func(ctx context.Context) (err error) {
			r.set(func() { err = r.read })
			if err != nil {
				<-ctx.Done()
			}
			return err
		},
		Newest: func() (n uint64) { r.set(func() { n = uint64(len(r.texts)) }); return n },
		Text: func(n uint64) (source []byte, ok bool) {
			r.set(func() { source = []byte(r.texts[n-1]) })
			return source, true
		},
		Call: func(ctx context.Context, _ uint64, _ wire.Kind, body, answer any) error {
			r.calls.Add(1)
			if leader == nil || r.cut.Load() {
				<-ctx.Done()
				return ctx.Err()
			}
			batch := body.(wire.TokenBatch)
			batch.Replica.Entry = self
			out, err := leader.server.ServeBatch(ctx, self, batch)
			*answer.(*wire.TokenBatchAnswer) = out
			return err
		},
		Clock: func() time.Duration { return time.Since(start) },
	})
	r.server.LeaderChanged()
	return r
}

// awaitIdle waits until the replicas no longer send batches on their own, and until
// those that were sent have timed out: a bubble must not end with blocked goroutines.
func awaitIdle() { <-time.After(time.Minute) }

// question asks for tokens of workspace "a".
func question(entry uint64, want int) wire.TokenRequest {
	directory := bucket.NewDirectory([]bucket.Workspace{{Name: "a"}})
	return wire.TokenRequest{Entry: entry, List: []wire.TokenDemand{{Workspace: directory.Number("a"), Want: want}}}
}

// Guards against a leader that grants tokens although it may have been replaced, and
// against one that grants them right after it was elected.
func TestLeaderGrantsWithinItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer awaitIdle()
		is := is.New(t)
		r := newReplica(1, nil)
		ask := func() (wire.TokenBatchAnswer, error) {
			return r.server.ServeBatch(t.Context(), 1, wire.TokenBatch{List: []wire.TokenRequest{question(7, 3)}})
		}
		answer, err := ask()
		is.NoErr(err)
		is.True(answer.Pending)
		<-time.After(10 * time.Second)
		answer, err = ask()
		is.NoErr(err)
		is.Equal(answer.List[0].List[0].Tokens, 3)

		r.set(func() { r.read = errors.New("no majority") })
		<-time.After(bucket.LeaseTime)
		_, err = ask()
		var fault *wire.FaultError
		is.True(errors.As(err, &fault))

		r.set(func() { r.read, r.office.Term = nil, 2 }) // it was replaced and elected again
		r.server.LeaderChanged()
		answer, err = ask()
		is.NoErr(err)
		is.True(answer.Pending)
		r.set(func() { r.office.Leader = 2 })
		_, err = ask()
		is.True(errors.As(err, &fault))
		is.Equal(fault.Code, "notleader")
	})
}

// Guards against a message to the leader for each question, and against answers that
// reach another entry.
func TestQuestionsAreForwardedInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer awaitIdle()
		is := is.New(t)
		leader := newReplica(1, nil)
		follower := newReplica(2, leader)
		<-time.After(10 * time.Second)
		follower.calls.Store(0)
		granted := make(chan bool, 100)
		for i := range 100 {
			go func() {
				answer, err := follower.server.Serve(t.Context(), question(uint64(i), i%2))
				granted <- err == nil && len(answer.List) == 1 && (i%2 == 1 || answer.List[0].Tokens == 0)
			}()
		}
		for range 100 {
			is.True(<-granted)
		}
		is.True(follower.calls.Load() <= 2)
	})
}

// Guards against entries without tokens while there is no leader although the replica was
// promised a rate, and against a replica that goes on for longer than the leader allows.
func TestReplicaContinuesWithoutTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer awaitIdle()
		is := is.New(t)
		leader := newReplica(1, nil)
		follower := newReplica(2, leader)
		<-time.After(10 * time.Second)
		// granted asks for one token ten times a second, as often as the limit permits.
		granted := func(d time.Duration) (tokens int, standby bool) {
			for range d / (100 * time.Millisecond) {
				<-time.After(100 * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
				if a, err := follower.server.Serve(ctx, question(7, 1)); err == nil && len(a.List) == 1 {
					tokens, standby = tokens+a.List[0].Tokens, a.Standby
				}
				cancel()
			}
			return tokens, standby
		}
		granted(10 * time.Second)
		follower.cut.Store(true)
		tokens, standby := granted(3 * time.Second)
		is.True(standby)
		is.True(tokens >= 8 && tokens <= 18) // 0.6 of the rate at first
		granted(1500 * time.Millisecond)
		tokens, _ = granted(5 * time.Second)
		is.Equal(tokens, 0)
		follower.cut.Store(false)
		<-time.After(time.Second)
		tokens, standby = granted(2 * time.Second)
		is.True(tokens >= 18 && !standby)
	})
}

// Guards against a leader that grants by the limits of an earlier text, or nothing after
// it got a text that it cannot parse.
func TestLimitsFollowTheNewestText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer awaitIdle()
		is := is.New(t)
		r := newReplica(1, nil)
		<-time.After(10 * time.Second)
		granted := func(want int) int {
			answer, err := r.server.Serve(t.Context(), question(7, want))
			is.NoErr(err)
			return answer.List[0].Tokens
		}
		is.Equal(granted(1), 1)
		r.set(func() { r.texts = append(r.texts, "[") })
		is.Equal(granted(1), 1)
		synctest.Wait()
		is.Equal(granted(1), 1)
		r.set(func() { r.texts = append(r.texts, strings.ReplaceAll(text, "10.0", "1000.0")) })
		granted(1)
		synctest.Wait() // the text has been parsed
		granted(1)
		<-time.After(10 * time.Second)
		is.True(granted(1000) >= 50) // the depth of the larger bucket
	})
}
