package wire

import "github.com/fxamacker/cbor/v2"

// Kind identifies the type of a message's body.
type Kind string

// The kinds of messages on a link.
const (
	KindHello    Kind = "hello"    // Hello, the first message in each direction
	KindPing     Kind = "ping"     // empty
	KindFault    Kind = "fault"    // FaultError, the answer to a call that failed
	KindRevision Kind = "revision" // Revision, pushed by control and exchanged between peers
	KindPull     Kind = "pull"     // Pull, answered by Revision
	KindConfirm  Kind = "confirm"  // Confirm, answered by Confirmed
	KindReport   Kind = "report"   // Report
	KindClaim    Kind = "claim"    // Claim, answered by Claimed
	KindClose    Kind = "close"    // Close, answered by Claimed
	KindEvidence Kind = "evidence" // Evidence
	KindOrders   Kind = "orders"   // Orders
	KindGossip   Kind = "gossip"   // message of core/gossip
	KindRenew    Kind = "renew"    // Renew, forwarded to the target's owner
	KindRaft     Kind = "raft"     // message of core/raft
	KindPropose  Kind = "propose"  // Propose, sent to the leader, answered by Proposed
	KindJoin     Kind = "join"     // Join, forwarded to the leader
	KindHeard    Kind = "heard"    // Heard, from a replica to the leader
	KindFollow   Kind = "follow"   // Follow
	KindTargets  Kind = "targets"  // enrol.Update, pushed by control; a call carries Follow and is answered by enrol.Update
	KindReplicas Kind = "replicas" // Replicas
	KindEntries  Kind = "entries"  // Entries
	KindSuspects Kind = "suspects" // Suspects, sent to control, which forwards it to the entries of the region
	KindLimits   Kind = "limits"   // List of Limit, sent to control, which forwards it to all entries
	KindDemands  Kind = "demands"  // List of Demand, forwarded in the same way
	KindCrashes  Kind = "crashes"  // List of Crash, forwarded in the same way
	KindHelpers  Kind = "helpers"  // empty, from an entry to control, answered by Helpers
	KindReach    Kind = "reach"    // Reach, from an entry to another one, answered by Reached
	KindTokens   Kind = "tokens"   // TokenRequest, from an entry to control, answered by TokenAnswer

	KindTokenBatch Kind = "tokenbatch" // TokenBatch, from a replica to the leader, answered by TokenBatchAnswer
)

// Message is one frame on a link. Call is nonzero for a message that expects
// an answer; the answer carries the same number and Answer set.
type Message struct {
	Kind   Kind            `cbor:"kind"`
	Call   uint64          `cbor:"call,omitempty"`
	Answer bool            `cbor:"answer,omitempty"`
	Body   cbor.RawMessage `cbor:"body,omitempty"`
}

// FaultFull is the code of a claim that was refused because there is no memory for it.
const FaultFull = "full"

// FaultError is the answer to a call that failed.
type FaultError struct {
	Code   string `cbor:"code"` // one word, such as "notleader" or "unknown"
	Detail string `cbor:"detail,omitempty"`
}

// Error returns the code and the detail.
func (f *FaultError) Error() string {
	if f.Detail == "" {
		return f.Code
	}
	return f.Code + ": " + f.Detail
}
