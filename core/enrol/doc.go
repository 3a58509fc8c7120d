// Package enrol keeps the registry of targets that is part of the replicated
// state.
//
// A target announces itself with a name, the start of its incarnation and a
// number that rises with each announcement of the incarnation. The table orders
// announcements by these two, never by their arrival, so that a late one of an
// earlier incarnation revives and replaces nothing. A later incarnation at the
// address of another target ends that one.
//
// Table is deterministic and is changed by commands of the log only. Each
// changed row carries the index of the command, so that an entry can take rows
// from several replicas in any order. Mirror is the entry's side.
package enrol
