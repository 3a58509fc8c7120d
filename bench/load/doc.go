// Package load generates open-loop HTTP load.
//
// Requests start at times that are fixed before the run, and latencies count
// from the intended start. A slow answer therefore does not delay or hide the
// requests after it (coordinated omission).
package load
