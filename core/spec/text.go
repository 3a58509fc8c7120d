package spec

import (
	"strings"
	"time"
)

// Text is a validated service text.
type Text struct {
	Services   []*Service
	Routes     []*Route
	Workspaces []*Workspace
	Limits     Limits

	services   map[string]*Service
	routes     map[string]map[string]*Route // host, then prefix
	workspaces map[string]*Workspace
	keys       map[Digest]*Workspace
	keyed      bool // a workspace is keyed or has a key
}

// Policy determines what the detection of unhealthy targets of a service favours.
type Policy string

// The policies.
const (
	Careful Policy = "careful" // keeps capacity in service
	Fast    Policy = "fast"    // detects unhealthy targets sooner
)

// Service is a group of interchangeable targets.
type Service struct {
	Name       string
	Floor      Floor
	Policy     Policy
	Depends    []string
	Home       string
	HealthPath string // path for health checks of the targets, empty: no health checks
	// MaxConnections is the number of connections that a target accepts from all
	// entries together, 0: as each target announces.
	MaxConnections int
	Kinds          []*Kind
}

// Kind is a class of requests to a service, with settings for how to handle them.
type Kind struct {
	Name        string
	Methods     []string // upper case; empty: all
	Path        string   // path prefix within the service, without a trailing slash
	Repeatable  bool     // requests are idempotent and may run more than once
	KeyRequired bool     // requests must have an Idempotency-Key
	Weight      float64  // value of one answered request
	Timeout     time.Duration
	Hedge       bool
	Upload      bool

	LatencyGoal time.Duration // latency up to which a response has its full value, 0: the timeout
	Priority    int           // rank under overload, 0 is served first
	MaxAttempts int           // number of targets that one request may be sent to, 0: the default of the entry
}

// Route assigns requests to a service, or splits them among services.
type Route struct {
	Name        string // may be empty
	Host        string // empty: any host
	Prefix      string // without a trailing slash
	Service     string // empty with a split
	Split       []SplitPart
	StripPrefix bool  // remove the prefix before the request is sent to the target
	Public      bool  // requests need no key
	Kind        *Kind // kind of all requests of the route, nil: the kinds of the service apply
}

// SplitPart is the share of a route's requests that is sent to one service.
type SplitPart struct {
	Service string
	Weight  float64
}

// Limits limits the size and duration of what callers send.
type Limits struct {
	HeaderBytes   int           // size of a request header, 0: the limit of the entry
	BodyBytes     int64         // size of a request body, 0: the limit of the entry
	HeaderTimeout time.Duration // time until a request header has arrived, 0: the limit of the entry
	IdleTimeout   time.Duration // of a keep-alive connection, 0: the limit of the entry
}

// Workspace is the share of a fleet that one team uses.
type Workspace struct {
	Name      string
	Services  []string
	RateLimit float64 // requests per second in the whole fleet, 0: no limit
	Burst     float64 // requests beyond RateLimit that the whole fleet may send at once
	Priority  *int    // replaces the priority of the kind of a request, nil: the kind's applies
	// Keyed means that requests need a key even while no workspace has one, so that
	// withdrawing the last key does not open the routes.
	Keyed bool
	Keys  []Key // by which callers prove that a request belongs to the workspace
}

// Service returns the service of that name, or nil.
func (t *Text) Service(name string) *Service { return t.services[name] }

// Workspace returns the workspace of that name, or nil.
func (t *Text) Workspace(name string) *Workspace { return t.workspaces[name] }

// HasKeys reports whether any workspace is keyed or has a key. Requests on routes that
// are not public need a key then.
func (t *Text) HasKeys() bool { return t.keyed }

// WorkspaceOfKey returns the workspace that has the key with the given digest, or nil.
func (t *Text) WorkspaceOfKey(digest Digest) *Workspace { return t.keys[digest] }

// PickService returns the service for one request. The random value draw in [0, 1)
// selects a part of a split with a probability proportional to its weight, or
// with equal probability if all weights are 0.
func (r *Route) PickService(draw float64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, p := range r.Split {
		total += p.Weight
	}
	if total == 0 {
		return r.Split[int(draw*float64(len(r.Split)))].Service
	}
	offset := draw * total
	for _, p := range r.Split {
		if offset < p.Weight {
			return p.Service
		}
		offset -= p.Weight
	}
	return r.heaviestService()
}

// heaviestService returns the service with the largest weight. PickService returns
// it when rounding moves the offset past the last part.
func (r *Route) heaviestService() string {
	heaviest := r.Split[0]
	for _, p := range r.Split {
		if p.Weight > heaviest.Weight {
			heaviest = p
		}
	}
	return heaviest.Service
}

// Match returns the route with the longest matching prefix for a host and path, or
// nil if none matches. Routes for this host take precedence over routes for any
// host.
func (t *Text) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if route := longestPrefix(t.routes[host], path); route != nil {
		return route
	}
	if host == "" {
		return nil
	}
	return longestPrefix(t.routes[""], path)
}

func longestPrefix(prefixes map[string]*Route, path string) *Route {
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

// Kind returns the kind of a request, or nil if none matches. The kind with the
// longest matching path wins; among equal paths, one that lists the method wins.
func (s *Service) Kind(method, path string) *Kind {
	var best *Kind
	for _, k := range s.Kinds {
		if !k.matches(method, path) {
			continue
		}
		if best == nil || len(k.Path) > len(best.Path) ||
			len(k.Path) == len(best.Path) && len(best.Methods) == 0 && len(k.Methods) > 0 {
			best = k
		}
	}
	return best
}

func (k *Kind) matches(method, path string) bool {
	if !hasPathPrefix(path, k.Path) {
		return false
	}
	for _, m := range k.Methods {
		if m == method {
			return true
		}
	}
	return len(k.Methods) == 0
}

// hasPathPrefix reports whether path equals prefix or lies below it.
func hasPathPrefix(path, prefix string) bool {
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
