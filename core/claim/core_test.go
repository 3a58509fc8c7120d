package claim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/claim"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/wire"
)

var epoch = time.Unix(1000, 0)

func Example() {
	core := claim.New("entry-1", epoch)
	number, action := core.Open(epoch, "ledger", "k", 7, epoch.Add(10*time.Second))
	fmt.Println(action.Type == claim.SendClaim, action.Claim.Attempt, action.Claim.Expires)
	action = core.HandleResponse(epoch, number, wire.Claimed{State: wire.ClaimGranted})
	fmt.Println(action.Type == claim.Dispatch, core.Dispatch(epoch.Add(time.Second), number))
	record, _ := core.Finish(number, wire.OutcomeDone, &wire.Answer{Status: 201})
	fmt.Println(record.Outcome, len(core.Unfinished()))
	core.RecordConfirmed(number)
	fmt.Println(len(core.Unfinished()))
	// Output:
	// true 1 22s
	// true true
	// done 1
	// 0
}

// Guards against a dispatch by an entry that was frozen after it sent its claim.
// The naive variant has a dispatch window too long to prevent it.
func TestWindow(t *testing.T) {
	for _, naive := range []bool{true, false} {
		is := is.New(t)
		var opts []claim.Option
		if naive {
			opts = append(opts, claim.WithDispatchWindow(time.Hour))
		}
		core := claim.New("entry-1", epoch, opts...)
		number, _ := core.Open(epoch, "ledger", "k", 7, epoch.Add(10*time.Second))
		is.Equal(core.HandleResponse(epoch.Add(time.Second), number, wire.Claimed{State: wire.ClaimGranted}).Type, claim.Dispatch)
		is.Equal(core.Dispatch(epoch.Add(2100*time.Millisecond), number), naive)
		record, ok := core.Abandon(number)
		is.Equal(ok, !naive)
		is.Equal(record.Outcome == wire.OutcomeReleased, !naive)
	}
}

// Guards against a lost claim message that extends the dispatch window. The
// window starts with the first unanswered message.
func TestWindowCountsFromFirstClaim(t *testing.T) {
	is := is.New(t)
	core := claim.New("entry-1", epoch)
	number, first := core.Open(epoch, "ledger", "k", 7, epoch.Add(10*time.Second))
	repeated := core.HandleNoResponse(epoch.Add(1500*time.Millisecond), number)
	is.Equal(repeated.Type, claim.SendClaim)
	is.Equal(repeated.Claim, first.Claim) // the same claim is repeated, not a second one sent
	core.ClaimSent(epoch.Add(1600*time.Millisecond), number)
	core.HandleResponse(epoch.Add(1900*time.Millisecond), number, wire.Claimed{State: wire.ClaimGranted})
	is.True(!core.Dispatch(epoch.Add(2100*time.Millisecond), number))
	record, ok := core.Abandon(number)
	is.True(ok)
	is.Equal(record.Outcome, wire.OutcomeReleased)
}

// Guards against a claim that stays granted after the entry has stopped waiting
// for the response.
func TestUnansweredClaimIsReleased(t *testing.T) {
	is := is.New(t)
	core := claim.New("entry-1", epoch)
	number, _ := core.Open(epoch, "ledger", "k", 7, epoch.Add(10*time.Second))
	action := core.HandleNoResponse(epoch.Add(1990*time.Millisecond), number)
	is.Equal(action.Reason, refuse.NoQuorum)
	is.Equal(action.Run, refuse.NotRun)
	record, ok := core.Abandon(number)
	is.True(ok)
	is.Equal(record.Outcome, wire.OutcomeReleased)
	_, again := core.RecordFailed(epoch.Add(10*time.Second), number)
	is.True(again)
	_, again = core.RecordFailed(epoch.Add(time.Minute), number)
	is.True(!again) // the claim has expired, so a release has no effect
	is.Equal(len(core.Unfinished()), 0)
}

// Guards against an outcome that is no longer sent again, and against a release of
// a request that was dispatched.
func TestRecordIsRepeated(t *testing.T) {
	is := is.New(t)
	core := claim.New("entry-1", epoch)
	number, _ := core.Open(epoch, "ledger", "k", 7, epoch.Add(10*time.Second))
	core.HandleResponse(epoch, number, wire.Claimed{State: wire.ClaimGranted})
	is.True(core.Dispatch(epoch, number))
	is.True(!core.Dispatch(epoch, number)) // a grant allows one dispatch
	_, ok := core.Abandon(number)
	is.True(!ok)
	_, ok = core.Finish(number, wire.OutcomeDone, nil)
	is.True(ok)
	_, ok = core.Finish(number, wire.OutcomeUnknown, nil)
	is.True(!ok) // the first outcome stands
	for n := range 100 {
		delay, again := core.RecordFailed(epoch.Add(time.Duration(n)*time.Hour), number)
		is.True(again && delay <= 5*time.Second)
	}
	open := core.Unfinished()
	is.Equal(len(open), 1)
	is.True(open[0].Dispatched && open[0].Outcome == wire.OutcomeDone)
}

// Guards against a response of control that leads to a second dispatch, or to a
// refusal that wrongly says that the request did not run.
func TestResponses(t *testing.T) {
	cases := []struct {
		state      wire.ClaimState
		answer     *wire.Answer
		wantAction claim.ActionType
		run        refuse.Run
	}{
		{wire.ClaimGranted, nil, claim.Dispatch, ""},
		{wire.ClaimRunning, nil, claim.SendClaim, ""},
		{wire.ClaimDone, &wire.Answer{Status: 200}, claim.Reply, ""},
		{wire.ClaimDone, nil, claim.Refuse, refuse.Ran},
		{wire.ClaimUnknown, nil, claim.Refuse, refuse.Unknown},
		{wire.ClaimMismatch, nil, claim.Refuse, refuse.NotRun},
		{wire.ClaimExpired, nil, claim.Refuse, refuse.Ran},
		{"later", nil, claim.Refuse, refuse.Unknown},
	}
	for _, c := range cases {
		t.Run(string(c.state), func(t *testing.T) {
			is := is.New(t)
			core := claim.New("entry-1", epoch)
			number, _ := core.Open(epoch, "ledger", "k", 7, epoch.Add(10*time.Second))
			action := core.HandleResponse(epoch, number, wire.Claimed{State: c.state, Answer: c.answer})
			is.Equal(action.Type, c.wantAction)
			is.Equal(action.Run, c.run)
			is.Equal(core.Dispatch(epoch, number), c.wantAction == claim.Dispatch)
		})
	}
}
