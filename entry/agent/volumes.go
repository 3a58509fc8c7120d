package agent

import (
	"net/netip"
	"sync"

	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/spec"
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

// Route describes how a complete response came.
type Route struct {
	Reused         bool // the connection had carried a request before
	Nearby         bool // from another data centre of the region
	Sent, Received int64
}

// recordRoute records what later choices depend on: the connect time, the bytes of a
// complete exchange, and refusals.
func (a *Agent) recordRoute(d *attemptHandle, at proxy.Attempt, o proxy.Outcome) {
	d.endpoint.RecordConnect(o.ConnectTime)
	switch o.Class {
	case proxy.Refused:
		d.upstream.router.RecordRefusal(o.End)
	case proxy.Answered:
		d.upstream.volumes.of(at.Request.Kind.Name).Record(o.BytesSent, o.BytesReceived)
		if a.hooks.CountRoute != nil {
			nearby := d.target.Region == a.settings.Region && d.target.DataCentre != a.settings.DataCentre
			a.hooks.CountRoute(Route{Reused: o.Reused, Nearby: nearby, Sent: o.BytesSent, Received: o.BytesReceived})
		}
	}
}

// routeRequest describes a request of a kind to the router.
func (a *Agent) routeRequest(u *upstream, k *spec.Kind, exclude []netip.AddrPort) route.Request {
	out := route.Request{NonRepeatable: !k.Repeatable, LargeBody: k.Upload, Exclude: exclude}
	if a.settings.Near {
		out.Bytes = u.volumes.of(k.Name).Mean()
	}
	return out
}
