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

// Guards against proposals that are tried more often the more callers wait for a
// leader, and against callers that are not served once there is one.
func TestProposalsOfManyCallersTakeTurns(t *testing.T) {
	for _, callers := range []int{50, 150, 720, 2000} {
		t.Run(fmt.Sprint(callers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var attempts, succeeded atomic.Int64
				var led atomic.Bool
				result, err := wire.Encode(state.Result{})
				is.NoErr(err)
				r := relay.New(relay.LocalReplica{Propose: func(context.Context, []byte) ([]byte, error) {
					attempts.Add(1)
					if !led.Load() {
						return nil, &group.NotLeaderError{}
					}
					<-time.After(5 * time.Millisecond)
					return result, nil
				}}, relay.NewLinks(), time.Now)
				for range callers {
					go func() {
						ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
						defer cancel()
						if _, err := r.Propose(ctx, state.Command{Submit: &state.Submit{}}); err == nil {
							succeeded.Add(1)
						}
					}()
				}
				<-time.After(time.Second)
				// The first attempts of all that may try at a time, then one every 20 ms.
				is.True(attempts.Load() <= 128+51)
				led.Store(true)
				r.LeaderChanged()
				<-time.After(200 * time.Millisecond)
				is.Equal(succeeded.Load(), int64(callers))
			})
		})
	}
}

// Guards against a caller that waits for its turn after its deadline, and against a
// refusal that hides why no attempt succeeded.
func TestProposalIsRefusedAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := relay.New(relay.LocalReplica{Propose: func(context.Context, []byte) ([]byte, error) {
			return nil, &group.NotLeaderError{Leader: 7}
		}}, relay.NewLinks(), time.Now)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		begin := time.Now()
		_, err := r.Propose(ctx, state.Command{Submit: &state.Submit{}})
		is.Equal(time.Since(begin), 100*time.Millisecond)
		var noQuorum *relay.NoQuorumError
		is.True(errors.As(err, &noQuorum))
		is.Equal(noQuorum.Reason, "replica 7 leads")
	})
}

// Guards against callers with little time left that keep others from trying.
func TestCallersThatGiveUpDoNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		result, err := wire.Encode(state.Result{})
		is.NoErr(err)
		r := relay.New(relay.LocalReplica{Propose: func(ctx context.Context, _ []byte) ([]byte, error) {
			select {
			case <-time.After(30 * time.Millisecond):
				return result, nil
			case <-ctx.Done():
				return nil, &group.UnknownError{Err: ctx.Err()}
			}
		}}, relay.NewLinks(), time.Now)
		var unknown atomic.Int64
		for range 100 {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
				defer cancel()
				_, err := r.Propose(ctx, state.Command{Submit: &state.Submit{}})
				var u *relay.UnknownError
				if errors.As(err, &u) {
					unknown.Add(1)
				}
			}()
		}
		<-time.After(11 * time.Millisecond)
		is.Equal(unknown.Load(), int64(100))
		begin := time.Now()
		_, err = r.Propose(t.Context(), state.Command{Submit: &state.Submit{}})
		is.NoErr(err)
		is.Equal(time.Since(begin), 30*time.Millisecond)
	})
}

// Guards against places that are lost when the handling of a command panics.
func TestPanicGivesThePlaceBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		result, err := wire.Encode(state.Result{})
		is.NoErr(err)
		broken := true
		r := relay.New(relay.LocalReplica{Propose: func(context.Context, []byte) ([]byte, error) {
			if broken {
				panic("unexpected")
			}
			return result, nil
		}}, relay.NewLinks(), time.Now)
		propose := func() (err error) {
			defer func() {
				if recover() != nil {
					err = errors.New("panicked")
				}
			}()
			_, err = r.Propose(t.Context(), state.Command{Submit: &state.Submit{}})
			return err
		}
		for range 200 {
			is.True(propose() != nil)
		}
		broken = false
		is.NoErr(propose())
	})
}
