package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/galenalock/galenalock/core/quota"
	"github.com/galenalock/galenalock/core/refuse"
)

// Load is the load that a target reports with a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Dialect defines the headers and statuses by which callers, the entry and
// targets exchange information that HTTP does not standardise. An empty header
// name disables the feature.
type Dialect struct {
	Workspace string // names the workspace of a request
	Deadline  string // milliseconds left, from callers and to targets
	Request   string // request identifier that callers choose and targets echo
	Target    string // name of the target that a request is intended for
	Proof     string // set by targets only, on every response that they make
	RefusalID string // request identifier in refusals

	// IdempotencyKey is the header of the key under which control records a request that
	// must not be repeated, and its response.
	IdempotencyKey string

	// KeyScheme is the scheme of the header Authorization in which callers send keys of
	// workspaces. Without it keys have no effect.
	KeyScheme string
	// WorkspaceOut names the workspace to targets if the configuration has keys.
	WorkspaceOut string

	// Load parses the load that a target reports.
	Load func(h http.Header) (Load, bool)
	// Limit parses the request rate that a target accepts from the whole fleet;
	// false means that the header is malformed. May be nil.
	Limit func(h http.Header) (quota.Report, bool)
	// Leaving reports whether a response tells that its target leaves. May be nil.
	Leaving func(h http.Header) bool
	// NotRun reports whether a response declares that the request was not run,
	// and whether the other targets of the service are full too.
	NotRun func(status int, h http.Header) (notRun, full bool)
	// Misdirected reports whether a request that was not run reached a target
	// other than the intended one.
	Misdirected func(status int) bool

	HideHeaders []string     // additional response headers that are not forwarded to callers
	Forwarded   bool         // add X-Forwarded-*, Forwarded, trace and request headers for targets
	NotRunAs503 bool         // refusals of requests that were not run use status 503 instead of any other status from 502 up
	Style       refuse.Style // of refusals
}

// Native returns the dialect of the Galenalock-* headers.
func Native() Dialect {
	return Dialect{
		Workspace: headerWorkspace, Deadline: headerDeadline, RefusalID: headerRequest,
		IdempotencyKey: headerKey,
		KeyScheme:      "Bearer", WorkspaceOut: headerWorkspace,
		Load: nativeLoad, Limit: LimitHeader(headerLimit), Leaving: LeavingHeader(headerLeaving),
		NotRun: func(status int, h http.Header) (bool, bool) {
			notRun := status == http.StatusServiceUnavailable && h.Get(headerRun) == string(refuse.NotRun)
			return notRun, h.Get(headerShed) == "service"
		},
		Misdirected: func(int) bool { return false },
		HideHeaders: []string{headerLoad, headerLimit, headerLeaving, headerRun, headerShed},
		Forwarded:   true,
	}
}

// LimitHeader returns a Limit function for a header that holds the rate in requests
// a second.
func LimitHeader(name string) func(h http.Header) (quota.Report, bool) {
	return func(h http.Header) (quota.Report, bool) {
		value := h.Get(name)
		if value == "" {
			return quota.Report{}, true
		}
		rate, ok := quota.ParseRate(value)
		return quota.Report{Limited: ok, Rate: rate}, ok
	}
}

// LeavingHeader returns a Leaving function for a header that has the value 1 if the
// target leaves.
func LeavingHeader(name string) func(h http.Header) bool {
	return func(h http.Header) bool { return strings.TrimSpace(h.Get(name)) == "1" }
}

// pauseOf returns how long a target that turns a request away wants none from this
// entry.
func pauseOf(response *http.Response) time.Duration {
	if response.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	pause, _ := quota.ParsePause(response.Header.Get("Retry-After"))
	return pause
}

// nativeLoad parses the header Galenalock-Load, such as "inflight=3 limit=6".
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

// timeLeft returns the time that the caller has left, if the deadline header
// states it. Values above 24 hours count as 24 hours.
func (d *Dialect) timeLeft(h http.Header) (time.Duration, bool) {
	if d.Deadline == "" {
		return 0, false
	}
	ms, err := strconv.ParseInt(h.Get(d.Deadline), 10, 64)
	const maxMilliseconds = int64(24 * time.Hour / time.Millisecond)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(min(ms, maxMilliseconds)) * time.Millisecond, true
}
