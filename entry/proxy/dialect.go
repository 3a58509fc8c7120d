package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/galenalock/galenalock/core/refuse"
)

// Load is what a target reports of itself with a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Dialect is how callers and targets speak of what HTTP has no words for. An
// empty name of a header turns off what it is for.
type Dialect struct {
	Workspace string // names the workspace of a request
	Deadline  string // milliseconds left, from callers and to targets
	Request   string // identifier of a request that callers choose and targets echo
	Target    string // name of the target that a request is meant for
	Proof     string // header that only targets set, on every response of their own
	Own       string // identifier of the request, in refusals

	// Load reads the load of a target.
	Load func(h http.Header) (Load, bool)
	// Unrun reports whether a response declares that the request has not run,
	// and whether other targets of the service would declare the same.
	Unrun func(status int, h http.Header) (unrun, full bool)
	// Misdirected reports whether an unrun request reached a target that is
	// not the one it was meant for.
	Misdirected func(status int) bool

	Hide      []string     // further headers of targets that callers do not get
	Forwarded bool         // tell targets about the caller and the trace
	Promise   bool         // only the status 503 promises that a request has not run
	Style     refuse.Style // of refusals
}

// Native is the dialect of the project's own interface.
func Native() Dialect {
	return Dialect{
		Workspace: headerWorkspace, Deadline: headerDeadline, Own: headerRequest,
		Load: nativeLoad,
		Unrun: func(status int, h http.Header) (bool, bool) {
			unrun := status == http.StatusServiceUnavailable && h.Get(headerRun) == string(refuse.NotRun)
			return unrun, h.Get(headerShed) == "service"
		},
		Misdirected: func(int) bool { return false },
		Hide:        []string{headerLoad, headerRun, headerShed},
		Forwarded:   true,
	}
}

// nativeLoad reads the header Galenalock-Load, such as "inflight=3 limit=6".
func nativeLoad(h http.Header) (Load, bool) {
	first, rest, _ := strings.Cut(h.Get(headerLoad), " ")
	second, _, _ := strings.Cut(rest, " ")
	used, okUsed := strings.CutPrefix(first, "inflight=")
	all, okAll := strings.CutPrefix(second, "limit=")
	if !okUsed || !okAll {
		return Load{}, false
	}
	inflight, errUsed := strconv.Atoi(used)
	slots, errAll := strconv.Atoi(all)
	return Load{Running: inflight, Slots: slots}, errUsed == nil && errAll == nil
}

// left returns the time that a caller still waits, if it says so.
func (d *Dialect) left(h http.Header) (time.Duration, bool) {
	if d.Deadline == "" {
		return 0, false
	}
	ms, err := strconv.ParseInt(h.Get(d.Deadline), 10, 64)
	const most = int64(24 * time.Hour / time.Millisecond)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(min(ms, most)) * time.Millisecond, true
}
