package agent

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/route"
)

// Fleet counts what the instance knows of the fleet.
type Fleet struct {
	Instances int
	Targets   int
}

// Fleet returns the present counts.
func (a *Agent) Fleet() Fleet { return *a.fleet.Load() }

// Known is a target as this entry sees it.
type Known struct {
	Service    string         `json:"service"`
	Address    netip.AddrPort `json:"address"`
	Region     string         `json:"region"`
	DataCentre string         `json:"datacentre"`
	Slots      int            `json:"slots"`
	Start      time.Time      `json:"start"`
	State      string         `json:"state"`
	Inflight   int            `json:"inflight"`
	Reason     string         `json:"reason"`
}

// Targets lists the targets of all services in force with their state and the
// reason for it, by service and address.
func (a *Agent) Targets() []Known {
	upstreams := *a.routes.Load()
	out := []Known{}
	for _, name := range slices.Sorted(maps.Keys(upstreams)) {
		for _, t := range *upstreams[name].lines.Load() {
			out = append(out, Known{
				Service: name, Address: t.Address, Region: t.Region, DataCentre: t.DataCentre,
				Slots: t.Slots, Start: t.Start, State: t.state(), Inflight: t.endpoint.Inflight(), Reason: t.reason(),
			})
		}
	}
	return out
}

// line is a target as it stood at the last update of its upstream.
type line struct {
	roster.Target
	endpoint *route.Endpoint
	weight   float64
	out      bool // held out by a grant
	probe    bool // in probation
	drained  bool // by an operator
}

func (t *line) state() string {
	switch {
	case t.State == gossip.StateDraining || t.State == gossip.StateLeaving || t.drained:
		return "draining"
	case t.probe:
		return "probation"
	case t.out:
		return "ejected"
	case t.weight < 1:
		return "suspect"
	}
	return string(t.State)
}

// reason tells in words why the target is in its state.
func (t *line) reason() string {
	switch t.state() {
	case "draining":
		if t.drained {
			return "drained by an operator"
		}
		return "the target announced that it is " + string(t.State)
	case "probation":
		return "a grant holds it out; a few repeatable requests test it"
	case "ejected":
		return "a grant of the control leader holds it out"
	case "suspect":
		return "slower or failing more often than its peers from here"
	}
	return "announced"
}
