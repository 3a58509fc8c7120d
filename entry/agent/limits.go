package agent

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalock/galenalock/core/quota"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/proxy"
)

const (
	// sharesInterval is the interval at which the shares of limits are computed
	// again after demands have changed.
	sharesInterval = 300 * time.Millisecond
	// sharesDelay is the time from the first limit of a service until this entry
	// uses its shares. By then it knows the demands of the other entries.
	sharesDelay = 300 * time.Millisecond
	// defaultLimitWait is the time after which a caller may retry a request that
	// no target of this entry could take because of limits.
	defaultLimitWait = time.Second
	minLimitWait     = 100 * time.Millisecond
	maxLimitWait     = 5 * time.Second
)

// limits is the state of a service of which targets name limits. Only the control
// goroutine accesses it.
type limits struct {
	demands    quota.Demands
	since      time.Time // when the first limit became known, zero without a limit
	changed    bool      // limits or demands have changed since computedAt
	computedAt time.Time // when the shares were computed last
}

// recordLimit records what a response says about the limit of its target. Only a
// complete answer lifts a limit, since other responses may lack the header.
func (a *Agent) recordLimit(u *upstream, t *target, at proxy.Attempt, o proxy.Outcome) {
	if !o.Limit.Limited && o.Class != proxy.Answered {
		return
	}
	event, announce := t.quota.Observe(o.End, at.Start, o.Limit)
	a.logLimitEvent(t, event, "")
	if event != quota.Unchanged {
		u.limitEvents.Store(true)
	}
	if !announce {
		return
	}
	a.tryPost(func(now time.Time) {
		a.sendNotice(wire.KindLimits, wire.List[wire.Limit]{List: []wire.Limit{{
			Service: t.Service, Target: t.Address, Start: t.Start.UnixMilli(),
			Limited: o.Limit.Limited, Rate: o.Limit.Rate, Age: now.Sub(o.End),
		}}})
	})
}

// logLimitEvent logs and counts a change of the limit of a target. from is the
// replica that passed it on, empty if this entry saw it.
func (a *Agent) logLimitEvent(t *target, event quota.Event, from string) {
	if event == quota.Unchanged {
		return
	}
	a.hooks.CountLimit(event)
	log := a.log.WithField("service", t.Service).WithField("target", t.Name).WithField("change", string(event)).
		WithField("rate", t.quota.Report().Rate)
	if from != "" {
		log = log.WithField("from", from)
	}
	log.Info("target limit")
}

// receiveLimits records the limits that other entries were told.
func (a *Agent) receiveLimits(now time.Time, from string, list wire.List[wire.Limit]) {
	for _, l := range list.List {
		u, t := a.knownTarget(l.Service, l.Target, l.Start)
		if t == nil || l.Rate < 0 || math.IsNaN(l.Rate) {
			continue
		}
		if event := t.quota.ObserveRemote(now, quota.Report{Limited: l.Limited, Rate: l.Rate}, l.Age); event != quota.Unchanged {
			a.logLimitEvent(t, event, from)
			u.limitEvents.Store(true)
		}
	}
}

// receiveDemands records the demands of other entries.
func (a *Agent) receiveDemands(now time.Time, list wire.List[wire.Demand]) {
	for _, d := range list.List {
		if u := a.upstreams[d.Service]; u != nil && d.Entry != a.entryID() && d.Rate >= 0 && d.Age >= 0 {
			u.limits.demands.Set(now.Add(-d.Age), quota.Demand{Entry: d.Entry, Region: d.Region, Rate: d.Rate})
			u.limits.changed = true
		}
	}
}

// entryID identifies this entry in demands.
func (a *Agent) entryID() uint64 { return xxhash.Sum64String(a.settings.Instance) }

// tickLimits announces the demand of this entry while a target of the service
// names a limit, and computes the shares of this entry.
func (a *Agent) tickLimits(now time.Time, u *upstream) {
	l := &u.limits
	if u.limitEvents.Swap(false) {
		if l.since.IsZero() {
			l.since = now
		}
		l.computedAt, l.changed = time.Time{}, true
		u.dirty = true // the targets that this entry may use
	}
	if l.since.IsZero() {
		return
	}
	if !u.hasLimits() {
		l.since = time.Time{}
		l.demands.Reset()
		return
	}
	if a.noticeLink() != nil {
		own := quota.Demand{Entry: a.entryID(), Region: a.settings.Region, Rate: u.meter.Rate(now)}
		if l.demands.Announce(now, own) {
			l.changed = true
			a.sendNotice(wire.KindDemands, wire.List[wire.Demand]{List: []wire.Demand{{
				Service: u.service.Name, Entry: own.Entry, Region: own.Region, Rate: own.Rate,
			}}})
		}
		// Without a link, the demands of others do not arrive, but last on.
		l.changed = l.demands.Expire(now) || l.changed
	}
	if l.changed && now.Sub(l.computedAt) >= sharesInterval && now.Sub(l.since) >= sharesDelay {
		l.changed, l.computedAt = false, now
		a.computeShares(now, u)
	}
}

func (u *upstream) hasLimits() bool {
	for _, t := range u.targets {
		if t.quota.Limited() {
			return true
		}
	}
	return false
}

// computeShares sets the share of this entry in the limits of all targets.
func (a *Agent) computeShares(now time.Time, u *upstream) {
	demands := a.listDemands(u)
	for _, t := range u.targets {
		r := t.quota.Report()
		if !r.Limited {
			continue
		}
		burst := quota.Burst(r.Rate)
		share := quota.Share(demands, a.entryID(), quota.Place{Address: t.Address, Region: t.Region}, burst)
		before := t.quota.Share()
		t.quota.SetShare(now, share, burst)
		u.dirty = u.dirty || (before == 0) != (share == 0)
	}
}

// listDemands returns the demands of all entries. If none are known because control
// is out of reach, all live entries are assumed to have the same demand.
func (a *Agent) listDemands(u *upstream) []quota.Demand {
	if known := u.limits.demands.List(); len(known) > 0 {
		return known
	}
	own := quota.Demand{Entry: a.entryID(), Region: a.settings.Region, Rate: 1}
	out := []quota.Demand{own}
	for _, p := range a.peers {
		if p.Instance != a.settings.Instance {
			out = append(out, quota.Demand{Entry: xxhash.Sum64String(p.Instance), Region: p.Region, Rate: 1})
		}
	}
	return quota.SortDemands(out)
}

// MayResend reports whether the target may get another request now.
func (a *Agent) MayResend(t proxy.Target, now time.Time) bool {
	d, ok := t.Handle.(*attemptHandle)
	return !ok || d.target.quota.Available(now)
}

// limitWait returns the time until a target of the service that is limited or has
// paused may get a request from this entry. The reason is NoTarget if no target is
// limited and not all have paused.
func (a *Agent) limitWait(r proxy.Request, now time.Time) (refuse.Reason, time.Duration) {
	u := a.upstream(r.Service.Name)
	if u == nil {
		return refuse.NoTarget, noTargetRetryAfter
	}
	reason, least, known, open := refuse.NoTarget, time.Duration(0), false, false
	for _, t := range *u.snapshots.Load() {
		pause, closed := t.quota.Closed(now)
		switch {
		case t.quota.Limited():
			reason = refuse.Limited
		case closed && pause > 0 && reason == refuse.NoTarget:
			reason = refuse.Paused
		case !closed:
			open = open || t.isInService()
			continue
		}
		if wait, ok := t.quota.Wait(now); ok && (!known || wait < least) {
			least, known = wait, true
		}
	}
	switch {
	case reason == refuse.NoTarget, reason == refuse.Paused && open:
		return refuse.NoTarget, noTargetRetryAfter
	case !known:
		return reason, defaultLimitWait
	case reason == refuse.Limited:
		least = min(least, maxLimitWait)
	}
	return reason, max(least, minLimitWait)
}
