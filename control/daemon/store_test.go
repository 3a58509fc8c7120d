package daemon_test

import (
	"errors"
	"fmt"
	"math"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/wire"
)

// Guards against claims that exceed the memory of a replica, against a refusal of a claim
// whose request has run, and against an answer that is kept although there is no room.
func TestFullStoreRefusesNewClaims(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	r := startGroupWith(t, 1, func(r *replica) { r.settings.Memory = 24 }, func(*replica) {
		debug.SetMemoryLimit(math.MaxInt64) // the limit of the replica would hold for the test process
	})[0]
	r.submitUntilAnswered(0, "first", serviceText(1))
	e := dialEntry(t, r)
	claim := func(n int) (wire.Claimed, error) {
		var got wire.Claimed
		err := e.conn.Call(t.Context(), wire.KindClaim, wire.Claim{
			Service: "ledger", Key: fmt.Sprint(n, strings.Repeat("k", 900)), Fingerprint: 7,
			Owner: "entry-1", Incarnation: start, Attempt: uint64(n), Expires: time.Minute,
		}, &got)
		return got, err
	}
	finish := func(n int, body []byte) {
		var got wire.Claimed
		is.NoErr(e.conn.Call(t.Context(), wire.KindClose, wire.Close{
			Service: "ledger", Key: fmt.Sprint(n, strings.Repeat("k", 900)), Owner: "entry-1", Incarnation: start, Attempt: uint64(n),
			Outcome: wire.OutcomeDone, Answer: &wire.Answer{Status: 200, Stored: true, Body: body},
		}, &got))
	}
	const (
		most   = 4000
		answer = 4000
	)
	n := 0
	var err error
	for ; n < most && err == nil; n++ {
		var got wire.Claimed
		if got, err = claim(n); err != nil {
			break
		}
		is.Equal(got.State, wire.ClaimGranted)
		finish(n, make([]byte, answer))
	}
	var fault *wire.FaultError
	is.True(errors.As(err, &fault))
	is.Equal(fault.Code, wire.FaultFull)
	first, err := claim(0) // of an earlier attempt with the same key
	is.NoErr(err)
	is.Equal(first.State, wire.ClaimDone)
	is.Equal(len(first.Answer.Body), answer)
	last, err := claim(n - 1)
	is.NoErr(err)
	is.Equal(last.State, wire.ClaimDone)
	is.Equal(len(last.Answer.Body), 0)
	is.True(!last.Answer.Stored)
}
