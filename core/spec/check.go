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

// Limits and defaults of a service text.
const (
	maxNameLength  = 64
	defaultTimeout = 30 * time.Second
	maxTimeout     = time.Hour
	maxWeight      = 1e6
	maxPriority    = 1000
	maxAttempts    = 16
	maxConnections = 1 << 20
	maxHeaderBytes = 1 << 20
)

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	hostPattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	allowedMethods = []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	idempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete}
)

type checker struct {
	text   []byte
	lines  map[string]int // by key path, computed for the first error
	errors Errors
}

// addError records an error at a key. If the text does not contain the key, the
// error has the line of the innermost table that would contain it.
func (c *checker) addError(key, format string, args ...any) {
	if c.lines == nil {
		c.lines = keyLines(c.text)
	}
	known := key
	for c.lines[known] == 0 {
		cut := strings.LastIndexAny(known, ".[") // elements of an inline array have no line in keyLines
		if cut < 0 {
			break
		}
		known = known[:cut]
	}
	c.errors = append(c.errors, &Error{Line: c.lines[known], Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) sortedErrors() Errors {
	slices.SortStableFunc(c.errors, func(a, b *Error) int { return a.Line - b.Line })
	return c.errors
}

func (c *checker) check(raw *rawText) *Text {
	t := &Text{
		services:   make(map[string]*Service, len(raw.Service)),
		routes:     map[string]map[string]*Route{},
		workspaces: make(map[string]*Workspace, len(raw.Workspace)),
		keys:       map[Digest]*Workspace{},
	}
	for i := range raw.Service {
		c.checkService(t, &raw.Service[i], fmt.Sprintf("service[%d]", i))
	}
	c.checkDependencies(t)
	for i := range raw.Route {
		c.checkRoute(t, &raw.Route[i], fmt.Sprintf("route[%d]", i))
	}
	for i := range raw.Workspace {
		c.checkWorkspace(t, &raw.Workspace[i], fmt.Sprintf("workspace[%d]", i))
	}
	if raw.Limits != nil {
		t.Limits = c.checkLimits(raw.Limits)
	}
	return t
}

func (c *checker) checkLimits(raw *rawLimits) Limits {
	l := Limits{HeaderBytes: raw.Header, BodyBytes: raw.Body}
	if l.HeaderBytes < 0 || l.HeaderBytes > maxHeaderBytes {
		c.addError("limits.header", "lies outside 0 to %d bytes", maxHeaderBytes)
	}
	if l.BodyBytes < 0 {
		c.addError("limits.body", "is negative")
	}
	if raw.HeaderTime != "" {
		l.HeaderTimeout = c.parseDuration("limits.headertime", raw.HeaderTime)
	}
	if raw.Idle != "" {
		l.IdleTimeout = c.parseDuration("limits.idle", raw.Idle)
	}
	return l
}

func (c *checker) checkName(key, name string) bool {
	switch {
	case name == "":
		c.addError(key, "is missing")
	case len(name) > maxNameLength:
		c.addError(key, "has %d characters, the limit is %d", len(name), maxNameLength)
	case !namePattern.MatchString(name):
		c.addError(key, "%q may hold only a-z, 0-9 and inner hyphens", name)
	default:
		return true
	}
	return false
}

func (c *checker) checkService(t *Text, raw *rawService, table string) {
	s := &Service{Name: raw.Name, Policy: Policy(raw.Policy), Depends: raw.Depends, Home: raw.Home}
	if c.checkName(table+".name", raw.Name) && t.services[raw.Name] != nil {
		c.addError(table+".name", "service %q is listed twice", raw.Name)
	}
	if raw.Floor == "" {
		c.addError(table+".floor", "is missing")
	} else if floor, reason := parseFloor(raw.Floor); reason != "" {
		c.addError(table+".floor", "%q %s", raw.Floor, reason)
	} else {
		s.Floor = floor
	}
	if s.Policy == "" {
		s.Policy = Careful
	}
	if s.Policy != Careful && s.Policy != Fast {
		c.addError(table+".policy", `%q is neither "careful" nor "fast"`, raw.Policy)
	}
	s.HealthPath, s.MaxConnections = raw.Health, raw.Connections
	c.checkPath(table+".health", raw.Health)
	if raw.Connections < 0 || raw.Connections > maxConnections {
		c.addError(table+".connections", "lies outside 0 to %d", maxConnections)
	}
	for i := range raw.Kind {
		c.checkKind(s, &raw.Kind[i], fmt.Sprintf("%s.kind[%d]", table, i))
	}
	if len(raw.Kind) == 0 {
		s.Kinds = defaultKinds()
	}
	t.Services = append(t.Services, s)
	t.services[s.Name] = s
}

// defaultKinds returns the kinds of a service that lists none: requests with an
// idempotent method are repeatable, others are not.
func defaultKinds() []*Kind {
	return []*Kind{
		{Name: "idempotent", Methods: idempotentMethods, Repeatable: true, Weight: 1, Timeout: defaultTimeout},
		{Name: "other", Weight: 1, Timeout: defaultTimeout},
	}
}

func (c *checker) checkKind(s *Service, raw *rawKind, table string) {
	k := c.parseKind(raw, table)
	if c.checkName(table+".name", raw.Name) && slices.ContainsFunc(s.Kinds, func(o *Kind) bool { return o.Name == raw.Name }) {
		c.addError(table+".name", "kind %q is listed twice", raw.Name)
	}
	for _, m := range raw.Methods {
		if !slices.Contains(allowedMethods, strings.ToUpper(m)) {
			c.addError(table+".methods", "%q is no method that can be proxied", m)
		}
		k.Methods = append(k.Methods, strings.ToUpper(m))
	}
	c.checkPath(table+".path", raw.Path)
	s.Kinds = append(s.Kinds, k)
}

// parseKind parses the settings that kinds of services and routes share.
func (c *checker) parseKind(raw *rawKind, table string) *Kind {
	k := &Kind{
		Name: raw.Name, Path: strings.TrimSuffix(raw.Path, "/"), Weight: 1,
		Timeout: defaultTimeout, Hedge: raw.Hedge, Upload: raw.Upload,
		Priority: raw.Priority, MaxAttempts: raw.Attempts,
	}
	if raw.Repeat == nil {
		c.addError(table+".repeat", "is missing: true if the request is idempotent, false if it must run at most once")
	} else {
		k.Repeatable = *raw.Repeat
	}
	c.checkKey(k, raw, table)
	if raw.Weight != nil {
		k.Weight = *raw.Weight
	}
	if !(k.Weight > 0 && k.Weight <= maxWeight) || math.IsNaN(k.Weight) {
		c.addError(table+".weight", "lies outside 0 (exclusive) to %g", maxWeight)
	}
	if raw.Timeout != "" {
		k.Timeout = c.parseDuration(table+".timeout", raw.Timeout)
	}
	if raw.Goal != "" {
		k.LatencyGoal = c.parseDuration(table+".goal", raw.Goal)
	}
	if k.Priority < 0 || k.Priority > maxPriority {
		c.addError(table+".priority", "lies outside 0 to %d", maxPriority)
	}
	if k.MaxAttempts < 0 || k.MaxAttempts > maxAttempts {
		c.addError(table+".attempts", "lies outside 0 to %d", maxAttempts)
	}
	return k
}

// parseRouteKind parses the kind of a route. It applies to all requests of the
// route, so it may not restrict them by method or path.
func (c *checker) parseRouteKind(raw *rawRoute, table string) *Kind {
	if raw.Kind == nil {
		return nil
	}
	if len(raw.Kind.Methods) > 0 || raw.Kind.Path != "" {
		c.addError(table+".kind", "may have neither methods nor a path")
	}
	k := c.parseKind(raw.Kind, table+".kind")
	if k.Name == "" {
		k.Name = raw.Name
	}
	return k
}

func (c *checker) checkKey(k *Kind, raw *rawKind, table string) {
	switch raw.Key {
	case "", "optional":
	case "required":
		k.KeyRequired = true
	default:
		c.addError(table+".key", `%q is neither "required" nor "optional"`, raw.Key)
	}
	if k.Repeatable && raw.Key != "" {
		c.addError(table+".key", "has no meaning with repeat = true")
	}
	if !k.Repeatable && raw.Hedge {
		c.addError(table+".hedge", "a request that must not repeat cannot be hedged")
	}
}

func (c *checker) parseDuration(key, s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		c.addError(key, `%q is no duration such as "10s"`, s)
		return defaultTimeout
	}
	if d <= 0 || d > maxTimeout {
		c.addError(key, "%s lies outside 0 (exclusive) to %s", d, maxTimeout)
	}
	return d
}

func (c *checker) checkPath(key, path string) {
	if path != "" && !strings.HasPrefix(path, "/") {
		c.addError(key, "%q does not begin with a slash", path)
	}
	if strings.Contains(path, "//") || strings.ContainsAny(path, "?#%") {
		c.addError(key, "%q may hold no empty segment, query, fragment or escape", path)
	}
}

func (c *checker) checkRoute(t *Text, raw *rawRoute, table string) {
	r := &Route{
		Host: strings.ToLower(raw.Host), Prefix: strings.TrimSuffix(raw.Prefix, "/"),
		Name: raw.Name, Service: raw.Service, StripPrefix: raw.Strip, Public: raw.Public,
	}
	r.Kind = c.parseRouteKind(raw, table)
	if r.Host != "" && !hostPattern.MatchString(r.Host) {
		c.addError(table+".host", "%q is no host name (write it without a port)", raw.Host)
	}
	c.checkPath(table+".prefix", raw.Prefix)
	c.checkDestinations(t, r, raw, table)
	if t.routes[r.Host] == nil {
		t.routes[r.Host] = map[string]*Route{}
	}
	if other := t.routes[r.Host][r.Prefix]; other != nil {
		c.addError(table+".prefix", "host %q and prefix %q already lead to service %q", r.Host, raw.Prefix, other.Service)
	}
	t.routes[r.Host][r.Prefix] = r
	t.Routes = append(t.Routes, r)
}

// checkDestinations parses the service, or the split of services, to which a route
// leads.
func (c *checker) checkDestinations(t *Text, r *Route, raw *rawRoute, table string) {
	switch {
	case raw.Service != "" && len(raw.Split) > 0:
		c.addError(table+".split", "stands beside service; a route has one of them")
	case raw.Service == "" && len(raw.Split) == 0:
		c.addError(table+".service", "is missing")
	case raw.Service != "" && t.services[raw.Service] == nil:
		c.addError(table+".service", "service %q is not listed", raw.Service)
	}
	for i, p := range raw.Split {
		key := fmt.Sprintf("%s.split[%d]", table, i)
		if t.services[p.Service] == nil {
			c.addError(key+".service", "service %q is not listed", p.Service)
		}
		if p.Weight == nil {
			c.addError(key+".weight", "is missing")
			continue
		}
		if !(*p.Weight >= 0 && *p.Weight <= maxWeight) {
			c.addError(key+".weight", "lies outside 0 to %g", maxWeight)
		}
		r.Split = append(r.Split, SplitPart{Service: p.Service, Weight: *p.Weight})
	}
}

func (c *checker) checkWorkspace(t *Text, raw *rawWorkspace, table string) {
	w := &Workspace{Name: raw.Name, Services: raw.Services, RateLimit: raw.Rate, Burst: raw.Burst, Priority: raw.Priority, Keyed: raw.Keyed}
	if c.checkName(table+".name", raw.Name) && t.workspaces[raw.Name] != nil {
		c.addError(table+".name", "workspace %q is listed twice", raw.Name)
	}
	for _, s := range raw.Services {
		if t.services[s] == nil {
			c.addError(table+".services", "service %q is not listed", s)
		}
	}
	if raw.Rate < 0 || math.IsNaN(raw.Rate) || math.IsInf(raw.Rate, 0) {
		c.addError(table+".rate", "must be a number from 0 on")
	}
	if raw.Burst < 0 || math.IsNaN(raw.Burst) || math.IsInf(raw.Burst, 0) {
		c.addError(table+".burst", "must be a number from 0 on")
	}
	if raw.Priority != nil && (*raw.Priority < 0 || *raw.Priority > maxPriority) {
		c.addError(table+".priority", "lies outside 0 to %d", maxPriority)
	}
	c.checkKeys(t, w, raw, table)
	t.keyed = t.keyed || w.Keyed || len(w.Keys) > 0
	t.Workspaces = append(t.Workspaces, w)
	t.workspaces[w.Name] = w
}

// checkKeys parses the keys of a workspace. Its errors never contain a key.
func (c *checker) checkKeys(t *Text, w *Workspace, raw *rawWorkspace, table string) {
	for i, source := range raw.Keys {
		place := fmt.Sprintf("%s.keys[%d]", table, i)
		key, reason := parseKey(source)
		if reason != "" {
			c.addError(place, "%s", reason)
			continue
		}
		if other := t.keys[key.Digest]; other != nil && other != w {
			c.addError(place, "workspace %q has the same key", other.Name)
			continue
		}
		w.Keys = append(w.Keys, key)
		t.keys[key.Digest] = w
	}
}

// checkDependencies reports dependencies on unknown services and dependency cycles.
func (c *checker) checkDependencies(t *Text) {
	const visiting, visited = 1, 2
	marks := map[string]int{}
	var visit func(i int, s *Service, path []string)
	visit = func(i int, s *Service, path []string) {
		path = append(path, s.Name)
		if marks[s.Name] == visiting {
			c.addError(fmt.Sprintf("service[%d].depends", i), "services depend on each other in a cycle: %s", strings.Join(path, " -> "))
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
				c.addError(fmt.Sprintf("service[%d].depends", i), "service %q is not listed", name)
			}
		}
		visit(i, s, nil)
	}
}
