package proxy

import (
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Headers that the data path reads or sets.
const (
	headerWorkspace = "Galenalock-Workspace" // names the workspace of a request
	headerDeadline  = "Galenalock-Deadline"  // milliseconds left
	headerLoad      = "Galenalock-Load"      // load of a target
	headerLimit     = "Galenalock-Limit"     // requests a second that a target accepts from the whole fleet
	headerLeaving   = "Galenalock-Leaving"   // "1": the target leaves
	headerRun       = "Galenalock-Run"       // "no" on a 503: the target did not run the request
	headerShed      = "Galenalock-Shed"      // "service" on a shed response: other targets are full too
	headerReplayed  = "Galenalock-Replayed"  // "true": the response was recorded for an earlier request
	headerStored    = "Galenalock-Stored"    // "false": the body of a recorded response was not kept
	headerRequest   = "Galenalock-Request"   // identifier of the request in refusals and logs
	headerKey       = "Idempotency-Key"
	headerDigest    = "Content-Digest"
	headerTrace     = "Traceparent"
)

// hopHeaders lists the hop-by-hop headers.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
}

// removeHopHeaders removes the hop-by-hop headers and those that Connection
// names.
func removeHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// targetHeader returns the request header for targets.
func (c *call) targetHeader() http.Header {
	r := c.r
	h := make(http.Header, len(r.Header)+8)
	for name, values := range r.Header {
		h[name] = values
	}
	trailers := strings.EqualFold(strings.TrimSpace(r.Header.Get("Te")), "trailers")
	removeHopHeaders(h)
	if trailers {
		h["Te"] = []string{"trailers"}
	}
	c.setAccessHeader(h)
	if !c.proxy.dialect.Forwarded {
		return h
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = "unknown"
	}
	scheme := "http"
	if r.TLS != nil {
		scheme = "https"
	}
	appendHeader(h, "X-Forwarded-For", host)
	if h["X-Forwarded-Host"] == nil {
		h["X-Forwarded-Host"] = []string{r.Host}
	}
	if h["X-Forwarded-Proto"] == nil {
		h["X-Forwarded-Proto"] = []string{scheme}
	}
	appendHeader(h, "Forwarded", "for="+forwardedNode(host)+";host="+forwardedValue(r.Host)+";proto="+scheme)
	h[headerTrace] = []string{c.trace}
	h[headerRequest] = []string{c.request.ID}
	return h
}

// appendHeader appends a value to a comma-separated header.
func appendHeader(h http.Header, name, value string) {
	if prior := h[name]; len(prior) > 0 {
		value = strings.Join(prior, ", ") + ", " + value
	}
	h[name] = []string{value}
}

// forwardedNode formats an address as a node of RFC 7239.
func forwardedNode(host string) string {
	if strings.Contains(host, ":") {
		return `"[` + host + `]"`
	}
	return host
}

func forwardedValue(s string) string {
	if strings.ContainsAny(s, `:[]"\;, `) {
		return strconv.Quote(s)
	}
	return s
}

// deadline returns the deadline of the request: its start plus the timeout of the
// kind, or earlier if the caller has less time left.
func (c *call) deadline() time.Time {
	timeout := c.request.Kind.Timeout
	if left, ok := c.proxy.dialect.timeLeft(c.r.Header); ok {
		timeout = min(timeout, left)
	}
	return c.request.Start.Add(timeout)
}

// deadlineValue returns the value of the deadline header: the milliseconds left,
// at least 0.
func deadlineValue(deadline, now time.Time) string {
	return strconv.FormatInt(max(deadline.Sub(now).Milliseconds(), 0), 10)
}
