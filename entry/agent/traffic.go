package agent

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/health"
	"github.com/galenalock/galenalock/core/limit"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/retry"
	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/susp"
	"github.com/galenalock/galenalock/entry/proxy"
)

// retryLater is what a caller is advised after a refusal for load.
const retryLater = time.Second

// dispatch ties an attempt to the counters of its target.
type dispatch struct {
	upstream *upstream
	target   *target
	endpoint *route.Endpoint
	call     health.Call
	judged   bool
	overdue  *time.Timer // tells that the answer takes too long, may be nil
}

func (a *Agent) upstream(service string) *upstream { return (*a.routes.Load())[service] }

// Pick selects a target for an attempt.
func (a *Agent) Pick(r proxy.Request, exclude []netip.AddrPort, now time.Time) (proxy.Target, bool) {
	u := a.upstream(r.Service.Name)
	if u == nil {
		return proxy.Target{}, false
	}
	var e *route.Endpoint
	if a.registry != nil {
		e = u.router.Choose(now, rand.Uint64(), route.Wish{Once: !r.Kind.Repeat, Bulky: r.Kind.Upload, Exclude: exclude})
	} else {
		e = u.pick(now, r.Kind.Repeat && !r.Kind.Upload, exclude)
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
		Handle: &dispatch{upstream: u, target: t, endpoint: e},
	}, true
}

// Begin counts an attempt that is about to be sent.
func (a *Agent) Begin(at proxy.Attempt) {
	d, ok := at.Target.Handle.(*dispatch)
	if !ok {
		return
	}
	if at.Number == 0 {
		d.upstream.budget.RequestAt(at.Start)
	}
	d.endpoint.Begin()
	d.upstream.open.Add(1)
	d.upstream.active.Store(true)
	if limit := d.upstream.late(at.Request.Kind); a.registry != nil && limit > 0 {
		d.overdue = time.AfterFunc(limit, func() { a.suspect(d.target, susp.Overdue, time.Now()) })
	}
	// The time that an upload takes depends on the caller.
	if !at.Request.Kind.Upload {
		d.call, d.judged = d.target.health.Start(at.Start), true
	}
}

// End counts how an attempt ended.
func (a *Agent) End(at proxy.Attempt, o proxy.Outcome) {
	d, ok := at.Target.Handle.(*dispatch)
	if !ok {
		return
	}
	if d.overdue != nil {
		d.overdue.Stop()
	}
	latency := time.Duration(0)
	if o.Class == proxy.Answered {
		latency = o.HeaderLatency
		d.upstream.budget.Observe(o.HeaderLatency)
	}
	d.upstream.open.Add(-1)
	d.upstream.active.Store(true)
	d.endpoint.End(latency)
	d.endpoint.Bytes(o.BytesSent, o.BytesReceived)
	if sign, ok := signOf(at, o); ok && a.registry != nil {
		a.suspect(d.target, sign, o.End)
	}
	if d.judged {
		d.call.Finish(at.Start.Add(latencyOf(at, o)), healthOutcome(o))
	}
	if o.Class == proxy.Refused {
		d.upstream.gate.Shed()
	}
	if inflight, slots := o.Load.Running+o.Load.Waiting, o.Load.Slots; o.HasLoad {
		d.endpoint.Load(o.End, inflight, slots)
		d.target.health.Load(o.End, inflight, slots)
		if ticket, ok := at.Request.Admission.Handle.(*limit.Ticket); ok {
			d.upstream.gate.Report(ticket, inflight, slots)
		}
	}
}

const (
	// lateShare is the part of a request's goal after which a pending attempt
	// is a bad sign of its target; another target could still meet the goal.
	lateShare = 0.75
	// lateFactor is the same without a goal, in multiples of the 95th percentile.
	lateFactor = 3
)

// late returns after which time a pending attempt is a bad sign, 0 for none.
func (u *upstream) late(k *spec.Kind) time.Duration {
	if k.Goal > 0 {
		return time.Duration(lateShare * float64(k.Goal))
	}
	usual, ok := u.budget.Hedge()
	if !ok {
		return 0
	}
	return lateFactor * usual
}

// latencyOf is the time that an attempt is judged by: to the response head,
// because the body's time depends on its size and on the caller.
func latencyOf(at proxy.Attempt, o proxy.Outcome) time.Duration {
	if o.HeaderLatency > 0 {
		return o.HeaderLatency
	}
	return o.End.Sub(at.Start)
}

// healthOutcome returns what an attempt says about the target. A reused connection
// that fails before any response may have been closed while it was idle.
func healthOutcome(o proxy.Outcome) health.Outcome {
	if o.Class == proxy.Failed && o.Reused && o.HeaderLatency == 0 {
		return health.Cancelled
	}
	return outcomes[o.Class]
}

// outcomes is what each class of outcome says about the target. A deadline
// that passes is counted while the attempt is pending; the caller may have set
// it too short.
var outcomes = map[proxy.Class]health.Outcome{
	proxy.Answered: health.OK,
	proxy.Faulty:   health.Failed,
	proxy.Refused:  health.Cancelled,

	proxy.Misdirected: health.Cancelled,
	proxy.Dial:        health.Failed,
	proxy.Failed:      health.Failed,
	proxy.Overdue:     health.Cancelled,
	proxy.Silenced:    health.Void,
	proxy.Cancelled:   health.Cancelled,
}

// Admit waits for the right to run a request.
func (a *Agent) Admit(ctx context.Context, r proxy.Request) (proxy.Admission, error) {
	if !a.rates.allow(r.Workspace) {
		return proxy.Admission{}, &refuse.Error{Reason: refuse.Rate, Run: refuse.NotRun, Retry: retryLater}
	}
	u := a.upstream(r.Service.Name)
	if u == nil {
		return proxy.Admission{}, nil // Pick refuses the request
	}
	ticket := &limit.Ticket{
		Kind: r.Kind.Name, Weight: r.Kind.Weight, Deadline: r.Deadline, Wake: make(chan limit.Verdict, 1),
	}
	verdict, others := u.gate.Ask(time.Now(), ticket)
	wake(others)
	if verdict == limit.Waiting {
		verdict = await(ctx, u, ticket)
	}
	switch verdict {
	case limit.Admitted:
		release := func(answered bool) { wake(u.gate.Done(time.Now(), ticket, answered)) }
		return proxy.Admission{Handle: ticket, Release: release}, nil
	case limit.Refused:
		return proxy.Admission{}, &refuse.Error{Reason: ticket.Reason, Run: refuse.NotRun, Retry: retryLater}
	}
	return proxy.Admission{}, &refuse.Error{Reason: refuse.Deadline, Run: refuse.NotRun, Err: ctx.Err()}
}

// await waits for the verdict on a queued ticket.
func await(ctx context.Context, u *upstream, ticket *limit.Ticket) limit.Verdict {
	select {
	case verdict := <-ticket.Wake:
		return verdict
	case <-ctx.Done():
	}
	if u.gate.Leave(ticket) {
		return limit.Waiting
	}
	// Decided before it left. An admitted one has to be given back, so its
	// verdict is not missed.
	return <-ticket.Wake
}

// Retry takes a further attempt out of the service's budget.
func (a *Agent) Retry(r proxy.Request, reason proxy.Reason) bool {
	u := a.upstream(r.Service.Name)
	if u == nil {
		return false
	}
	now := time.Now()
	if reason == proxy.RetryConnect && a.registry != nil {
		return true // nothing arrived at a target
	}
	// The data path bounds the attempts of one request.
	return u.budget.Allow(now, reasons[reason], 1, r.Deadline.Sub(now))
}

var reasons = map[proxy.Reason]retry.Reason{
	proxy.RetryConnect: retry.Connect,
	proxy.RetryFailed:  retry.Broken,
	proxy.RetryShed:    retry.Shed,
	proxy.RetryHedge:   retry.Hedging,
	proxy.RetrySilent:  retry.Silent,
	proxy.RetryFaulty:  retry.Broken,
}

// Hedge returns after which time a pending request is sent a second time.
func (a *Agent) Hedge(s *spec.Service, k *spec.Kind) (time.Duration, bool) {
	u := a.upstream(s.Name)
	if u == nil {
		return 0, false
	}
	after, ok := u.budget.Hedge()
	if k != nil && k.Goal > 0 {
		// An answer after the goal is worth little, and the estimate is rough
		// while there are few answers.
		after, ok = max(min(after, k.Goal*2/3), k.Goal/2), true
	}
	return after, ok
}

const (
	// patienceFactor is how many times the 95th percentile of the service a
	// response may be missing on an old connection before a new one is tried.
	// Few responses of a healthy target take as long, and the attempts on new
	// connections come out of the retry budget.
	patienceFactor = 3
	leastPatience  = 100 * time.Millisecond
	mostPatience   = time.Second
)

// Patience returns how long a response may be missing on an old connection
// before a new one to the same target is tried.
func (a *Agent) Patience(s *spec.Service, k *spec.Kind) (time.Duration, bool) {
	usual, ok := a.Hedge(s, k)
	if !ok {
		return mostPatience, true
	}
	return min(max(patienceFactor*usual, leastPatience), mostPatience), true
}
