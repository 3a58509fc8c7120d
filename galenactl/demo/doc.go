// Package demo runs a whole fleet in one process: a control replica, an entry
// and stand-in targets.
package demo
