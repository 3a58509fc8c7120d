package proxy

import (
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/spec"
)

// match finds service, kind and workspace of the request.
func (c *call) match() error {
	r := c.r
	if err := upgrade(r); err != nil {
		return err
	}
	path, err := plain(r.URL.Path)
	if err != nil {
		return err
	}
	text := c.request.View.Text
	if limit := text.Limits.Header; limit > 0 && headerSize(r.Header) > limit {
		return no(refuse.BigHeader, "")
	}
	route := text.Match(hostname(r.Host), path)
	if route == nil {
		return no(refuse.NoRoute, "")
	}
	c.route = route.Name
	// A split is drawn once for a request: a further attempt stays with its part.
	service := text.Service(route.Pick(float64(c.proxy.hooks.Random()>>11) / (1 << 53)))
	c.uri = r.URL.RequestURI()
	if route.Strip && route.Prefix != "" {
		path = orSlash(strings.TrimPrefix(path, route.Prefix))
		c.uri = strip(r.URL, route.Prefix, path)
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
		return no(refuse.NoMethod, "")
	}
	c.request.Service, c.request.Kind = service, kind
	return c.workspace(text)
}

func (c *call) workspace(text *spec.Text) error {
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
		return no(refuse.NoWorkspace, "")
	}
	c.request.Workspace = name
	return nil
}

// upgrade refuses what would turn the connection into something else than
// requests and responses. An offer of h2c is ignored, as HTTP allows; clients
// such as curl make it and go on with HTTP/1.1.
func upgrade(r *http.Request) error {
	if r.Method == http.MethodConnect {
		return no(refuse.Upgrade, "CONNECT is not supported")
	}
	for _, value := range r.Header.Values("Upgrade") {
		for protocol := range strings.SplitSeq(value, ",") {
			if protocol = strings.TrimSpace(protocol); protocol != "" && !strings.EqualFold(protocol, "h2c") {
				return no(refuse.Upgrade, "a switch to "+protocol+" is not supported")
			}
		}
	}
	return nil
}

// plain returns the decoded path by which a request is classified: empty
// segments are dropped as many targets do it, because a request that must not
// be repeated could otherwise be taken for another kind. Dot segments are
// refused; clients resolve them before they send.
func plain(path string) (string, error) {
	if !strings.Contains(path, "//") && !strings.Contains(path, "/.") {
		return path, nil
	}
	var b strings.Builder
	segments := strings.Split(path, "/")
	for i, s := range segments {
		if s == "." || s == ".." {
			return "", no(refuse.BadRequest, "the path contains dot segments")
		}
		if s != "" || i == len(segments)-1 && b.Len() > 0 {
			b.WriteByte('/')
			b.WriteString(s)
		}
	}
	return orSlash(b.String()), nil
}

// strip returns the request URI without the prefix and keeps the escapes of
// the rest.
func strip(u *url.URL, prefix, path string) string {
	rest, ok := strings.CutPrefix(u.EscapedPath(), prefix)
	if !ok || rest != "" && rest[0] != '/' {
		// The prefix or the slash after it is escaped or doubled.
		rest = (&url.URL{Path: path}).EscapedPath()
	}
	rest = orSlash(rest)
	if u.ForceQuery || u.RawQuery != "" {
		rest += "?" + u.RawQuery
	}
	return rest
}

func orSlash(path string) string {
	if !strings.HasPrefix(path, "/") {
		return "/" + path
	}
	return path
}

// headerSize is the size of a header as the caller sent it, without the request
// line.
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

// no is a refusal before dispatch.
func no(reason refuse.Reason, detail string) *refuse.Error {
	return &refuse.Error{Reason: reason, Run: refuse.NotRun, Detail: detail}
}
