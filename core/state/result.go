package state

import (
	"time"

	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/wire"
)

// Result answers a command.
type Result struct {
	Fault     string        `cbor:"fault,omitempty"` // why the command is malformed
	Submitted *Submitted    `cbor:"submitted,omitempty"`
	Claimed   *wire.Claimed `cbor:"claimed,omitempty"`
	Granted   *Granted      `cbor:"granted,omitempty"`
	Verdict   enrol.Verdict `cbor:"verdict,omitempty"` // on an announcement
}

// Outcome tells what became of a submission.
type Outcome string

// The outcomes.
const (
	Accepted Outcome = "accepted" // the text is a revision
	Conflict Outcome = "conflict" // another change was made from the same base
	Reused   Outcome = "reused"   // the identifier belongs to a submission with another base or text
	Held     Outcome = "held"     // a text of the same or a higher rank is in force
)

// Submitted answers Submit. For Accepted it names the new revision, for
// Conflict the one that was made from the base, or the newest one when the
// base does not exist, for Reused the revision named to the first submission.
type Submitted struct {
	Outcome  Outcome   `cbor:"outcome"`
	Revision uint64    `cbor:"revision"`
	Change   string    `cbor:"change"` // identifier of that revision
	Newest   uint64    `cbor:"newest"` // newest revision when the submission was first answered
	Time     time.Time `cbor:"time"`   // when the submission was first answered
}

// Granted answers Grant.
type Granted struct {
	Done bool   `cbor:"done"` // false: the decision was made from an older set
	Set  uint64 `cbor:"set"`  // number of the set now
}
