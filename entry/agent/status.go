package agent

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/quota"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/route"
)

// Fleet holds the numbers of instances and targets that the entry knows.
type Fleet struct {
	Instances int
	Targets   int
}

// Fleet returns the current numbers, which are updated every second.
func (a *Agent) Fleet() Fleet { return *a.fleet.Load() }

// TargetStatus describes a target as this entry sees it.
type TargetStatus struct {
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

// Targets returns the targets of all services with their state and the reason for
// it, sorted by service and address.
func (a *Agent) Targets() []TargetStatus {
	upstreams := *a.upstreamSnapshot.Load()
	out := []TargetStatus{}
	for _, name := range slices.Sorted(maps.Keys(upstreams)) {
		for _, t := range *upstreams[name].snapshots.Load() {
			out = append(out, TargetStatus{
				Service: name, Address: t.Address, Region: t.Region, DataCentre: t.DataCentre,
				Slots: t.Slots, Start: t.Start, State: t.state(), Inflight: t.endpoint.Inflight(), Reason: t.reason(),
			})
		}
	}
	return out
}

// targetSnapshot is a target as of the last update of its upstream.
type targetSnapshot struct {
	roster.Target
	endpoint  *route.Endpoint
	quota     *quota.Target
	weight    float64
	ejected   bool // ejected by a grant
	probation bool // ejected, but tested with a few requests
	drained   bool // drained by an operator
}

// isInService reports whether the target is meant to take requests.
func (t *targetSnapshot) isInService() bool {
	return isInService(t.Target) && !t.drained && !t.ejected
}

func (t *targetSnapshot) state() string {
	switch {
	case t.State == gossip.StateDraining || t.State == gossip.StateLeaving || t.drained:
		return "draining"
	case t.probation:
		return "probation"
	case t.ejected:
		return "ejected"
	case t.weight < 1:
		return "suspect"
	}
	return string(t.State)
}

// reason explains the state of the target to operators.
func (t *targetSnapshot) reason() string {
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
