package claim

import (
	"time"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/wire"
)

// Do names what is to be done next.
type Do int

// The actions.
const (
	Ask      Do = iota + 1 // send Claim after the time After
	Dispatch               // the request may be sent
	Reply                  // answer with the recorded Answer
	Refuse                 // refuse with Reason and Run
)

// Action is what is to be done next for an attempt.
type Action struct {
	Do     Do
	After  time.Duration
	Claim  wire.Claim
	Answer *wire.Answer
	Reason refuse.Reason
	Run    refuse.Run
	Retry  time.Duration
}

func refused(reason refuse.Reason, run refuse.Run, retry time.Duration) Action {
	return Action{Do: Refuse, Reason: reason, Run: run, Retry: retry}
}
