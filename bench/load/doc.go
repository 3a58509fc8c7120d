// Package load generates open-loop HTTP load.
//
// The start times of requests are fixed before the run, and latencies are measured
// from the intended start. A slow answer therefore neither delays the requests
// after it nor hides their latency, which avoids coordinated omission.
package load
