package spec

import (
	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Encode returns the TOML form of a service text. Parse returns an equal Text for
// it.
func Encode(t *Text) ([]byte, error) {
	raw := rawText{}
	if t.Limits != (Limits{}) {
		raw.Limits = &rawLimits{Header: t.Limits.HeaderBytes, Body: t.Limits.BodyBytes}
		if t.Limits.HeaderTimeout > 0 {
			raw.Limits.HeaderTime = t.Limits.HeaderTimeout.String()
		}
		if t.Limits.IdleTimeout > 0 {
			raw.Limits.Idle = t.Limits.IdleTimeout.String()
		}
	}
	for _, s := range t.Services {
		item := rawService{
			Name: s.Name, Floor: s.Floor.String(), Policy: string(s.Policy), Depends: s.Depends,
			Home: s.Home, Health: s.HealthPath, Connections: s.MaxConnections,
		}
		for _, k := range s.Kinds {
			item.Kind = append(item.Kind, *encodeKind(k))
		}
		raw.Service = append(raw.Service, item)
	}
	for _, r := range t.Routes {
		item := rawRoute{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Service: r.Service, Strip: r.StripPrefix, Public: r.Public}
		for _, p := range r.Split {
			item.Split = append(item.Split, rawSplitPart{Service: p.Service, Weight: &p.Weight})
		}
		if r.Kind != nil {
			item.Kind = encodeKind(r.Kind)
		}
		raw.Route = append(raw.Route, item)
	}
	for _, w := range t.Workspaces {
		item := rawWorkspace{Name: w.Name, Services: w.Services, Rate: w.RateLimit, Burst: w.Burst, Priority: w.Priority, Keyed: w.Keyed}
		for i := range w.Keys {
			item.Keys = append(item.Keys, w.Keys[i].source())
		}
		raw.Workspace = append(raw.Workspace, item)
	}
	text, err := toml.Marshal(raw)
	return text, eris.Wrap(err, "encode service text")
}

func encodeKind(k *Kind) *rawKind {
	raw := &rawKind{
		Name: k.Name, Methods: k.Methods, Path: k.Path, Repeat: &k.Repeatable, Weight: &k.Weight,
		Timeout: k.Timeout.String(), Priority: k.Priority, Attempts: k.MaxAttempts,
		Hedge: k.Hedge, Upload: k.Upload,
	}
	if k.KeyRequired {
		raw.Key = "required"
	}
	if k.LatencyGoal > 0 {
		raw.Goal = k.LatencyGoal.String()
	}
	return raw
}
