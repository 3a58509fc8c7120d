package agent

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalock/galenalock/core/reach"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/proxy"
)

const (
	// helperPause is how long an entry that declined a request or could not be reached
	// gets no further one if there are others.
	helperPause = 500 * time.Millisecond
	// noTargetRetryAfter is the time after which a caller may retry a request for which
	// no target was available, if none has reported its load recently.
	noTargetRetryAfter = time.Second
	// yieldDelay is the time from the loss of the path until control has told which
	// other entries have lost it too.
	yieldDelay = lostHelpersInterval + helpersTimeout
	// pathRetryAfter is the time after which a caller may retry a request that was
	// refused because no entry reaches a target. By then the path has been checked
	// again.
	pathRetryAfter = 500 * time.Millisecond
)

// helperState is what this entry knows of one helper from the requests that it
// passed on.
type helperState struct {
	inflight    atomic.Int64
	pausedUntil atomic.Int64 // nanoseconds since the start of the entry
}

// helperHandle connects an attempt through another entry to the state of that entry.
type helperHandle struct{ state *helperState }

// helperStates holds the states of helpers by address. It is safe for concurrent
// use.
type helperStates struct{ byAddress sync.Map }

func (s *helperStates) get(address netip.AddrPort) *helperState {
	if known, ok := s.byAddress.Load(address); ok {
		return known.(*helperState)
	}
	known, _ := s.byAddress.LoadOrStore(address, &helperState{})
	return known.(*helperState)
}

// PathLost reports whether this entry reaches no target itself.
func (a *Agent) PathLost() bool { return a.path.tracker.State() != reach.Connected }

// YieldsCallers reports whether new callers are better off at other entries: this one
// reaches no target, while most entries of its data centre do. Otherwise the balancer
// would be left with too few entries.
func (a *Agent) YieldsCallers(now time.Time) bool {
	helpers := a.path.helpers.Load()
	return a.PathLost() && a.sinceStart(now)-a.path.lostSince.Load() >= int64(yieldDelay) && 2*helpers.Lost < helpers.Entries
}

// pickHelper selects an entry to which a request is passed on: one of two near ones
// with fewer requests of this entry, or another one if they cannot be used.
func (a *Agent) pickHelper(exclude []netip.AddrPort, now time.Time) (proxy.Target, bool) {
	helpers := a.path.helpers.Load()
	for _, list := range [][]wire.Helper{helpers.List[:helpers.Near], helpers.List[helpers.Near:]} {
		if target, ok := a.pickAmong(list, exclude, a.sinceStart(now)); ok {
			return target, true
		}
	}
	return a.pickAmong(helpers.List, exclude, math.MaxInt64) // also those that are paused
}

// sinceStart returns the nanoseconds since the start of the entry, which do not depend
// on the time of day.
func (a *Agent) sinceStart(now time.Time) int64 { return int64(now.Sub(a.settings.Start)) }

// pickAmong selects among the helpers that are not paused at a time, in nanoseconds
// since the start.
func (a *Agent) pickAmong(list []wire.Helper, exclude []netip.AddrPort, nanos int64) (proxy.Target, bool) {
	usable := make([]wire.Helper, 0, len(list))
	for _, h := range list {
		if !slices.Contains(exclude, h.Address) && a.path.states.get(h.Address).pausedUntil.Load() <= nanos {
			usable = append(usable, h)
		}
	}
	if len(usable) == 0 {
		return proxy.Target{}, false
	}
	best := usable[rand.IntN(len(usable))]
	if other := usable[rand.IntN(len(usable))]; a.path.states.get(other.Address).inflight.Load() < a.path.states.get(best.Address).inflight.Load() {
		best = other
	}
	return proxy.Target{
		Name: best.Instance, Address: best.Address, Region: best.Region, DataCentre: best.DataCentre,
		Relay: true, Handle: &helperHandle{state: a.path.states.get(best.Address)},
	}, true
}

// endRelay records the outcome of an attempt through another entry.
func (a *Agent) endRelay(h *helperHandle, o proxy.Outcome) {
	h.state.inflight.Add(-1)
	result := "failed"
	switch o.Class {
	case proxy.Answered, proxy.Faulty:
		result = "answered"
		a.path.lastRelayed.Store(a.sinceStart(o.End))
	case proxy.Declined:
		result = "declined"
	case proxy.Refused:
		result = "refused"
	case proxy.Cancelled, proxy.Overdue:
		result = "cancelled"
	}
	if o.Class == proxy.Declined || o.Class == proxy.Dial || o.Class == proxy.Failed {
		h.state.pausedUntil.Store(a.sinceStart(o.End.Add(helperPause)))
	}
	if o.Leaving {
		a.tryPost(func(time.Time) { a.recordRelayedLeaving(o.LeavingTarget, o.LeavingStart.UnixMilli()) })
	}
	a.hooks.CountRelay(result)
}

// recordRelayedLeaving records that a target told another entry, in an answer that this
// one passed on, that it leaves. start is in Unix milliseconds.
func (a *Agent) recordRelayedLeaving(address netip.AddrPort, start int64) {
	for name := range a.upstreams {
		if _, t := a.knownTarget(name, address, start); t != nil {
			a.recordPause(t, proxy.Outcome{Leaving: true})
		}
	}
}

// Unavailable returns why no target of a service can take a request, and the time
// after which one may.
func (a *Agent) Unavailable(r proxy.Request, now time.Time) (refuse.Reason, time.Duration) {
	if a.PathLost() {
		return refuse.NoPath, pathRetryAfter
	}
	reason, wait := a.limitWait(r, now)
	if reason == refuse.NoTarget {
		// Targets that reported their load recently are in use, and become free.
		if soon, ok := a.RoomAfter(r, now); ok {
			wait = soon
		}
	}
	return reason, wait
}
