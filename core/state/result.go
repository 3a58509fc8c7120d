package state

import (
	"time"

	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/wire"
)

// Result is the outcome of a command.
type Result struct {
	Fault     string        `cbor:"fault,omitempty"` // why the command was rejected
	Submitted *Submitted    `cbor:"submitted,omitempty"`
	Claimed   *wire.Claimed `cbor:"claimed,omitempty"`
	Granted   *Granted      `cbor:"granted,omitempty"`
	Effect    enrol.Effect  `cbor:"verdict,omitempty"` // of an announcement
}

// Outcome says whether a submission was accepted.
type Outcome string

// Outcomes of a submission.
const (
	Accepted Outcome = "accepted" // the text is a new revision
	Conflict Outcome = "conflict" // the base is not the newest revision
	Reused   Outcome = "reused"   // the identifier was used with another base or text
	Held     Outcome = "held"     // a text of the same or a higher rank is in force
)

// Submitted is the result of Submit. Revision is the new revision for Accepted,
// the one made from the same base for Conflict (the newest one if the base does
// not exist), the one of the first answer for Reused, and the newest one for
// Held.
type Submitted struct {
	Outcome  Outcome   `cbor:"outcome"`
	Revision uint64    `cbor:"revision"`
	Change   string    `cbor:"change"` // identifier of that revision
	Newest   uint64    `cbor:"newest"` // newest revision at the time of the first answer
	Time     time.Time `cbor:"time"`   // of the first answer
}

// Granted is the result of Grant and Withdraw.
type Granted struct {
	Applied bool   `cbor:"done"` // false: the set has changed since the decision, or there would be too many leases
	Set     uint64 `cbor:"set"`  // number of the current set
}
