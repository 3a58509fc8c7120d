// Package group runs one replica of the replicated log. It connects the
// consensus core of core/raft, which performs no I/O, to the store of
// core/store, a state machine and a transport.
//
// One goroutine owns the core and the state machine, a second one the store.
// Proposals that arrive during a sync are written together by the next one.
package group
