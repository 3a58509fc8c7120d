package proxy

import (
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Headers with a meaning to the data path.
const (
	headerWorkspace = "Galenalock-Workspace" // names the workspace of a request
	headerDeadline  = "Galenalock-Deadline"  // milliseconds left
	headerLoad      = "Galenalock-Load"      // load of a target
	headerRun       = "Galenalock-Run"       // "no" on a 503: the target did not run the request
	headerShed      = "Galenalock-Shed"      // "service" on a shed response: other targets are full too
	headerReplayed  = "Galenalock-Replayed"  // "true": the response was recorded for an earlier request
	headerStored    = "Galenalock-Stored"    // "false": the body of a recorded response was not kept
	headerRequest   = "Galenalock-Request"   // identifier of the request in refusals and logs
	headerKey       = "Idempotency-Key"
	headerDigest    = "Content-Digest"
	headerTrace     = "Traceparent"
)

// hop lists the headers that concern one connection only.
var hop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
}

// removeHop removes the headers that concern one connection only.
func removeHop(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hop {
		delete(h, name)
	}
}

// outgoing returns the headers of the request for targets.
func (c *call) outgoing() http.Header {
	r := c.r
	h := make(http.Header, len(r.Header)+8)
	for name, values := range r.Header {
		h[name] = values
	}
	trailers := strings.EqualFold(strings.TrimSpace(r.Header.Get("Te")), "trailers")
	removeHop(h)
	if trailers {
		h["Te"] = []string{"trailers"}
	}
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
	add(h, "X-Forwarded-For", host)
	if h["X-Forwarded-Host"] == nil {
		h["X-Forwarded-Host"] = []string{r.Host}
	}
	if h["X-Forwarded-Proto"] == nil {
		h["X-Forwarded-Proto"] = []string{scheme}
	}
	add(h, "Forwarded", "for="+node(host)+";host="+quote(r.Host)+";proto="+scheme)
	h[headerTrace] = []string{c.trace}
	h[headerRequest] = []string{c.request.ID}
	return h
}

// add appends to a list of values in one header line.
func add(h http.Header, name, value string) {
	if prior := h[name]; len(prior) > 0 {
		value = strings.Join(prior, ", ") + ", " + value
	}
	h[name] = []string{value}
}

// node writes an address in the form of RFC 7239.
func node(host string) string {
	if strings.Contains(host, ":") {
		return `"[` + host + `]"`
	}
	return host
}

func quote(s string) string {
	if strings.ContainsAny(s, `:[]"\;, `) {
		return strconv.Quote(s)
	}
	return s
}

// deadline returns the end of the time for the request: the timeout of its
// kind, or less when the caller has less time left.
func (c *call) deadline() time.Time {
	timeout := c.request.Kind.Timeout
	if left, ok := c.proxy.dialect.left(c.r.Header); ok {
		timeout = min(timeout, left)
	}
	return c.request.Start.Add(timeout)
}

// left returns the value of the deadline header.
func left(deadline, now time.Time) string {
	return strconv.FormatInt(max(deadline.Sub(now).Milliseconds(), 0), 10)
}
