// Package logs provides the logger of a process, which writes JSON lines, and a
// writer that limits its rate.
package logs
