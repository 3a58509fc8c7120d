package wire

import "time"

// Claim asks for the right to dispatch a keyed request that must not repeat.
// The same owner, incarnation and attempt is the same question asked again.
type Claim struct {
	Service     string        `cbor:"service"`
	Key         string        `cbor:"key"`
	Fingerprint uint64        `cbor:"fingerprint"`
	Owner       string        `cbor:"owner"`
	Incarnation time.Time     `cbor:"incarnation"`
	Attempt     uint64        `cbor:"attempt"`
	Expires     time.Duration `cbor:"expires"` // from the commit on
}

// ClaimState is the state of a claim.
type ClaimState string

// The states of a claim.
const (
	ClaimGranted  ClaimState = "granted"  // the asker may dispatch
	ClaimRunning  ClaimState = "running"  // another attempt holds the claim
	ClaimDone     ClaimState = "done"     // the answer is recorded
	ClaimUnknown  ClaimState = "unknown"  // the outcome is unknown and the request is never dispatched again
	ClaimMismatch ClaimState = "mismatch" // the key was used for another request
	ClaimExpired  ClaimState = "expired"  // the request ran, its answer is no longer stored
	ClaimReleased ClaimState = "released" // proved not run by its owner; answers Close, and a late duplicate of the released Claim
)

// Claimed answers Claim and Close.
type Claimed struct {
	State  ClaimState `cbor:"state"`
	Answer *Answer    `cbor:"answer,omitempty"`
}

// Outcome is how a claim ends.
type Outcome string

// The outcomes.
const (
	OutcomeDone     Outcome = "done"     // an answer arrived
	OutcomeReleased Outcome = "released" // proved not run
	OutcomeUnknown  Outcome = "unknown"  // dispatched, no whole answer
)

// Close records how a claim ended. Only its owner sends it.
type Close struct {
	Service     string    `cbor:"service"`
	Key         string    `cbor:"key"`
	Owner       string    `cbor:"owner"`
	Incarnation time.Time `cbor:"incarnation"`
	Attempt     uint64    `cbor:"attempt"`
	Outcome     Outcome   `cbor:"outcome"`
	Answer      *Answer   `cbor:"answer,omitempty"`
}

// MaxAnswer bounds the body of a stored answer in bytes.
const MaxAnswer = 64 << 10

// Answer is the stored answer of a request.
type Answer struct {
	Status int                 `cbor:"status"`
	Header map[string][]string `cbor:"header,omitempty"`
	Body   []byte              `cbor:"body,omitempty"`
	Stored bool                `cbor:"stored"` // false: the body exceeded MaxAnswer and was not kept
}
