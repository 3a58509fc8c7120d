package agent

import (
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/entry/proxy"
)

// Query describes a request that is not sent.
type Query struct {
	Method    string
	Host      string
	Path      string
	Workspace string
	Size      int64 // of the body in bytes
}

// Preview tells what this entry would do with a request now.
type Preview struct {
	Refusal   string            `json:"refusal,omitempty"` // reason of a refusal that is certain
	Detail    string            `json:"detail,omitempty"`
	Route     string            `json:"route,omitempty"`
	Prefix    string            `json:"prefix,omitempty"`
	Public    bool              `json:"public"`
	Path      string            `json:"path,omitempty"` // state of the path to the targets
	Workspace *WorkspacePreview `json:"workspace,omitempty"`
	Services  []ServicePreview  `json:"services"` // several if the route is split
}

// WorkspacePreview is the limit of a workspace.
type WorkspacePreview struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"` // requests a second in the whole fleet, 0: no limit
	Burst float64 `json:"burst"`
	// Left is the number of requests that this entry may send at once. It asks control
	// for more tokens if its targets come from there. Without meaning if Rate is 0.
	Left float64 `json:"left"`
}

// ServicePreview is a service that may run the request.
type ServicePreview struct {
	Name    string  `json:"name"`
	Share   float64 `json:"share"` // of the requests of the route
	Refusal string  `json:"refusal,omitempty"`

	Kind        string  `json:"kind"`
	Repeatable  bool    `json:"repeatable"`
	KeyRequired bool    `json:"keyrequired"`
	Priority    int     `json:"priority"`
	Weight      float64 `json:"weight"`
	Timeout     string  `json:"timeout"`
	Goal        string  `json:"goal,omitempty"`

	Limit    float64 `json:"limit"` // requests that this entry admits at once
	Inflight int     `json:"inflight"`
	Waiting  int     `json:"waiting"`

	ByCost  bool            `json:"bycost"` // targets are chosen by cost; otherwise the costs are estimates
	Targets []TargetPreview `json:"targets"`
}

// TargetPreview is a target of a service. The terms of the cost are multiples of the
// typical latency.
type TargetPreview struct {
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"datacentre"`
	State      string         `json:"state"`
	Load       float64        `json:"load"`
	Slots      float64        `json:"slots"`
	Busy       float64        `json:"busy"`
	Far        float64        `json:"far"`
	Risk       float64        `json:"risk"`
	Cost       float64        `json:"cost"`
	Share      float64        `json:"share"`            // of the requests that it would get
	Reason     string         `json:"reason,omitempty"` // why it gets none
}

// Preview tells what the entry would do with a request. It sends nothing, takes no token
// and no place in a queue.
func (a *Agent) Preview(q Query, now time.Time) (Preview, error) {
	out := Preview{Services: []ServicePreview{}, Path: string(a.path.tracker.State())}
	text := a.View().Text
	if text == nil {
		out.Refusal = string(refuse.NotReady)
		return out, nil
	}
	r, err := http.NewRequest(q.Method, "http://"+q.Host+q.Path, nil)
	if err != nil {
		return out, err
	}
	matched, path, err := proxy.RouteOf(text, r)
	var refusal *refuse.Error
	switch {
	case errors.As(err, &refusal):
		out.Refusal, out.Detail = string(refusal.Reason), refusal.Detail
		return out, nil
	case err != nil:
		return out, err
	}
	out.Route, out.Prefix, out.Public = matched.Name, matched.Prefix, matched.Public
	if limit := text.Limits.BodyBytes; limit > 0 && q.Size > limit {
		out.Refusal = string(refuse.TooLarge)
	}
	workspace := text.Workspace(q.Workspace)
	switch {
	case workspace != nil:
		out.Workspace = &WorkspacePreview{
			Name: workspace.Name, Rate: workspace.RateLimit, Burst: workspace.Burst, Left: a.rateLeft(q.Workspace),
		}
	case q.Workspace != "":
		out.Refusal = string(refuse.NoWorkspace)
	}
	for _, part := range partsOf(matched) {
		if service := text.Service(part.Service); service != nil {
			out.Services = append(out.Services, a.previewService(service, matched, workspace, part.Weight, q.Method, path, now))
		}
	}
	return out, nil
}

// partsOf returns the services of a route with their shares.
func partsOf(r *spec.Route) []spec.SplitPart {
	if len(r.Split) == 0 {
		return []spec.SplitPart{{Service: r.Service, Weight: 1}}
	}
	total := 0.0
	for _, p := range r.Split {
		total += p.Weight
	}
	var out []spec.SplitPart
	for _, p := range r.Split {
		share := 1 / float64(len(r.Split))
		if total > 0 {
			share = p.Weight / total
		}
		out = append(out, spec.SplitPart{Service: p.Service, Weight: share})
	}
	return out
}

func (a *Agent) previewService(s *spec.Service, r *spec.Route, w *spec.Workspace, share float64, method, path string, now time.Time) ServicePreview {
	out := ServicePreview{Name: s.Name, Share: share, ByCost: a.registry != nil, Targets: []TargetPreview{}}
	if w != nil && !w.Allows(s.Name) {
		out.Refusal = string(refuse.NoWorkspace)
	}
	kind := r.Kind
	if kind == nil {
		kind = s.Kind(method, path)
	}
	if kind == nil {
		out.Refusal = string(refuse.NoMethod)
		return out
	}
	out.Kind, out.Repeatable, out.KeyRequired = kind.Name, kind.Repeatable, kind.KeyRequired
	out.Priority, out.Weight, out.Timeout = kind.Priority, kind.Weight, kind.Timeout.String()
	if w != nil && w.Priority != nil {
		out.Priority = *w.Priority
	}
	if kind.LatencyGoal > 0 {
		out.Goal = kind.LatencyGoal.String()
	}
	u := a.upstream(s.Name)
	if u == nil {
		return out
	}
	out.Limit, out.Inflight, out.Waiting = u.gate.Limit()
	candidates := map[netip.AddrPort]route.Candidate{}
	for _, c := range u.router.Explain(now, a.routeRequest(u, kind, nil)) {
		candidates[c.Address] = c
	}
	for _, t := range *u.snapshots.Load() {
		p := TargetPreview{Address: t.Address, DataCentre: t.DataCentre, State: t.state(), Slots: float64(t.Slots)}
		if c, ok := candidates[t.Address]; ok {
			p.Load, p.Slots, p.Busy, p.Far, p.Risk, p.Cost, p.Share, p.Reason = c.Load, c.Slots, c.Busy, c.Far, c.Risk, c.Cost, c.Share, c.Reason
		} else if p.Reason = t.reason(); t.isInService() {
			p.Reason = "outside of the subset of this entry"
		}
		out.Targets = append(out.Targets, p)
	}
	return out
}

// rateLeft returns the requests that a workspace may send at once through this entry.
func (a *Agent) rateLeft(workspace string) float64 {
	if a.usesShares() {
		return a.rates.left(workspace)
	}
	return float64(a.tokens.held(workspace))
}

// left returns the requests that a workspace may send at once through this entry. It
// takes none of them.
func (r *rates) left(workspace string) float64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if l := r.limiters[workspace]; l != nil {
		return max(0, l.Tokens())
	}
	return 0
}
