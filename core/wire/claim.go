package wire

import "time"

// Claim asks for permission to dispatch a non-repeatable request with an
// idempotency key. A Claim with the same owner, incarnation and attempt as an
// earlier one is a retransmission of it.
type Claim struct {
	Service     string        `cbor:"service"`
	Key         string        `cbor:"key"`
	Fingerprint uint64        `cbor:"fingerprint"`
	Owner       string        `cbor:"owner"`
	Incarnation time.Time     `cbor:"incarnation"`
	Attempt     uint64        `cbor:"attempt"`
	Expires     time.Duration `cbor:"expires"` // counted from the commit
}

// ClaimState is the state of a claim.
type ClaimState string

// The states of a claim.
const (
	ClaimGranted  ClaimState = "granted"  // the owner may dispatch the request
	ClaimRunning  ClaimState = "running"  // another attempt holds the claim
	ClaimDone     ClaimState = "done"     // the answer was recorded
	ClaimUnknown  ClaimState = "unknown"  // the outcome is unknown; the request is never dispatched again
	ClaimMismatch ClaimState = "mismatch" // the key was used for another request
	ClaimExpired  ClaimState = "expired"  // the request ran, but its answer is no longer stored
	ClaimReleased ClaimState = "released" // the owner proved that the request did not run; answers Close, and a late duplicate of the released Claim
)

// Claimed is the answer to Claim and Close.
type Claimed struct {
	State  ClaimState `cbor:"state"`
	Answer *Answer    `cbor:"answer,omitempty"`
}

// Outcome is the result with which a claim ends.
type Outcome string

// The outcomes.
const (
	OutcomeDone     Outcome = "done"     // a whole answer arrived
	OutcomeReleased Outcome = "released" // the request is proved not to have run
	OutcomeUnknown  Outcome = "unknown"  // the request was dispatched and no whole answer arrived
)

// Close records the outcome of a claim. Only the owner of the claim sends it.
type Close struct {
	Service     string    `cbor:"service"`
	Key         string    `cbor:"key"`
	Owner       string    `cbor:"owner"`
	Incarnation time.Time `cbor:"incarnation"`
	Attempt     uint64    `cbor:"attempt"`
	Outcome     Outcome   `cbor:"outcome"`
	Answer      *Answer   `cbor:"answer,omitempty"`
}

// MaxAnswer limits the body of a stored answer, in bytes.
const MaxAnswer = 64 << 10

// Answer is the stored response to a request.
type Answer struct {
	Status int                 `cbor:"status"`
	Header map[string][]string `cbor:"header,omitempty"`
	Body   []byte              `cbor:"body,omitempty"`
	Stored bool                `cbor:"stored"` // false: the body exceeded MaxAnswer and was not kept
}
