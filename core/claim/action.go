package claim

import (
	"time"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/wire"
)

// ActionType tells the caller what to do next for an attempt.
type ActionType int

// Kinds of actions.
const (
	SendClaim ActionType = iota + 1 // send Claim to control after Delay
	Dispatch                        // the request may be sent
	Reply                           // reply with the recorded Answer
	Refuse                          // refuse the request with Reason, Run and RetryAfter
)

// Action is the next step of an attempt. Its kind determines which of the other
// fields are set.
type Action struct {
	Type       ActionType
	Delay      time.Duration
	Claim      wire.Claim
	Answer     *wire.Answer
	Reason     refuse.Reason
	Run        refuse.Run
	RetryAfter time.Duration
}

func newRefusal(reason refuse.Reason, run refuse.Run, retry time.Duration) Action {
	return Action{Type: Refuse, Reason: reason, Run: run, RetryAfter: retry}
}
