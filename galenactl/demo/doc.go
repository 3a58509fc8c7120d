// Package demo runs a complete fleet in one process: a control replica, an entry
// and stub targets.
package demo
