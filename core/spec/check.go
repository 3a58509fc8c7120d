package spec

import (
	"fmt"
	"math"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Bounds of a service text.
const (
	maxName        = 64
	defaultTimeout = 30 * time.Second
	maxTimeout     = time.Hour
	maxWeight      = 1e6
	maxPriority    = 1000
	maxAttempts    = 16
	maxConnections = 1 << 20
	maxHeader      = 1 << 20 // bytes
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	hostPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	methods     = []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	idempotent = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete}
)

type checker struct {
	text   []byte
	lines  map[string]int // made for the first fault
	errors Errors
}

// fail records a fault at a key, or at the closest table that contains it when
// the key is absent.
func (c *checker) fail(key, format string, args ...any) {
	if c.lines == nil {
		c.lines = keyLines(c.text)
	}
	place := key
	for c.lines[place] == 0 {
		cut := strings.LastIndexAny(place, ".[") // elements of an inline array have no line of their own
		if cut < 0 {
			break
		}
		place = place[:cut]
	}
	c.errors = append(c.errors, &Error{Line: c.lines[place], Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) sorted() Errors {
	slices.SortStableFunc(c.errors, func(a, b *Error) int { return a.Line - b.Line })
	return c.errors
}

func (c *checker) check(raw *rawText) *Text {
	t := &Text{
		services:   make(map[string]*Service, len(raw.Service)),
		routes:     map[string]map[string]*Route{},
		workspaces: make(map[string]*Workspace, len(raw.Workspace)),
	}
	for i := range raw.Service {
		c.service(t, &raw.Service[i], fmt.Sprintf("service[%d]", i))
	}
	c.depends(t)
	for i := range raw.Route {
		c.route(t, &raw.Route[i], fmt.Sprintf("route[%d]", i))
	}
	for i := range raw.Workspace {
		c.workspace(t, &raw.Workspace[i], fmt.Sprintf("workspace[%d]", i))
	}
	if raw.Limits != nil {
		t.Limits = c.limits(raw.Limits)
	}
	return t
}

func (c *checker) limits(raw *rawLimits) Limits {
	l := Limits{Header: raw.Header, Body: raw.Body}
	if l.Header < 0 || l.Header > maxHeader {
		c.fail("limits.header", "lies outside 0 to %d bytes", maxHeader)
	}
	if l.Body < 0 {
		c.fail("limits.body", "is negative")
	}
	if raw.HeaderTime != "" {
		l.HeaderTime = c.timeout("limits.headertime", raw.HeaderTime)
	}
	if raw.Idle != "" {
		l.Idle = c.timeout("limits.idle", raw.Idle)
	}
	return l
}

func (c *checker) name(key, name string) bool {
	switch {
	case name == "":
		c.fail(key, "is missing")
	case len(name) > maxName:
		c.fail(key, "has %d characters, the limit is %d", len(name), maxName)
	case !namePattern.MatchString(name):
		c.fail(key, "%q may hold only a-z, 0-9 and inner hyphens", name)
	default:
		return true
	}
	return false
}

func (c *checker) service(t *Text, raw *rawService, at string) {
	s := &Service{Name: raw.Name, Policy: Policy(raw.Policy), Depends: raw.Depends, Home: raw.Home}
	if c.name(at+".name", raw.Name) && t.services[raw.Name] != nil {
		c.fail(at+".name", "service %q is listed twice", raw.Name)
	}
	if raw.Floor == "" {
		c.fail(at+".floor", "is missing")
	} else if floor, reason := parseFloor(raw.Floor); reason != "" {
		c.fail(at+".floor", "%q %s", raw.Floor, reason)
	} else {
		s.Floor = floor
	}
	if s.Policy == "" {
		s.Policy = Careful
	}
	if s.Policy != Careful && s.Policy != Fast {
		c.fail(at+".policy", `%q is neither "careful" nor "fast"`, raw.Policy)
	}
	s.Health, s.Connections = raw.Health, raw.Connections
	c.path(at+".health", raw.Health)
	if raw.Connections < 0 || raw.Connections > maxConnections {
		c.fail(at+".connections", "lies outside 0 to %d", maxConnections)
	}
	for i := range raw.Kind {
		c.kind(s, &raw.Kind[i], fmt.Sprintf("%s.kind[%d]", at, i))
	}
	if len(raw.Kind) == 0 {
		s.Kinds = defaultKinds()
	}
	t.Services = append(t.Services, s)
	t.services[s.Name] = s
}

// defaultKinds lets requests with idempotent methods repeat and no others.
func defaultKinds() []*Kind {
	return []*Kind{
		{Name: "idempotent", Methods: idempotent, Repeat: true, Weight: 1, Timeout: defaultTimeout},
		{Name: "other", Weight: 1, Timeout: defaultTimeout},
	}
}

func (c *checker) kind(s *Service, raw *rawKind, at string) {
	k := c.newKind(raw, at)
	if c.name(at+".name", raw.Name) && slices.ContainsFunc(s.Kinds, func(o *Kind) bool { return o.Name == raw.Name }) {
		c.fail(at+".name", "kind %q is listed twice", raw.Name)
	}
	for _, m := range raw.Methods {
		if !slices.Contains(methods, strings.ToUpper(m)) {
			c.fail(at+".methods", "%q is no method that can be proxied", m)
		}
		k.Methods = append(k.Methods, strings.ToUpper(m))
	}
	c.path(at+".path", raw.Path)
	s.Kinds = append(s.Kinds, k)
}

// newKind reads what the kind of a service and that of a route have in common.
func (c *checker) newKind(raw *rawKind, at string) *Kind {
	k := &Kind{
		Name: raw.Name, Path: strings.TrimSuffix(raw.Path, "/"), Weight: 1,
		Timeout: defaultTimeout, Hedge: raw.Hedge, Upload: raw.Upload,
		Priority: raw.Priority, Attempts: raw.Attempts,
	}
	if raw.Repeat == nil {
		c.fail(at+".repeat", "is missing: true if the request is idempotent, false if it must run at most once")
	} else {
		k.Repeat = *raw.Repeat
	}
	c.key(k, raw, at)
	if raw.Weight != nil {
		k.Weight = *raw.Weight
	}
	if !(k.Weight > 0 && k.Weight <= maxWeight) || math.IsNaN(k.Weight) {
		c.fail(at+".weight", "lies outside 0 (exclusive) to %g", maxWeight)
	}
	if raw.Timeout != "" {
		k.Timeout = c.timeout(at+".timeout", raw.Timeout)
	}
	if raw.Goal != "" {
		k.Goal = c.timeout(at+".goal", raw.Goal)
	}
	if k.Priority < 0 || k.Priority > maxPriority {
		c.fail(at+".priority", "lies outside 0 to %d", maxPriority)
	}
	if k.Attempts < 0 || k.Attempts > maxAttempts {
		c.fail(at+".attempts", "lies outside 0 to %d", maxAttempts)
	}
	return k
}

// routeKind reads the kind of a route. It holds for all requests of the route,
// so it selects none by method or path.
func (c *checker) routeKind(raw *rawRoute, at string) *Kind {
	if raw.Kind == nil {
		return nil
	}
	if len(raw.Kind.Methods) > 0 || raw.Kind.Path != "" {
		c.fail(at+".kind", "may have neither methods nor a path")
	}
	k := c.newKind(raw.Kind, at+".kind")
	if k.Name == "" {
		k.Name = raw.Name
	}
	return k
}

func (c *checker) key(k *Kind, raw *rawKind, at string) {
	switch raw.Key {
	case "", "optional":
	case "required":
		k.Key = true
	default:
		c.fail(at+".key", `%q is neither "required" nor "optional"`, raw.Key)
	}
	if k.Repeat && raw.Key != "" {
		c.fail(at+".key", "has no meaning with repeat = true")
	}
	if !k.Repeat && raw.Hedge {
		c.fail(at+".hedge", "a request that must not repeat cannot be hedged")
	}
}

func (c *checker) timeout(key, s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		c.fail(key, `%q is no duration such as "10s"`, s)
		return defaultTimeout
	}
	if d <= 0 || d > maxTimeout {
		c.fail(key, "%s lies outside 0 (exclusive) to %s", d, maxTimeout)
	}
	return d
}

func (c *checker) path(key, path string) {
	if path != "" && !strings.HasPrefix(path, "/") {
		c.fail(key, "%q does not begin with a slash", path)
	}
	if strings.Contains(path, "//") || strings.ContainsAny(path, "?#%") {
		c.fail(key, "%q may hold no empty segment, query, fragment or escape", path)
	}
}

func (c *checker) route(t *Text, raw *rawRoute, at string) {
	r := &Route{
		Host: strings.ToLower(raw.Host), Prefix: strings.TrimSuffix(raw.Prefix, "/"),
		Name: raw.Name, Service: raw.Service, Strip: raw.Strip,
	}
	r.Kind = c.routeKind(raw, at)
	if r.Host != "" && !hostPattern.MatchString(r.Host) {
		c.fail(at+".host", "%q is no host name (write it without a port)", raw.Host)
	}
	c.path(at+".prefix", raw.Prefix)
	c.parts(t, r, raw, at)
	if t.routes[r.Host] == nil {
		t.routes[r.Host] = map[string]*Route{}
	}
	if other := t.routes[r.Host][r.Prefix]; other != nil {
		c.fail(at+".prefix", "host %q and prefix %q already lead to service %q", r.Host, raw.Prefix, other.Service)
	}
	t.routes[r.Host][r.Prefix] = r
	t.Routes = append(t.Routes, r)
}

// parts reads where the requests of a route go.
func (c *checker) parts(t *Text, r *Route, raw *rawRoute, at string) {
	switch {
	case raw.Service != "" && len(raw.Split) > 0:
		c.fail(at+".split", "stands beside service; a route has one of them")
	case raw.Service == "" && len(raw.Split) == 0:
		c.fail(at+".service", "is missing")
	case raw.Service != "" && t.services[raw.Service] == nil:
		c.fail(at+".service", "service %q is not listed", raw.Service)
	}
	for i, p := range raw.Split {
		key := fmt.Sprintf("%s.split[%d]", at, i)
		if t.services[p.Service] == nil {
			c.fail(key+".service", "service %q is not listed", p.Service)
		}
		if p.Weight == nil {
			c.fail(key+".weight", "is missing")
			continue
		}
		if !(*p.Weight >= 0 && *p.Weight <= maxWeight) {
			c.fail(key+".weight", "lies outside 0 to %g", maxWeight)
		}
		r.Split = append(r.Split, Part{Service: p.Service, Weight: *p.Weight})
	}
}

func (c *checker) workspace(t *Text, raw *rawWorkspace, at string) {
	w := &Workspace{Name: raw.Name, Services: raw.Services, Rate: raw.Rate}
	if c.name(at+".name", raw.Name) && t.workspaces[raw.Name] != nil {
		c.fail(at+".name", "workspace %q is listed twice", raw.Name)
	}
	for _, s := range raw.Services {
		if t.services[s] == nil {
			c.fail(at+".services", "service %q is not listed", s)
		}
	}
	if raw.Rate < 0 || math.IsNaN(raw.Rate) || math.IsInf(raw.Rate, 0) {
		c.fail(at+".rate", "must be a number from 0 on")
	}
	t.Workspaces = append(t.Workspaces, w)
	t.workspaces[w.Name] = w
}

// depends refuses unknown services and cycles.
func (c *checker) depends(t *Text) {
	const visiting, visited = 1, 2
	marks := map[string]int{}
	var visit func(i int, s *Service, path []string)
	visit = func(i int, s *Service, path []string) {
		path = append(path, s.Name)
		if marks[s.Name] == visiting {
			c.fail(fmt.Sprintf("service[%d].depends", i), "services depend on each other in a cycle: %s", strings.Join(path, " -> "))
			return
		}
		if marks[s.Name] == visited {
			return
		}
		marks[s.Name] = visiting
		for _, name := range s.Depends {
			if other := t.services[name]; other != nil {
				visit(slices.Index(t.Services, other), other, path)
			}
		}
		marks[s.Name] = visited
	}
	for i, s := range t.Services {
		for _, name := range s.Depends {
			if t.services[name] == nil {
				c.fail(fmt.Sprintf("service[%d].depends", i), "service %q is not listed", name)
			}
		}
		visit(i, s, nil)
	}
}
