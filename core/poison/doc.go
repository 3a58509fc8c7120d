// Package poison recognises requests that crash the targets that run them, and
// keeps them from further targets.
//
// A target can crash for other reasons while it runs a request, and a crash ends
// all requests that the target runs. So a request is quarantined only if several
// targets crashed under it and none has answered it since, and crashes that a
// quarantined request explains do not count against others.
//
// Table holds the crashes of the whole fleet: entries tell each other which
// requests were running at a target that crashed, and which of these were answered
// later. When the quarantine is over, the request is tried again; another crash
// doubles the time.
//
// All methods of Table are safe for concurrent use and take the time as an
// argument.
package poison
