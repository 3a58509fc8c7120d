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
		raw.Limits = &rawLimits{Header: t.Limits.Header, Body: t.Limits.Body}
		if t.Limits.HeaderTime > 0 {
			raw.Limits.HeaderTime = t.Limits.HeaderTime.String()
		}
		if t.Limits.Idle > 0 {
			raw.Limits.Idle = t.Limits.Idle.String()
		}
	}
	for _, s := range t.Services {
		item := rawService{
			Name: s.Name, Floor: s.Floor.String(), Policy: string(s.Policy), Depends: s.Depends,
			Home: s.Home, Health: s.Health, Connections: s.Connections,
		}
		for _, k := range s.Kinds {
			item.Kind = append(item.Kind, *encodeKind(k))
		}
		raw.Service = append(raw.Service, item)
	}
	for _, r := range t.Routes {
		item := rawRoute{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Service: r.Service, Strip: r.Strip}
		for _, p := range r.Split {
			item.Split = append(item.Split, rawSplitPart{Service: p.Service, Weight: &p.Weight})
		}
		if r.Kind != nil {
			item.Kind = encodeKind(r.Kind)
		}
		raw.Route = append(raw.Route, item)
	}
	for _, w := range t.Workspaces {
		raw.Workspace = append(raw.Workspace, rawWorkspace{Name: w.Name, Services: w.Services, Rate: w.Rate})
	}
	text, err := toml.Marshal(raw)
	return text, eris.Wrap(err, "encode service text")
}

func encodeKind(k *Kind) *rawKind {
	raw := &rawKind{
		Name: k.Name, Methods: k.Methods, Path: k.Path, Repeat: &k.Repeat, Weight: &k.Weight,
		Timeout: k.Timeout.String(), Priority: k.Priority, Attempts: k.Attempts,
		Hedge: k.Hedge, Upload: k.Upload,
	}
	if k.Key {
		raw.Key = "required"
	}
	if k.Goal > 0 {
		raw.Goal = k.Goal.String()
	}
	return raw
}
