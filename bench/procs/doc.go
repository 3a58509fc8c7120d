// Package procs builds the programs of the fleet and runs them as separate
// processes, for tests and measurements of a whole fleet on one machine.
package procs
