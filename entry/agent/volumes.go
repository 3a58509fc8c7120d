package agent

import (
	"sync"

	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/entry/proxy"
)

// volumes holds what the requests of each kind of a service carry.
type volumes struct{ byKind sync.Map } // from the name of a kind to *route.Volume

// of returns the volume of a kind.
func (v *volumes) of(kind string) *route.Volume {
	if known, ok := v.byKind.Load(kind); ok {
		return known.(*route.Volume) //nolint:forcetypeassert // the map holds nothing else
	}
	known, _ := v.byKind.LoadOrStore(kind, &route.Volume{})
	return known.(*route.Volume) //nolint:forcetypeassert // the map holds nothing else
}

// recordRoute records what later choices depend on: the connect time, the bytes of a
// complete exchange, and refusals.
func (d *attemptHandle) recordRoute(at proxy.Attempt, o proxy.Outcome) {
	d.endpoint.RecordConnect(o.ConnectTime)
	switch o.Class {
	case proxy.Refused:
		d.upstream.router.RecordRefusal(o.End)
	case proxy.Answered:
		d.upstream.volumes.of(at.Request.Kind.Name).Record(o.BytesSent, o.BytesReceived)
	}
}
