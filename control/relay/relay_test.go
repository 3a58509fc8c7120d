package relay_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/control/relay"
	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

// Guards against a command that was applied but is reported as not applied,
// because its result cannot be read or a later attempt found no leader.
func TestProposeReportsUnknownOutcomes(t *testing.T) {
	for _, c := range []struct {
		name    string
		propose func(attempt int) ([]byte, error)
		unknown bool
	}{
		{"result that cannot be decoded", func(int) ([]byte, error) { return []byte{0xff, 0x00}, nil }, true},
		{"empty result", func(int) ([]byte, error) { return nil, nil }, true},
		{"outcome lost, then no leader", func(attempt int) ([]byte, error) {
			if attempt == 0 {
				return nil, &group.UnknownError{}
			}
			return nil, &group.NotLeaderError{}
		}, true},
		{"no leader", func(int) ([]byte, error) { return nil, &group.NotLeaderError{} }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				attempts := 0
				r := relay.New(relay.LocalReplica{Propose: func(context.Context, []byte) ([]byte, error) {
					attempts++
					return c.propose(attempts - 1)
				}}, relay.NewLinks(), time.Now)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := r.Propose(ctx, state.Command{Submit: &state.Submit{}})
				var unknown *relay.UnknownError
				var noQuorum *relay.NoQuorumError
				is.Equal(errors.As(err, &unknown), c.unknown)
				is.Equal(errors.As(err, &noQuorum), !c.unknown)
			})
		})
	}
}

// Guards against a command that can never be encoded and is tried again until the time
// is up, so that its sender waits and is told that there is no quorum.
func TestCommandThatCannotBeEncoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := relay.New(relay.LocalReplica{Propose: func(context.Context, []byte) ([]byte, error) {
			return nil, &group.NotLeaderError{}
		}}, relay.NewLinks(), time.Now)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begin := time.Now()
		_, err := r.Propose(ctx, state.Command{Claim: &wire.Claim{Incarnation: time.Date(20000, 1, 1, 0, 0, 0, 0, time.UTC)}})
		var malformed *relay.MalformedError
		is.True(errors.As(err, &malformed))
		is.Equal(time.Since(begin), time.Duration(0))
	})
}
