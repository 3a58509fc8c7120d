package proxy

import (
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/spec"
)

// match sets the service, kind, workspace, path and URI of the request, or
// returns a refusal.
func (c *call) match() error {
	r := c.r
	if err := checkUpgrade(r); err != nil {
		return err
	}
	path, err := cleanPath(r.URL.Path)
	if err != nil {
		return err
	}
	text := c.request.View.Text
	if limit := text.Limits.HeaderBytes; limit > 0 && headerSize(r.Header) > limit {
		return notRunError(refuse.BigHeader, "")
	}
	route := text.Match(hostname(r.Host), path)
	if route == nil {
		return notRunError(refuse.NoRoute, "")
	}
	c.route = route.Name
	service := c.serviceOf(route)
	if service == nil {
		return notRunError(refuse.NoRoute, "this instance does not know the service "+c.chosenService)
	}
	c.uri = r.URL.RequestURI()
	if route.StripPrefix && route.Prefix != "" {
		path = ensureSlash(strings.TrimPrefix(path, route.Prefix))
		c.uri = stripPrefix(r.URL, route.Prefix, path)
	}
	if r.Method == http.MethodOptions && r.URL.Path == "*" {
		c.uri = "*"
	}
	c.path = path
	kind := route.Kind
	if kind == nil {
		kind = service.Kind(r.Method, path)
	}
	if kind == nil {
		return notRunError(refuse.NoMethod, "")
	}
	c.request.Service, c.request.Kind = service, kind
	return c.authorize(route)
}

// serviceOf returns the service of a request on a route, or nil if the entry that
// passed it on chose one that is unknown here. The service of a split route is drawn
// once for each request, so that retries go to the same service.
func (c *call) serviceOf(route *spec.Route) *spec.Service {
	text := c.request.View.Text
	if c.chosenService != "" {
		return text.Service(c.chosenService)
	}
	return text.Service(route.PickService(float64(c.proxy.hooks.Random()>>11) / (1 << 53)))
}

func (c *call) matchWorkspace(text *spec.Text) error {
	header := c.proxy.dialect.Workspace
	if header == "" {
		return nil
	}
	name := c.r.Header.Get(header)
	if name == "" {
		return nil
	}
	workspace := text.Workspace(name)
	if workspace == nil || !workspace.Allows(c.request.Service.Name) {
		return notRunError(refuse.NoWorkspace, "")
	}
	c.request.Workspace = name
	return nil
}

// checkUpgrade refuses CONNECT and switches to another protocol. An offer of h2c
// is ignored, as HTTP allows: clients such as curl send it and continue with
// HTTP/1.1.
func checkUpgrade(r *http.Request) error {
	if r.Method == http.MethodConnect {
		return notRunError(refuse.Upgrade, "CONNECT is not supported")
	}
	for _, value := range r.Header.Values("Upgrade") {
		for protocol := range strings.SplitSeq(value, ",") {
			if protocol = strings.TrimSpace(protocol); protocol != "" && !strings.EqualFold(protocol, "h2c") {
				return notRunError(refuse.Upgrade, "a switch to "+protocol+" is not supported")
			}
		}
	}
	return nil
}

// cleanPath returns the decoded path that determines route and kind of a
// request. It drops empty segments, as many targets do; otherwise a request that
// must not be repeated could be taken for another kind. Dot segments are
// refused; clients resolve them before sending.
func cleanPath(path string) (string, error) {
	if !strings.Contains(path, "//") && !strings.Contains(path, "/.") {
		return path, nil
	}
	var b strings.Builder
	segments := strings.Split(path, "/")
	for i, s := range segments {
		if s == "." || s == ".." {
			return "", notRunError(refuse.BadRequest, "the path contains dot segments")
		}
		if s != "" || i == len(segments)-1 && b.Len() > 0 {
			b.WriteByte('/')
			b.WriteString(s)
		}
	}
	return ensureSlash(b.String()), nil
}

// stripPrefix returns the request URI without the prefix. The rest keeps its
// escaping where possible; path is the decoded path without the prefix.
func stripPrefix(u *url.URL, prefix, path string) string {
	rest, ok := strings.CutPrefix(u.EscapedPath(), prefix)
	if !ok || rest != "" && rest[0] != '/' {
		// The prefix, or the slash after it, is escaped or doubled in the URI.
		rest = (&url.URL{Path: path}).EscapedPath()
	}
	rest = ensureSlash(rest)
	if u.ForceQuery || u.RawQuery != "" {
		rest += "?" + u.RawQuery
	}
	return rest
}

func ensureSlash(path string) string {
	if !strings.HasPrefix(path, "/") {
		return "/" + path
	}
	return path
}

// headerSize returns the size of a header in HTTP/1.1 form, in bytes, without the
// request line.
func headerSize(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

func hostname(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// notRunError returns a refusal of a request that was not dispatched.
func notRunError(reason refuse.Reason, detail string) *refuse.Error {
	return &refuse.Error{Reason: reason, Run: refuse.NotRun, Detail: detail}
}
