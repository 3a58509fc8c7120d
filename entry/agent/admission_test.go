package agent_test

import (
	"errors"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/entry/agent"
	"github.com/galenalock/galenalock/entry/proxy"
)

// Guards against an entry that ignores the load that targets report, the priority of a
// workspace or the time after which room is expected, and against one that refuses
// requests of targets with free slots.
func TestAdmissionFollowsLoad(t *testing.T) {
	is := is.New(t)
	text := string(serviceText(1)) + "[[workspace]]\nname = \"w\"\nservices = [\"s0\"]\npriority = 0\n"
	r := startFakeReplica(t, &fakeReplica{text: []byte(text), number: 1})
	a := startAgentWith(t, agent.Settings{Control: []netip.AddrPort{r.addr}, Pace: true})
	waitUntil(t, "ready", func() bool { return a.View().Ready })
	is.Equal(announce(t, a, renewal("s0", 0)), http.StatusOK)
	waitUntil(t, "the target is picked", func() bool { return len(picksByAddress(a, "s0")) == 1 })

	admit := func(workspace string) error {
		q := request(a, "s0")
		q.Workspace, q.Start = workspace, time.Now()
		q.Kind = &spec.Kind{Name: "low", Priority: 5, Weight: 1, LatencyGoal: 50 * time.Millisecond}
		q.Deadline = q.Start.Add(time.Second)
		admission, err := a.Admit(t.Context(), q)
		if err == nil {
			admission.Release(false)
		}
		return err
	}
	report := func(load proxy.Load) {
		for range 20 {
			target, ok := a.Pick(request(a, "s0"), nil, time.Now())
			is.True(ok)
			at := proxy.Attempt{Request: request(a, "s0"), Target: target, Start: time.Now()}
			a.Begin(at)
			a.End(at, proxy.Outcome{Class: proxy.Answered, HasLoad: true, Load: load, End: time.Now(), HeaderLatency: time.Millisecond})
		}
	}
	refused := func() (n int, after time.Duration) {
		for range 30 {
			var refusal *refuse.Error
			if errors.As(admit(""), &refusal) {
				is.Equal(refusal.Reason, refuse.Overload)
				is.Equal(refusal.Run, refuse.NotRun)
				n, after = n+1, max(after, refusal.RetryAfter)
			}
		}
		return n, after
	}
	report(proxy.Load{Running: 5, Slots: 6})
	none, _ := refused()
	is.Equal(none, 0)
	report(proxy.Load{Running: 6, Waiting: 10, Slots: 6})
	some, after := refused()
	is.True(some > 10)
	is.True(after > 0)
	for range 2 {
		is.NoErr(admit("w")) // more urgent than the kind
	}
	wait, ok := a.RoomAfter(request(a, "s0"), time.Now())
	is.True(ok && wait > 0)
}
