// Package watch makes a control replica a member of the gossip overlay, through
// which it learns about targets, and decides ejections on the leader.
//
// The overlay is run by a goroutine of its own, in Run. Decisions are made in the
// goroutine of the fleet and read the newest immutable snapshot of the targets.
package watch
