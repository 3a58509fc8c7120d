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
	Limits     Limits

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
	Health  string // path of the health check of its targets, empty: none
	// Connections is how many connections a target accepts from all entries
	// together, 0: what each target announces.
	Connections int
	Kinds       []*Kind
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

	Goal     time.Duration // latency within which an answer has its full value, 0: the timeout
	Priority int           // rank under overload, 0 is served first
	Attempts int           // targets that one request may be sent to, 0: the default of the data path
}

// Route leads requests to a service, or to a split of services.
type Route struct {
	Name    string // empty: none
	Host    string // empty: any host
	Prefix  string // without a trailing slash
	Service string // empty with a split
	Split   []Part
	Strip   bool  // cut the prefix off before the request goes to the target
	Kind    *Kind // of all requests of the route, nil: the kinds of the service decide
}

// Part is the share of a route's requests that goes to one service.
type Part struct {
	Service string
	Weight  float64
}

// Limits bounds what callers may send and how long they may take.
type Limits struct {
	Header     int           // bytes of a request header, 0: the limit of the entry
	Body       int64         // bytes of a request body, 0: the limit of the entry
	HeaderTime time.Duration // until a request header has arrived, 0: the limit of the entry
	Idle       time.Duration // of a kept connection, 0: the limit of the entry
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

// Pick returns the service of one request. Draw lies in [0, 1) and chooses among
// the parts of a split in the proportion of their weights.
func (r *Route) Pick(draw float64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	whole := 0.0
	for _, p := range r.Split {
		whole += p.Weight
	}
	if whole == 0 {
		return r.Split[int(draw*float64(len(r.Split)))].Service
	}
	at := draw * whole
	for _, p := range r.Split {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return r.heaviest()
}

// heaviest is where a draw ends that rounding has pushed past the last part.
func (r *Route) heaviest() string {
	best := r.Split[0]
	for _, p := range r.Split {
		if p.Weight > best.Weight {
			best = p
		}
	}
	return best.Service
}

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
