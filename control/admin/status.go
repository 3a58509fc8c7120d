package admin

import (
	"fmt"
	"net/http"
	"time"

	"github.com/galenalock/galenalock/control/fleet"
	"github.com/galenalock/galenalock/core/serve"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

func (a *Admin) status(w http.ResponseWriter, r *http.Request) error {
	confirmed := a.fresh(r)
	v, s := a.View(), a.Status()
	newest := v.Newest()
	doc := Status{
		Confirmed: confirmed,
		Replica: Local{
			ID: s.ID, Leader: s.Leader, Role: fmt.Sprint(s.Role), Term: s.Term, Commit: s.Commit, Applied: s.Applied,
			Age: seconds(s.Staleness), Running: v.Running, Unknown: v.Unknown, Keys: v.Keys,
		},
		Revision:  revision(newest),
		Lowest:    newest.Number,
		Instances: []Instance{},
		Drains:    drainsOf(v),
	}
	drained := map[string]bool{}
	for _, d := range v.Drains {
		drained[d.Name] = true
	}
	for _, i := range a.Instances() {
		line := instanceOf(i, v, a.Clock())
		line.Drained = drained[i.Name]
		doc.Instances = append(doc.Instances, line)
		if line.Reachable && line.Lag > doc.Lag {
			doc.Lag, doc.Slowest, doc.Lowest = line.Lag, i.Name, line.Revision
		}
	}
	serve.WriteJSON(w, http.StatusOK, doc)
	return nil
}

// reachableAge is how long after its last report an instance that is linked to
// another replica counts as reachable. Replicas pass reports on every 5 s.
const reachableAge = 12 * time.Second

func instanceOf(i fleet.Instance, v *state.View, now time.Time) Instance {
	line := Instance{
		Name: i.Name, Role: string(i.Role), Region: i.Region, DataCentre: i.DataCentre, Address: i.Peer,
		State: i.State, Revision: i.Revision, Confirmed: seconds(i.ConfirmationAge), Age: seconds(now.Sub(i.LastSeen)),
		Inflight: i.Inflight, Reachable: i.Linked || now.Sub(i.LastSeen) < reachableAge,
	}
	newest := v.Newest().Number
	if i.Role != wire.RoleEntry || i.Revision >= newest {
		return line
	}
	line.Lag = newest - i.Revision
	for _, h := range v.History() {
		if h.Number > i.Revision {
			line.Behind = seconds(now.Sub(h.Time)) // ends at the oldest one that it lacks
		}
	}
	return line
}

// seconds rounds to milliseconds.
func seconds(d time.Duration) float64 { return d.Round(time.Millisecond).Seconds() }

func (a *Admin) targets(w http.ResponseWriter, r *http.Request) error {
	doc := Targets{Confirmed: a.fresh(r), Targets: a.Targets()}
	if doc.Targets == nil {
		doc.Targets = []Target{}
	}
	serve.WriteJSON(w, http.StatusOK, doc)
	return nil
}

// TargetsOf lists the targets that the state itself knows: those out of
// service. A replica without a registry of targets shows these.
func TargetsOf(v *state.View, now time.Time) []Target {
	out := []Target{}
	for _, l := range v.Leases {
		line := Target{
			Service: l.Service, Address: l.Target.Address, Start: l.Target.Start,
			State: "ejected", Reason: "slower or failing more often than its peers; the lease takes it out of service", Left: seconds(max(0, l.Expires.Sub(now))), Score: l.Target.Score,
		}
		if !l.Current {
			line.State, line.Reason = "withdrawn", "back in service; its last lease counts until it has expired everywhere"
		}
		out = append(out, line)
	}
	return out
}
