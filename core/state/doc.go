// Package state implements the replicated state machine of the control group.
// It holds the revisions of the service text, the identifiers of changes,
// claims, ejection grants, drains and the table of targets.
//
// The machine is deterministic. Every command carries the time at which it was
// proposed; the machine's clock is the highest such time so far and never goes
// backwards. A service text is validated before it is proposed, not when it is
// applied, because replicas may run different versions of the validation during
// an upgrade.
package state
