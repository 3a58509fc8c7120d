package spec

import (
	"strings"
	"time"
)

// Text is a checked service text.
type Text struct {
	Services   []*Service
	Routes     []*Route
	Workspaces []*Workspace

	services   map[string]*Service
	routes     map[string]map[string]*Route // host, then prefix
	workspaces map[string]*Workspace
}

// Policy is what a service's detection of unhealthy targets favours.
type Policy string

// The policies.
const (
	Careful Policy = "careful" // retained capacity
	Fast    Policy = "fast"    // detection time
)

// Service is a set of interchangeable targets.
type Service struct {
	Name    string
	Floor   Floor
	Policy  Policy
	Depends []string
	Home    string
	Kinds   []*Kind
}

// Kind is a sort of request to a service.
type Kind struct {
	Name    string
	Methods []string // upper case; empty: all
	Path    string   // prefix inside the service, without a trailing slash
	Repeat  bool     // the request is idempotent and may run more than once
	Key     bool     // an Idempotency-Key is required
	Weight  float64  // value of one answered request
	Timeout time.Duration
	Hedge   bool
	Upload  bool
}

// Route leads requests to a service.
type Route struct {
	Host    string // empty: any host
	Prefix  string // without a trailing slash
	Service string
	Strip   bool // cut the prefix off before the request goes to the target
}

// Workspace is the share of a fleet that one team uses.
type Workspace struct {
	Name     string
	Services []string
	Rate     float64 // requests per second over the fleet, 0: no limit
}

// Service returns the service of that name, or nil.
func (t *Text) Service(name string) *Service { return t.services[name] }

// Workspace returns the workspace of that name, or nil.
func (t *Text) Workspace(name string) *Workspace { return t.workspaces[name] }

// Match returns the route with the longest prefix for a host and path; a route
// that names the host goes before one for any host. It returns nil when no
// route matches.
func (t *Text) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if route := longest(t.routes[host], path); route != nil {
		return route
	}
	if host == "" {
		return nil
	}
	return longest(t.routes[""], path)
}

func longest(prefixes map[string]*Route, path string) *Route {
	if len(prefixes) == 0 {
		return nil
	}
	path = strings.TrimSuffix(path, "/")
	for {
		if route, ok := prefixes[path]; ok {
			return route
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return nil
		}
		path = path[:cut]
	}
}

// Kind returns the kind of a request: the longest matching path, and of those
// the one that names the method. It returns nil when the service has no such
// kind.
func (s *Service) Kind(method, path string) *Kind {
	var best *Kind
	for _, k := range s.Kinds {
		if !k.accepts(method, path) {
			continue
		}
		if best == nil || len(k.Path) > len(best.Path) ||
			len(k.Path) == len(best.Path) && len(best.Methods) == 0 && len(k.Methods) > 0 {
			best = k
		}
	}
	return best
}

func (k *Kind) accepts(method, path string) bool {
	if !under(path, k.Path) {
		return false
	}
	for _, m := range k.Methods {
		if m == method {
			return true
		}
	}
	return len(k.Methods) == 0
}

// under reports whether path is prefix or lies below it.
func under(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || path[len(prefix)] == '/'
}

// Allows reports whether the workspace may use the service.
func (w *Workspace) Allows(service string) bool {
	for _, s := range w.Services {
		if s == service {
			return true
		}
	}
	return len(w.Services) == 0
}
