package relay_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/control/relay"
	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

// confirmAll starts confirmations and returns a function that counts those that
// succeeded.
func confirmAll(t *testing.T, r *relay.Relay, callers int, limit time.Duration) func() int64 {
	var succeeded atomic.Int64
	for range callers {
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			if _, err := r.Confirm(ctx); err == nil {
				succeeded.Add(1)
			}
		}()
	}
	return succeeded.Load
}

// Guards against attempts to confirm that grow with the number of entries that wait for
// a leader, and against entries that are not answered once there is one.
func TestConfirmationsOfManyEntriesShareAttempts(t *testing.T) {
	for _, callers := range []int{50, 150, 443, 1000} {
		t.Run(fmt.Sprint(callers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var attempts atomic.Int64
				var led atomic.Bool
				r := relay.New(relay.LocalReplica{
					Read: func(context.Context) error {
						attempts.Add(1)
						if led.Load() {
							return nil
						}
						return &group.NotLeaderError{}
					},
					View: state.New().View,
				}, relay.NewLinks(), time.Now)
				succeeded := confirmAll(t, r, callers, 3*time.Second)
				<-time.After(time.Second)
				is.True(attempts.Load() <= 52) // one every 20 ms
				led.Store(true)
				r.LeaderChanged()
				synctest.Wait()
				is.Equal(succeeded(), int64(callers))
			})
		})
	}
}

// Guards against a confirmation that started before the call and may not know of a
// revision accepted in between.
func TestConfirmationStartsAfterTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := make(chan struct{}, 10)
		release := make(chan struct{})
		r := relay.New(relay.LocalReplica{
			Read: func(context.Context) error {
				started <- struct{}{}
				<-release
				return nil
			},
			View: state.New().View,
		}, relay.NewLinks(), time.Now)
		first := confirmAll(t, r, 1, time.Minute)
		<-started
		second := confirmAll(t, r, 5, time.Minute)
		synctest.Wait()
		release <- struct{}{}
		synctest.Wait()
		is.Equal(first(), int64(1))
		is.Equal(second(), int64(0))
		<-started
		release <- struct{}{}
		synctest.Wait()
		is.Equal(second(), int64(5))
	})
}

// Guards against confirmations that wait for a leader that hangs although another one
// was elected.
func TestConfirmationLeavesAFormerLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var elected atomic.Bool
		r := relay.New(relay.LocalReplica{
			Read: func(ctx context.Context) error {
				if elected.Load() {
					return nil
				}
				<-ctx.Done()
				return ctx.Err()
			},
			View: state.New().View,
		}, relay.NewLinks(), time.Now)
		succeeded := confirmAll(t, r, 3, time.Minute)
		synctest.Wait()
		elected.Store(true)
		r.LeaderChanged()
		begin := time.Now()
		for succeeded() < 3 {
			<-time.After(time.Millisecond)
		}
		is.True(time.Since(begin) < 100*time.Millisecond)
	})
}

// Guards against callers that wait for their deadline when the replica stops, and
// against attempts that go on after all callers have given up.
func TestConfirmationsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var stopped atomic.Bool
		var attempts atomic.Int64
		r := relay.New(relay.LocalReplica{Read: func(context.Context) error {
			attempts.Add(1)
			if stopped.Load() {
				return &group.ShutdownError{}
			}
			return &group.NotLeaderError{}
		}}, relay.NewLinks(), time.Now)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := r.Confirm(ctx)
		var noQuorum *relay.NoQuorumError
		is.True(errors.As(err, &noQuorum))
		<-time.After(time.Second)
		before := attempts.Load()
		<-time.After(time.Second)
		is.Equal(attempts.Load(), before)

		stopped.Store(true)
		begin := time.Now()
		_, err = r.Confirm(t.Context())
		var ended *relay.StoppedError
		is.True(errors.As(err, &ended))
		is.Equal(time.Since(begin), time.Duration(0))
	})
}

// Guards against a leader that starts a read for each confirmation that replicas of
// earlier versions forward, and against an answer that hides who leads.
func TestForwardedConfirmationsShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var reads atomic.Int64
		lost := make(chan struct{})
		r := relay.New(relay.LocalReplica{Read: func(ctx context.Context) error {
			reads.Add(1)
			select {
			case <-lost:
			case <-ctx.Done():
			}
			return &group.NotLeaderError{Leader: 3}
		}}, relay.NewLinks(), time.Now)
		var refused atomic.Int64
		for range 1000 {
			go func() {
				_, err := r.ServeConfirm(t.Context())
				var fault *wire.FaultError
				if errors.As(err, &fault) && fault.Code == "notleader" && fault.Detail == "3" {
					refused.Add(1)
				}
			}()
		}
		synctest.Wait()
		is.True(reads.Load() <= 2)
		close(lost)
		synctest.Wait()
		is.Equal(refused.Load(), int64(1000))
		is.True(reads.Load() <= 3)
	})
}
