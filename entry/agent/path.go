package agent

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/reach"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/value"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/proxy"
)

const (
	// reachTimeout limits opening a connection in a check of the path. Between
	// regions it takes about 40 ms.
	reachTimeout = 250 * time.Millisecond
	// askTimeout limits the question to another entry, which opens connections
	// itself.
	askTimeout = 2 * reachTimeout
	// helpersTimeout limits the call for the list of helpers.
	helpersTimeout = 300 * time.Millisecond
	// helpersInterval is the interval at which the list of helpers is renewed while
	// the path is not lost, so that it is known when control is out of reach.
	helpersInterval = 20 * time.Second
	// noHelpersInterval replaces helpersInterval while no helper is known, as after the
	// start of a fleet.
	noHelpersInterval = 5 * time.Second
	// lostHelpersInterval replaces helpersInterval while the path is lost.
	lostHelpersInterval = time.Second
	// relayedRecently is how long an answer through another entry shows that entries
	// reach targets.
	relayedRecently = 2 * time.Second
	// askedAtOnce is the number of entries that are asked at the same time, half of
	// them near and half of them far.
	askedAtOnce = 4
)

// path is the path of this entry to the targets and the entries that can bridge its
// loss.
type path struct {
	tracker   *reach.Tracker
	helpers   value.Latest[wire.Helpers]
	states    helperStates
	lostSince atomic.Int64 // nanoseconds since the start of the entry
	lostUntil atomic.Int64 // when the path was back last, as for lostSince
	// lastRelayed is when another entry last answered a request of this one, in
	// nanoseconds since the start, 0 if none did.
	lastRelayed atomic.Int64

	// Accessed only by the control goroutine.
	helpersAsked time.Time
}

// observePath records what an outcome shows about the path to the target.
func (a *Agent) observePath(t *target, at proxy.Attempt, o proxy.Outcome) {
	if o.HeaderLatency > 0 {
		a.path.tracker.Contact(at.Start.Add(o.HeaderLatency), !o.Reused)
	}
	if o.Class == proxy.Dial || o.Class == proxy.Failed || o.Class == proxy.Overdue {
		a.recordUnreached(t, o.End)
	}
}

// recordUnreached records that a target could not be reached or does not respond.
func (a *Agent) recordUnreached(t *target, now time.Time) {
	if a.path.tracker.Unreached(now, t.Address) {
		a.tryPost(a.checkPath)
	}
}

// tickPath checks a lost path again and renews the list of helpers.
func (a *Agent) tickPath(now time.Time) {
	if a.path.tracker.Due(now) {
		a.checkPath(now)
	}
	interval := helpersInterval
	switch {
	case a.PathLost():
		interval = lostHelpersInterval
	case len(a.path.helpers.Load().List) == 0:
		interval = noHelpersInterval
	}
	if now.Sub(a.path.helpersAsked) >= interval && len(*a.controlLinks.Load()) > 0 {
		a.path.helpersAsked = now
		go a.fetchHelpers()
	}
}

// sampleTargets returns random targets of all services, except for one.
func (a *Agent) sampleTargets(except netip.AddrPort) []netip.AddrPort {
	var services [][]netip.AddrPort
	for _, u := range a.upstreams {
		var list []netip.AddrPort
		for address, t := range u.targets {
			if isInService(t.Target) && address != except {
				list = append(list, address)
			}
		}
		services = append(services, list)
	}
	return reach.Sample(services, rand.Shuffle)
}

// checkPath checks whether this entry reaches targets.
func (a *Agent) checkPath(time.Time) {
	sample := a.sampleTargets(netip.AddrPort{})
	if len(sample) == 0 || !a.path.tracker.Begin() {
		return
	}
	go func() {
		result := a.probePath(sample)
		a.post(func(now time.Time) { a.finishPathCheck(now, result) })
	}()
}

// probePath opens connections to the targets of a sample, and asks other entries if
// too few of them can be reached. While the path is not known to be lost, one
// connection usually suffices.
func (a *Agent) probePath(sample []netip.AddrPort) reach.Result {
	result := reach.Result{Sampled: len(sample)}
	first := sample[:0]
	if a.path.tracker.State() == reach.Connected {
		first = sample[:1]
	}
	for _, group := range [][]netip.AddrPort{first, sample[len(first):]} {
		result.Reached += a.countReachable(group)
		if len(first) > 0 && result.Reached > 0 {
			return result
		}
	}
	if 2*result.Reached < result.Sampled {
		last := a.path.lastRelayed.Load()
		recently := last > 0 && a.sinceStart(time.Now())-last < int64(relayedRecently)
		result.Helped = recently || a.isReachedByOthers(sample)
	}
	return result
}

// countReachable returns the number of targets to which a connection can be opened.
func (a *Agent) countReachable(targets []netip.AddrPort) int {
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	results := make(chan error, len(targets))
	for _, target := range targets {
		go func() { results <- a.hooks.Connect(ctx, target) }()
	}
	n := 0
	for range targets {
		if <-results == nil {
			n++
		}
	}
	return n
}

// isReachedByOthers reports whether another entry reaches one of the targets. It
// asks a few entries at a time.
func (a *Agent) isReachedByOthers(targets []netip.AddrPort) bool {
	helpers := nearAndFar(a.fetchHelpers().List)
	for len(helpers) > 0 {
		n := min(askedAtOnce, len(helpers))
		answers := make(chan bool, n)
		for _, h := range helpers[:n] {
			go func() { answers <- a.askHelper(h, targets) }()
		}
		for range n {
			if <-answers {
				return true
			}
		}
		helpers = helpers[n:]
	}
	return false
}

// nearAndFar returns the list in another order, the next one from its beginning and
// from its end in turn.
func nearAndFar(list []wire.Helper) []wire.Helper {
	out := make([]wire.Helper, 0, len(list))
	for i, j := 0, len(list)-1; i <= j; i, j = i+1, j-1 {
		out = append(out, list[i])
		if i < j {
			out = append(out, list[j])
		}
	}
	return out
}

// askHelper asks an entry whether it reaches one of the targets.
func (a *Agent) askHelper(h wire.Helper, targets []netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	var answer wire.Reached
	c, err := a.mesh.OwnerLink(ctx, h.Address)
	if err == nil {
		err = c.Call(ctx, wire.KindReach, wire.Reach{Targets: targets}, &answer)
	}
	if err != nil {
		a.log.WithField("to", h.Instance).WithField(logs.FieldError, err.Error()).Debug("entry not asked for the path")
	}
	return answer.Reached
}

// handleReach answers another entry whether this one reaches one of its targets. An
// entry that has lost its own path need not try.
func (a *Agent) handleReach(m wire.Message) (any, error) {
	var request wire.Reach
	if err := wire.Decode(m.Body, &request); err != nil {
		return nil, err
	}
	if a.path.tracker.State() != reach.Connected {
		return wire.Reached{}, nil
	}
	targets := request.Targets[:min(len(request.Targets), reach.SampleSize)]
	return wire.Reached{Reached: a.countReachable(targets) > 0}, nil
}

// fetchHelpers renews the list of helpers and returns it, or the last one if control
// is out of reach.
func (a *Agent) fetchHelpers() wire.Helpers {
	ctx, cancel := context.WithTimeout(context.Background(), helpersTimeout)
	defer cancel()
	number := a.path.helpers.Begin()
	for _, c := range *a.controlLinks.Load() {
		var helpers wire.Helpers
		if err := c.Call(ctx, wire.KindHelpers, struct{}{}, &helpers); err == nil {
			helpers.Near = min(max(0, helpers.Near), len(helpers.List))
			a.path.helpers.Store(number, helpers)
			return helpers
		}
	}
	return a.path.helpers.Load()
}

// finishPathCheck applies the result of a check.
func (a *Agent) finishPathCheck(now time.Time, r reach.Result) {
	before := a.path.tracker.State()
	state, actions := a.path.tracker.Finish(now, r)
	a.hooks.CountPath(state)
	switch {
	case before == reach.Connected:
		a.path.lostSince.Store(a.sinceStart(now))
	case state == reach.Connected:
		a.path.lostUntil.Store(a.sinceStart(now))
	}
	for _, action := range actions {
		switch action {
		case reach.Forgive:
			a.forgiveTargets()
		case reach.Abandon:
			a.hooks.CloseIdle()
		case reach.Announce:
			a.reportDue = true
		}
	}
	log := a.log.WithField("before", string(before)).WithField("state", string(state)).
		WithField("sampled", r.Sampled).WithField("reached", r.Reached).WithField("helped", r.Helped)
	if state == before {
		log.Debug("path checked")
		return
	}
	log.WithField("helpers", len(a.path.helpers.Load().List)).Warn("path changed")
}

// pathLostSince reports whether the path is lost or was at some time since then.
func (a *Agent) pathLostSince(then time.Time) bool {
	return a.PathLost() || a.sinceStart(then) < a.path.lostUntil.Load()
}

// forgiveTargets forgets the failures of targets, which the lost path explains.
func (a *Agent) forgiveTargets() {
	for _, u := range a.upstreams {
		for _, t := range u.targets {
			t.suspicion.Forgive()
		}
	}
}

// isInService reports whether a target is announced as able to take requests.
func isInService(t roster.Target) bool {
	return t.State == gossip.StateReady || t.State == gossip.StateCold
}
