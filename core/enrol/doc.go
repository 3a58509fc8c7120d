// Package enrol keeps the registry of targets that is part of the replicated
// state.
//
// A target announces itself with a name, the start time of its incarnation and a
// sequence number that increases with each announcement of the incarnation. The
// table orders announcements by start time and sequence number, never by
// arrival, so a delayed announcement of an earlier incarnation has no effect. If
// a later incarnation uses the address of another target, that target is marked
// as gone.
//
// Table is deterministic and is changed only by commands of the log. Each row
// carries the index of the command that changed it last, so that an entry can
// merge rows from several replicas in any order. Mirror is the copy of the table
// on an entry.
package enrol
