// Package state is the replicated state machine: revisions of the service
// text, identifiers of changes, claims, ejection grants and drains.
//
// The machine is deterministic. Every command carries the time at which it was
// proposed; the machine's time is the highest one seen so far and never goes
// backwards. The text itself is checked before it is proposed, because
// versions of the check may differ between replicas during an upgrade.
package state
