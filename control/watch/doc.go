// Package watch makes a control replica a member of the overlay, so that it
// knows the targets, and lets the leader decide ejections.
//
// The overlay has a goroutine of its own, Run. Decisions run in the goroutine
// of the fleet and read the newest immutable snapshot of the targets.
package watch
