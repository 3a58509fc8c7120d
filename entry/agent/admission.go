package agent

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/core/limit"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/room"
	"github.com/galenalock/galenalock/entry/proxy"
)

// overloadLogGap is how long a service must have room before the end of an overload is
// logged, so that a service at the threshold does not fill the log.
const overloadLogGap = 3 * time.Second

// overloadLog logs the begin and the end of overloads of a service. Only the control
// goroutine accesses it.
type overloadLog struct {
	since    time.Time // begin of the present overload, zero without one
	lastSeen time.Time
}

// newTicket returns the ticket of a request for the gate.
func newTicket(r proxy.Request) *limit.Ticket {
	t := &limit.Ticket{
		Kind: r.Kind.Name, Rank: rankOf(r), Weight: r.Kind.Weight, Deadline: r.Deadline, Wake: make(chan limit.Decision, 1),
	}
	if r.Kind.LatencyGoal > 0 {
		t.Goal = r.Start.Add(r.Kind.LatencyGoal)
	}
	return t
}

// rankOf returns the rank of a request under overload: the priority of its workspace if
// that has one, else that of its kind.
func rankOf(r proxy.Request) int {
	if r.Workspace != "" && r.View != nil && r.View.Text != nil {
		if w := r.View.Text.Workspace(r.Workspace); w != nil && w.Priority != nil {
			return *w.Priority
		}
	}
	return r.Kind.Priority
}

// overloadRefusal returns the refusal of a request that the gate refused.
func overloadRefusal(t *limit.Ticket) *refuse.Error {
	after := t.RetryAfter
	if after == 0 {
		after = overloadRetryAfter
	}
	return &refuse.Error{Reason: t.Reason, Run: refuse.NotRun, RetryAfter: after}
}

// observeRoom records what an attempt tells of the capacity of the service.
func (a *Agent) observeRoom(u *upstream, t *target, o proxy.Outcome) {
	if o.HasLoad {
		u.gate.ObserveTarget(o.End, a.tierOf(t.Region, t.DataCentre), o.Load.Running+o.Load.Waiting, o.Load.Slots)
	}
	if o.Class == proxy.Refused {
		u.gate.ObserveShed(o.End)
	}
}

// tierOf returns the tier of a target of a region and a data centre.
func (a *Agent) tierOf(region, dataCentre string) room.Tier {
	switch {
	case region != a.settings.Region:
		return room.OtherRegion
	case dataCentre != a.settings.DataCentre:
		return room.SameRegion
	}
	return room.SameDataCentre
}

// excludeFull adds the targets that have no room for the request to exclude, if it was
// admitted to targets further away.
func (a *Agent) excludeFull(u *upstream, r proxy.Request, exclude []netip.AddrPort) []netip.AddrPort {
	ticket, ok := r.Admission.Handle.(*limit.Ticket)
	if !ok || ticket.Tier == room.SameDataCentre {
		return exclude
	}
	out := slices.Clone(exclude)
	for _, t := range *u.snapshots.Load() {
		if a.tierOf(t.Region, t.DataCentre) < ticket.Tier {
			out = append(out, t.Address)
		}
	}
	return out
}

// RoomAfter returns the time after which a request that no target took may find room,
// and false if targets have not reported their load recently.
func (a *Agent) RoomAfter(r proxy.Request, now time.Time) (time.Duration, bool) {
	u := a.upstream(r.Service.Name)
	if u == nil {
		return 0, false
	}
	return u.gate.RetryAfter(now, rankOf(r))
}

// tickOverloadLog logs the begin and the end of an overload of the service.
func (a *Agent) tickOverloadLog(now time.Time, u *upstream, e room.Estimate, waiting int) {
	l := &u.overload
	switch overloaded := room.Limits(&e, waiting) || e.Sheds(); {
	case overloaded && l.since.IsZero():
		l.since, l.lastSeen = now, now
		a.overloadFields(u, e).WithField("waiting", waiting).Info("service overloaded")
	case overloaded:
		l.lastSeen = now
	case !l.since.IsZero() && now.Sub(l.lastSeen) >= overloadLogGap:
		a.overloadFields(u, e).WithField("duration", l.lastSeen.Sub(l.since).Round(time.Millisecond).String()).Info("service has room")
		l.since = time.Time{}
	}
}

func (a *Agent) overloadFields(u *upstream, e room.Estimate) *logrus.Entry {
	return a.log.WithFields(logrus.Fields{
		"service": u.service.Name, "use": round(e.Utilization), "delay": e.QueueDelay.Round(time.Millisecond).String(),
		"shed": round(e.ShedShare), "confidence": round(e.Confidence), "age": e.Age.Round(time.Millisecond).String(),
	})
}

// round keeps two decimals for the log.
func round(x float64) float64 { return float64(int(x*100+0.5)) / 100 }
