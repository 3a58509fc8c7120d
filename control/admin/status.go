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
	confirmed := a.catchUp(r)
	v, s := a.View(), a.Status()
	newest := v.Newest()
	doc := Status{
		Confirmed: confirmed,
		Replica: LocalReplica{
			ID: s.ID, Leader: s.Leader, Role: fmt.Sprint(s.Role), Term: s.Term, Commit: s.Commit, Applied: s.Applied,
			Age: seconds(s.Staleness), Running: v.Running, Unknown: v.Unknown, Keys: v.Keys,
		},
		Revision:  revision(newest),
		Lowest:    newest.Number,
		Instances: []Instance{},
		Drains:    listDrains(v),
	}
	drained := map[string]bool{}
	for _, d := range v.Drains {
		drained[d.Name] = true
	}
	for _, i := range a.Instances() {
		instance := describeInstance(i, v, a.Clock())
		instance.Drained = drained[i.Name]
		doc.Instances = append(doc.Instances, instance)
		if instance.Reachable && instance.Lag > doc.Lag {
			doc.Lag, doc.Slowest, doc.Lowest = instance.Lag, i.Name, instance.Revision
		}
	}
	serve.WriteJSON(w, http.StatusOK, doc)
	return nil
}

// maxReportAge is how long after its last report an instance counts as reachable
// when it is linked to another replica: the longest time between two relayed
// reports, and a margin for their delay.
const maxReportAge = wire.ReportInterval + fleet.ReportRelayInterval + 5*time.Second

func describeInstance(i fleet.Instance, v *state.View, now time.Time) Instance {
	described := Instance{
		Name: i.Name, Role: string(i.Role), Region: i.Region, DataCentre: i.DataCentre, Address: i.Peer,
		State: i.State, Revision: i.Revision, Confirmed: seconds(i.ConfirmationAge), Age: seconds(now.Sub(i.LastSeen)),
		Inflight: i.Inflight, Reachable: i.Linked || now.Sub(i.LastSeen) < maxReportAge,
	}
	newest := v.Newest().Number
	if i.Role != wire.RoleEntry || i.Revision >= newest {
		return described
	}
	described.Lag = newest - i.Revision
	for _, h := range v.History() {
		if h.Number > i.Revision {
			described.Behind = seconds(now.Sub(h.Time)) // newest first: the last match is the oldest missing revision
		}
	}
	return described
}

// seconds returns a duration in seconds, rounded to milliseconds.
func seconds(d time.Duration) float64 { return d.Round(time.Millisecond).Seconds() }

func (a *Admin) targets(w http.ResponseWriter, r *http.Request) error {
	doc := Targets{Confirmed: a.catchUp(r), Targets: a.Targets()}
	if doc.Targets == nil {
		doc.Targets = []Target{}
	}
	serve.WriteJSON(w, http.StatusOK, doc)
	return nil
}

// LeasedTargets lists the targets with an ejection lease, including leases that
// are withdrawn but have not expired. A replica that does not take part in the
// overlay reports only these.
func LeasedTargets(v *state.View, now time.Time) []Target {
	out := []Target{}
	for _, l := range v.Leases {
		target := Target{
			Service: l.Service, Address: l.Target.Address, Start: l.Target.Start,
			State: "ejected", Reason: "slower or failing more often than its peers; the lease takes it out of service", Left: seconds(max(0, l.Expires.Sub(now))), Score: l.Target.Score,
		}
		if !l.Current {
			target.State, target.Reason = "withdrawn", "back in service; its last lease counts until it has expired everywhere"
		}
		out = append(out, target)
	}
	return out
}
