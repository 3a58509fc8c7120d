package proxy

import "github.com/galenalock/galenalock/core/drain"

// TrackInflight returns an Enter hook that registers requests in flight with a
// drain core.
func TrackInflight(core *drain.Core) func(Request) (leave func(), ok bool) {
	return func(r Request) (func(), bool) {
		number, ok := core.Begin(drain.Request{ID: r.ID, Service: r.Service.Name, Kind: r.Kind.Name, Start: r.Start})
		if !ok {
			return nil, false
		}
		return func() { core.Finish(number) }, true
	}
}
