package agent_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/entry/agent"
	"github.com/galenalock/galenalock/entry/proxy"
)

// startPauseFleet runs an agent with three targets, which come from control or from
// announcements to the entry.
func startPauseFleet(t *testing.T, registry bool) *agent.Agent {
	if registry {
		r := startFakeRegistry(t, "near", "salish")
		for n := range 3 {
			r.announce(uint64(n+1), n+1, enrol.Ready, false)
		}
		a := startRegistryAgent(t, r.addr)
		waitUntil(t, "ready", func() bool { return a.View().Ready && len(picksByAddress(a, "s0")) == 3 })
		return a
	}
	r := startFakeReplica(t, &fakeReplica{text: serviceText(1), number: 1})
	a := startAgent(t, r.addr)
	waitUntil(t, "ready", func() bool { return a.View().Ready })
	for n := range 3 {
		if status := announce(t, a, renewal("s0", n)); status != http.StatusOK {
			t.Fatal(status)
		}
	}
	waitUntil(t, "all targets are picked", func() bool { return len(picksByAddress(a, "s0")) == 3 })
	return a
}

// endAttempt picks a target and ends the attempt with an outcome.
func endAttempt(t *testing.T, a *agent.Agent, now time.Time, o proxy.Outcome) proxy.Target {
	t.Helper()
	r := request(a, "s0")
	target, ok := a.Pick(r, nil, now)
	if !ok {
		t.Fatal("no target")
	}
	at := proxy.Attempt{Request: r, Target: target, Start: now}
	a.Begin(at)
	o.End = now
	a.End(at, o)
	return target
}

// Guards against requests to a target that wants none from this entry: first and
// further attempts, copies on a second connection, and attempts after failures, which
// test avoided targets; and against a target that stays unused after its pause.
func TestPausedTargetGetsNoRequests(t *testing.T) {
	const pause = 3 * time.Second
	for name, o := range map[string]proxy.Outcome{
		"not run": {Class: proxy.Refused, Status: http.StatusServiceUnavailable, HeaderLatency: time.Millisecond, Pause: pause},
		"failed":  {Class: proxy.Faulty, Status: http.StatusServiceUnavailable, HeaderLatency: time.Millisecond, Pause: pause},
	} {
		for _, registry := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				a := startPauseFleet(t, registry)
				now := time.Now()
				paused := endAttempt(t, a, now, o)
				end := now.Add(pause)
				for at := now; at.Before(end); at = at.Add(5 * time.Millisecond) {
					r := request(a, "s0")
					target, ok := a.Pick(r, nil, at)
					is.True(ok)
					is.True(target.Address != paused.Address)
					is.True(!a.MayResend(paused, at))
					if at.UnixMilli()%4 == 0 { // the other targets are avoided, so that all are tested
						attempt := proxy.Attempt{Request: r, Target: target, Start: at}
						a.Begin(attempt)
						a.End(attempt, proxy.Outcome{Class: proxy.Faulty, Status: 500, HeaderLatency: time.Millisecond, End: at})
					}
				}
				used := false
				for at := end; at.Before(end.Add(time.Second)); at = at.Add(time.Millisecond) {
					target, ok := a.Pick(request(a, "s0"), nil, at)
					used = used || ok && target.Address == paused.Address
				}
				is.True(used)
			})
		}
	}
}

// Guards against targets that are held for sick because they pause, and are reported as
// such to other entries.
func TestPauseIsNoSuspicion(t *testing.T) {
	is := is.New(t)
	r := startFakeRegistry(t, "near", "salish")
	for n := range 3 {
		r.announce(uint64(n+1), n+1, enrol.Ready, false)
	}
	a := startRegistryAgent(t, r.addr)
	waitUntil(t, "ready", func() bool { return a.View().Ready && len(picksByAddress(a, "s0")) == 3 })
	now := time.Now()
	failed := proxy.Outcome{Class: proxy.Faulty, Status: http.StatusServiceUnavailable, HeaderLatency: time.Millisecond}
	pausing := failed
	pausing.Pause = time.Second
	endAttempt(t, a, now, pausing)
	sick := endAttempt(t, a, now, failed)
	reported := <-r.suspects
	is.Equal(len(reported.List), 1)
	is.Equal(reported.List[0].Target, sick.Address)
}

// Guards against requests that wait or go to a paused target because all targets
// pause, and against callers that are told to come back later than needed.
func TestAllTargetsPause(t *testing.T) {
	is := is.New(t)
	a := startPauseFleet(t, true)
	now := time.Now()
	for n := range 3 {
		first, _ := a.Unavailable(request(a, "s0"), now)
		is.Equal(first, refuse.NoTarget) // there are others
		endAttempt(t, a, now, proxy.Outcome{
			Class: proxy.Refused, Status: http.StatusServiceUnavailable, HeaderLatency: time.Millisecond, Pause: time.Duration(n+2) * time.Second,
		})
	}
	_, ok := a.Pick(request(a, "s0"), nil, now)
	is.True(!ok)
	later, _ := a.Unavailable(request(a, "s0"), now.Add(time.Minute))
	is.Equal(later, refuse.NoTarget) // the pauses are over
	reason, wait := a.Unavailable(request(a, "s0"), now)
	is.Equal(reason, refuse.Paused)
	is.Equal(wait, 2*time.Second)
	_, ok = a.Pick(request(a, "s0"), nil, now.Add(wait))
	is.True(ok)
}

// Guards against requests to a target after one of its answers told that it leaves,
// also if that answer was a failure.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	for _, class := range []proxy.Class{proxy.Answered, proxy.Faulty, proxy.Refused} {
		for _, registry := range []bool{true, false} {
			is := is.New(t)
			a := startPauseFleet(t, registry)
			now := time.Now()
			leaving := endAttempt(t, a, now, proxy.Outcome{Class: class, Status: http.StatusOK, HeaderLatency: time.Millisecond, Leaving: true})
			for at := now; at.Before(now.Add(time.Hour)); at = at.Add(10 * time.Second) {
				target, ok := a.Pick(request(a, "s0"), nil, at)
				is.True(ok && target.Address != leaving.Address)
				is.True(!a.MayResend(leaving, at))
			}
		}
	}
}
