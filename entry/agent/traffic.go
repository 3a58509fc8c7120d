package agent

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/health"
	"github.com/galenalock/galenalock/core/limit"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/retry"
	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/entry/proxy"
)

// retryLater is what a caller is advised after a refusal for load.
const retryLater = time.Second

// dispatch ties an attempt to the counters of its target.
type dispatch struct {
	lane     *lane
	target   *target
	endpoint *route.Endpoint
	call     health.Call
	judged   bool
}

func (a *Agent) lane(service string) *lane { return (*a.routes.Load())[service] }

// Pick selects a target for an attempt.
func (a *Agent) Pick(r proxy.Request, exclude []netip.AddrPort, now time.Time) (proxy.Target, bool) {
	l := a.lane(r.Service.Name)
	if l == nil {
		return proxy.Target{}, false
	}
	e := l.pick(now, r.Kind.Repeat && !r.Kind.Upload, exclude)
	if e == nil {
		return proxy.Target{}, false
	}
	t, ok := e.Tag().(*target)
	if !ok {
		return proxy.Target{}, false
	}
	return proxy.Target{
		Address: t.Address, Region: t.Region, DataCentre: t.DataCentre,
		Slots: t.Slots, Connections: t.Connections, Incarnation: t.Start,
		Handle: &dispatch{lane: l, target: t, endpoint: e},
	}, true
}

// Begin counts an attempt that is about to be sent.
func (a *Agent) Begin(at proxy.Attempt) {
	d, ok := at.Target.Handle.(*dispatch)
	if !ok {
		return
	}
	if at.Number == 0 {
		d.lane.budget.Request()
	}
	d.endpoint.Begin()
	d.lane.open.Add(1)
	d.lane.active.Store(true)
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
	latency := time.Duration(0)
	if o.Class == proxy.Answered {
		latency = o.Head
		d.lane.budget.Observe(o.Head)
	}
	d.lane.open.Add(-1)
	d.lane.active.Store(true)
	d.endpoint.End(latency)
	d.endpoint.Bytes(o.Sent, o.Bytes)
	if d.judged {
		d.call.Finish(at.Start.Add(judgedTime(at, o)), judge(o))
	}
	if o.Class == proxy.Refused {
		d.lane.gate.Shed()
	}
	var inflight, slots int
	if n, _ := fmt.Sscanf(o.Load, "inflight=%d limit=%d", &inflight, &slots); n == 2 {
		d.endpoint.Load(o.End, inflight, slots)
		d.target.health.Load(o.End, inflight, slots)
		if ticket, ok := at.Request.Admission.Handle.(*limit.Ticket); ok {
			d.lane.gate.Report(ticket, inflight, slots)
		}
	}
}

// judgedTime is the time that an attempt is judged by: to the response head,
// because the body's time depends on its size and on the caller.
func judgedTime(at proxy.Attempt, o proxy.Outcome) time.Duration {
	if o.Head > 0 {
		return o.Head
	}
	return o.End.Sub(at.Start)
}

// judge returns what an attempt says about the target. A reused connection
// that fails before any response may have been closed while it was idle.
func judge(o proxy.Outcome) health.Outcome {
	if o.Class == proxy.Failed && o.Reused && o.Head == 0 {
		return health.Cancelled
	}
	return outcomes[o.Class]
}

// outcomes is what each class of outcome says about the target. A deadline
// that passes is counted while the attempt is pending; the caller may have set
// it too short.
var outcomes = map[proxy.Class]health.Outcome{
	proxy.Answered:  health.OK,
	proxy.Faulty:    health.Failed,
	proxy.Refused:   health.Cancelled,
	proxy.Dial:      health.Failed,
	proxy.Failed:    health.Failed,
	proxy.Overdue:   health.Cancelled,
	proxy.Silenced:  health.Void,
	proxy.Cancelled: health.Cancelled,
}

// Admit waits for the right to run a request.
func (a *Agent) Admit(ctx context.Context, r proxy.Request) (proxy.Admission, error) {
	if !a.rates.allow(r.Workspace) {
		return proxy.Admission{}, &refuse.Error{Reason: refuse.Rate, Run: refuse.NotRun, Retry: retryLater}
	}
	l := a.lane(r.Service.Name)
	if l == nil {
		return proxy.Admission{}, nil // Pick refuses the request
	}
	ticket := &limit.Ticket{
		Kind: r.Kind.Name, Weight: r.Kind.Weight, Deadline: r.Deadline, Wake: make(chan limit.Verdict, 1),
	}
	verdict, others := l.gate.Ask(time.Now(), ticket)
	wake(others)
	if verdict == limit.Waiting {
		verdict = await(ctx, l, ticket)
	}
	switch verdict {
	case limit.Admitted:
		release := func(answered bool) { wake(l.gate.Done(time.Now(), ticket, answered)) }
		return proxy.Admission{Handle: ticket, Release: release}, nil
	case limit.Refused:
		return proxy.Admission{}, &refuse.Error{Reason: ticket.Reason, Run: refuse.NotRun, Retry: retryLater}
	}
	return proxy.Admission{}, &refuse.Error{Reason: refuse.Deadline, Run: refuse.NotRun, Err: ctx.Err()}
}

// await waits for the verdict on a queued ticket.
func await(ctx context.Context, l *lane, ticket *limit.Ticket) limit.Verdict {
	select {
	case verdict := <-ticket.Wake:
		return verdict
	case <-ctx.Done():
	}
	if l.gate.Leave(ticket) {
		return limit.Waiting
	}
	// Decided before it left. An admitted one has to be given back, so its
	// verdict is not missed.
	return <-ticket.Wake
}

// Retry takes a further attempt out of the service's budget.
func (a *Agent) Retry(r proxy.Request, reason proxy.Reason) bool {
	l := a.lane(r.Service.Name)
	if l == nil {
		return false
	}
	now := time.Now()
	// The data path bounds the attempts of one request.
	return l.budget.Allow(now, reasons[reason], 1, r.Deadline.Sub(now))
}

var reasons = map[proxy.Reason]retry.Reason{
	proxy.RetryConnect: retry.Connect,
	proxy.RetryFailed:  retry.Broken,
	proxy.RetryShed:    retry.Shed,
	proxy.RetryHedge:   retry.Hedging,
	proxy.RetrySilent:  retry.Silent,
}

// Hedge returns after which time a pending request is sent a second time.
func (a *Agent) Hedge(s *spec.Service, _ *spec.Kind) (time.Duration, bool) {
	l := a.lane(s.Name)
	if l == nil {
		return 0, false
	}
	return l.budget.Hedge()
}
