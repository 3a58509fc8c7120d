// Package procs builds the programs and runs them as separate processes, for
// tests and measurements of a whole fleet on one machine.
package procs
