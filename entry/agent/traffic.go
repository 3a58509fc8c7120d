package agent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/galenalock/galenalock/core/health"
	"github.com/galenalock/galenalock/core/limit"
	"github.com/galenalock/galenalock/core/reach"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/retry"
	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/stall"
	"github.com/galenalock/galenalock/core/susp"
	"github.com/galenalock/galenalock/entry/proxy"
)

// overloadRetryAfter is the time after which a caller may retry a request that was
// refused by a rate limit, or because of load if the targets do not report theirs.
const overloadRetryAfter = time.Second

// attemptHandle connects an attempt to the state of its target.
type attemptHandle struct {
	upstream     *upstream
	target       *target
	endpoint     *route.Endpoint
	call         health.Call
	measured     bool
	overdueTimer *time.Timer // records that the response is overdue, may be nil
	silenceTimer *time.Timer // records that the target does not respond, may be nil

	mu    sync.Mutex // guards the timers of a streamed attempt
	ended bool
}

// stopTimers ends the watch over the attempt.
func (d *attemptHandle) stopTimers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	for _, t := range []*time.Timer{d.overdueTimer, d.silenceTimer} {
		if t != nil {
			t.Stop()
		}
	}
}

func (a *Agent) upstream(service string) *upstream { return (*a.upstreamSnapshot.Load())[service] }

// Pick selects a target for an attempt.
func (a *Agent) Pick(r proxy.Request, exclude []netip.AddrPort, now time.Time) (proxy.Target, bool) {
	u := a.upstream(r.Service.Name)
	if u == nil {
		return proxy.Target{}, false
	}
	switch state := a.path.tracker.State(); {
	case r.Path == proxy.RelayPath, r.Path == proxy.AnyPath && state == reach.Stranded:
		return a.pickHelper(exclude, now)
	case state != reach.Connected:
		return proxy.Target{}, false
	}
	if len(exclude) == 0 {
		u.meter.Record(now)
	}
	preferred := a.excludeFull(u, r, exclude)
	e := a.pickEndpoint(u, r, preferred, now)
	if e == nil && len(preferred) > len(exclude) {
		e = a.pickEndpoint(u, r, exclude, now)
	}
	if e == nil {
		return proxy.Target{}, false
	}
	t, ok := e.Tag().(*target)
	if !ok {
		return proxy.Target{}, false
	}
	return proxy.Target{
		Name: t.Name, Address: t.Address, Region: t.Region, DataCentre: t.DataCentre,
		Slots: t.Slots, Connections: t.Connections, Incarnation: t.Start,
		Handle: &attemptHandle{upstream: u, target: t, endpoint: e},
	}, true
}

// Begin records the start of an attempt.
func (a *Agent) Begin(at proxy.Attempt) {
	if h, ok := at.Target.Handle.(*helperHandle); ok {
		h.state.inflight.Add(1)
		return
	}
	d, ok := at.Target.Handle.(*attemptHandle)
	if !ok {
		return
	}
	if at.Number == 0 {
		d.upstream.budget.AddRequestAt(at.Start)
	}
	if a.registry != nil {
		if _, _, avoided := d.target.suspicion.Avoided(at.Start); avoided {
			// The other entries need not test the target as well.
			a.recordObservation(d.target, susp.Tested, at.Start, at.Start)
		}
	}
	d.endpoint.Begin()
	d.target.quota.Take(at.Start)
	d.upstream.pending.Add(1)
	d.upstream.active.Store(true)
	if at.Streamed {
		return // the duration depends on the caller until Sent is called
	}
	a.watchAttempt(d, at, at.Start)
	// The duration of an upload depends on the caller, not on the target.
	if !at.Request.Kind.Upload {
		d.call, d.measured = d.target.health.Start(at.Start), true
	}
}

// watchAttempt records if the target does not respond in time from now on.
func (a *Agent) watchAttempt(d *attemptHandle, at proxy.Attempt, now time.Time) {
	overdue := d.upstream.overdueDelay(at.Request.Kind)
	if a.registry != nil && overdue > 0 {
		d.overdueTimer = time.AfterFunc(overdue, func() { a.recordObservation(d.target, susp.Overdue, now, time.Now()) })
	}
	silence := maxSilence
	if overdue > 0 {
		silence = min(max(overdue, reach.QuietTime), maxSilence)
	}
	d.silenceTimer = time.AfterFunc(silence, func() { a.recordUnreached(d.target, time.Now()) })
}

// Sent records that the body of a streamed attempt has arrived.
func (a *Agent) Sent(at proxy.Attempt) {
	d, ok := at.Target.Handle.(*attemptHandle)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ended {
		a.watchAttempt(d, at, time.Now())
	}
}

// LacksRoom reports whether requests lack room at the targets of a service.
func (a *Agent) LacksRoom(r proxy.Request) bool {
	u := a.upstream(r.Service.Name)
	return u != nil && u.lacksRoom.Load()
}

// forwardedShare is the part of the slots of a service that requests may take whose bodies
// are forwarded while they arrive. The rest is for those that have arrived.
const forwardedShare = 0.5

// Forward waits until the body of a request may be forwarded while it arrives.
func (a *Agent) Forward(ctx context.Context, r proxy.Request, giveUp func()) (*stall.Transfer, error) {
	u := a.upstream(r.Service.Name)
	if u == nil {
		return nil, nil //nolint:nilnil // the request is refused because Pick finds no target
	}
	limit := 0
	if slots := u.slots.Load(); slots > 0 {
		limit = max(1, int(forwardedShare*float64(slots)))
	}
	return u.transfers.Begin(ctx, limit, giveUp)
}

// End records the outcome of an attempt.
func (a *Agent) End(at proxy.Attempt, o proxy.Outcome) {
	if h, ok := at.Target.Handle.(*helperHandle); ok {
		a.endRelay(h, o)
		endSend(at, o)
		return
	}
	d, ok := at.Target.Handle.(*attemptHandle)
	if !ok {
		return
	}
	d.stopTimers()
	if o.Stalled && (o.Class == proxy.Failed || o.Class == proxy.Faulty) {
		o.Class, o.Lost = proxy.Cancelled, false // the target gave up waiting for the caller
	}
	latency := time.Duration(0)
	if o.Class == proxy.Answered {
		a.recordAnswer(at, o)
		latency = o.HeaderLatency
		d.upstream.budget.ObserveLatency(o.HeaderLatency)
	}
	a.observePath(d.target, at, o)
	endSend(at, o)
	d.upstream.pending.Add(-1)
	d.upstream.active.Store(true)
	d.endpoint.End(latency)
	d.endpoint.RecordBytes(o.BytesSent, o.BytesReceived)
	a.recordRoute(d, at, o)
	if observation, ok := observationOf(at, o); ok && a.registry != nil {
		a.recordObservation(d.target, observation, at.Start, o.End)
	}
	if o.HasLimit {
		a.recordLimit(d.upstream, d.target, at, o)
	}
	a.recordPause(d.target, o)
	if o.Lost {
		a.examineLoss(d.target, at, o)
	}
	if o.Class == proxy.Dial {
		d.target.quota.Return(o.End)
	}
	if d.measured {
		d.call.Finish(at.Start.Add(latencyOf(at, o)), healthOutcome(o))
	}
	if o.Class == proxy.Refused {
		d.upstream.gate.RecordShed()
	}
	a.observeRoom(d.upstream, d.target, o)
	if inflight, slots := o.Load.Running+o.Load.Waiting, o.Load.Slots; o.HasLoad {
		d.endpoint.RecordLoad(o.End, inflight, slots)
		d.target.health.RecordLoad(o.End, inflight, slots)
		if ticket, ok := at.Request.Admission.Handle.(*limit.Ticket); ok {
			d.upstream.gate.RecordLoad(ticket, inflight, slots)
		}
	}
}

const (
	// overdueGoalShare is the fraction of the latency goal after which a pending
	// attempt is overdue. At this point another target could still meet the goal.
	overdueGoalShare = 0.75
	// overdueFactor applies to kinds without a goal. It is a multiple of the 95th
	// percentile of the latency.
	overdueFactor = 3
	// maxSilence is the longest time without a response after which the path to the
	// target is in doubt.
	maxSilence = 1500 * time.Millisecond
)

// overdueDelay returns the time after which a pending attempt is overdue, or 0 if
// it is unknown.
func (u *upstream) overdueDelay(k *spec.Kind) time.Duration {
	if k.LatencyGoal > 0 {
		return time.Duration(overdueGoalShare * float64(k.LatencyGoal))
	}
	hedgeDelay, ok := u.budget.HedgeDelay()
	if !ok {
		return 0
	}
	return overdueFactor * hedgeDelay
}

// latencyOf returns the latency by which an attempt is rated: the time until the
// response header. The time for the body depends on its size and on the caller.
func latencyOf(at proxy.Attempt, o proxy.Outcome) time.Duration {
	if o.HeaderLatency > 0 {
		return o.HeaderLatency
	}
	return o.End.Sub(at.Start)
}

// healthOutcome returns the outcome that the health monitor records. A failure of a
// reused connection before any response is not counted, since the connection may
// have been closed while it was idle; nor is the answer of a target that pauses.
func healthOutcome(o proxy.Outcome) health.Outcome {
	if o.Class == proxy.Failed && o.Reused && o.HeaderLatency == 0 || o.Pause > 0 {
		return health.Cancelled
	}
	return outcomesByClass[o.Class]
}

// outcomesByClass maps classes of outcomes to those of the health monitor. A
// passed deadline does not count as a failure, since the caller may have set a
// short one; a slow attempt is counted while it is pending.
var outcomesByClass = map[proxy.Class]health.Outcome{
	proxy.Answered: health.OK,
	proxy.Faulty:   health.Failed,
	proxy.Refused:  health.Cancelled,

	proxy.Misdirected: health.Cancelled,
	proxy.Dial:        health.Failed,
	proxy.Failed:      health.Failed,
	proxy.Overdue:     health.Cancelled,
	proxy.Silenced:    health.Discarded,
	proxy.Cancelled:   health.Cancelled,
}

// Admit checks the rate limit of the workspace and waits for the admission of a
// request.
func (a *Agent) Admit(ctx context.Context, r proxy.Request) (proxy.Admission, error) {
	if err := a.checkRate(r); err != nil {
		return proxy.Admission{}, err
	}
	u := a.upstream(r.Service.Name)
	if u == nil {
		return proxy.Admission{}, nil // the request is refused because Pick finds no target
	}
	ticket := newTicket(r)
	decision, decided := u.gate.Acquire(time.Now(), ticket)
	deliverDecisions(decided)
	if decision == limit.Waiting {
		decision = awaitDecision(ctx, u, ticket)
	}
	switch decision {
	case limit.Admitted:
		release := func(answered bool) { deliverDecisions(u.gate.Release(time.Now(), ticket, answered)) }
		return a.withToken(ctx, r, proxy.Admission{Handle: ticket, Release: release})
	case limit.Refused:
		return proxy.Admission{}, overloadRefusal(ticket)
	}
	return proxy.Admission{}, &refuse.Error{Reason: refuse.Deadline, Run: refuse.NotRun, Err: ctx.Err()}
}

// awaitDecision waits for the decision on a queued ticket. It returns Waiting if ctx
// ended before there was one.
func awaitDecision(ctx context.Context, u *upstream, ticket *limit.Ticket) limit.Decision {
	select {
	case decision := <-ticket.Wake:
		return decision
	case <-ctx.Done():
	}
	if u.gate.Cancel(ticket) {
		return limit.Waiting
	}
	// The ticket was decided before it left the queue. If it was admitted, it must
	// be released, so the decision must not be lost.
	return <-ticket.Wake
}

// Retry takes a retry out of the budget of the service and reports whether it is
// allowed.
func (a *Agent) Retry(r proxy.Request, reason proxy.Reason) bool {
	u := a.upstream(r.Service.Name)
	if u == nil {
		return false
	}
	now := time.Now()
	if (reason == proxy.RetryConnect || reason == proxy.RetryRelay) && a.registry != nil {
		return true // no target has received anything
	}
	// The data path limits the attempts of a single request.
	return u.budget.AllowReserved(now, retryReasons[reason], 1, r.Deadline.Sub(now), u.gate.Reserve(now, rankOf(r)))
}

var retryReasons = map[proxy.Reason]retry.Reason{
	proxy.RetryConnect: retry.ConnectFailed,
	proxy.RetryFailed:  retry.TargetFailed,
	proxy.RetryRelay:   retry.ConnectFailed,
	proxy.RetryShed:    retry.Shed,
	proxy.RetryHedge:   retry.Hedging,
	proxy.RetrySilent:  retry.ConnectionSilent,
	proxy.RetryFaulty:  retry.TargetFailed,
}

// HedgeDelay returns the delay after which a pending request is sent to a second
// target; false disables hedging.
func (a *Agent) HedgeDelay(s *spec.Service, k *spec.Kind) (time.Duration, bool) {
	u := a.upstream(s.Name)
	if u == nil {
		return 0, false
	}
	delay, ok := u.budget.HedgeDelay()
	if k != nil && k.LatencyGoal > 0 {
		// A response after the goal is of little use, and the estimate is inaccurate
		// after few responses.
		delay, ok = max(min(delay, k.LatencyGoal*2/3), k.LatencyGoal/2), true
	}
	return delay, ok
}

const (
	// probeDelayFactor is the probe delay as a multiple of the hedge delay. Few
	// responses of a healthy target take as long, and each probe is taken out of
	// the retry budget.
	probeDelayFactor = 3
	minProbeDelay    = 100 * time.Millisecond
	maxProbeDelay    = time.Second
)

// ProbeDelay returns the delay after which a request without a response on a
// reused connection is sent to the same target on a new connection.
func (a *Agent) ProbeDelay(s *spec.Service, k *spec.Kind) (time.Duration, bool) {
	hedgeDelay, ok := a.HedgeDelay(s, k)
	if !ok {
		return maxProbeDelay, true
	}
	return min(max(probeDelayFactor*hedgeDelay, minProbeDelay), maxProbeDelay), true
}
