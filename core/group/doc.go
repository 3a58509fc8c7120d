// Package group runs one replica of the replicated log: it connects the pure
// core of core/raft with the folder of core/store, a state machine and a
// transport.
//
// One goroutine owns the core and the machine, a second one the disk. Proposals
// that arrive while the disk is busy share the next sync.
package group
