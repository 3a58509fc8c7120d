package agent_test

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/quota"
	"github.com/galenalock/galenalock/entry/agent"
	"github.com/galenalock/galenalock/entry/proxy"
)

const (
	// limitSettled is the time after which a limit binds, limitSpan the time over
	// which requests are counted, as in the rule LIMIT of the platform.
	limitSettled = 3 * time.Second
	limitSpan    = 4 * time.Second
)

// limitAllowance returns the number of requests that a target with a limit may get
// in limitSpan.
func limitAllowance(rate float64) int { return int(1.5*rate*limitSpan.Seconds()) + 5 }

// exchange picks a target and answers the attempt with the report of the target.
func exchange(a *agent.Agent, now time.Time, reports map[netip.AddrPort]quota.Report) (netip.AddrPort, bool) {
	r := request(a, "s0")
	target, ok := a.Pick(r, nil, now)
	if !ok {
		return netip.AddrPort{}, false
	}
	at := proxy.Attempt{Request: r, Target: target, Start: now}
	a.Begin(at)
	a.End(at, proxy.Outcome{
		Class: proxy.Answered, Status: http.StatusOK, HeaderLatency: 10 * time.Millisecond, End: now.Add(10 * time.Millisecond),
		Limit: reports[target.Address], HasLimit: true,
	})
	return target.Address, true
}

// mostInSpan returns the largest number of times within limitSpan.
func mostInSpan(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= limitSpan {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against an entry that sends a target more requests than the target
// accepts, and against one that no longer uses it after that.
func TestLimitOfTargetIsKept(t *testing.T) {
	is := is.New(t)
	r := startFakeReplica(t, &fakeReplica{text: serviceText(1), number: 1})
	a := startAgent(t, r.addr)
	waitUntil(t, "ready", func() bool { return a.View().Ready })
	for n := range 2 {
		is.Equal(announce(t, a, renewal("s0", n)), http.StatusOK)
	}
	waitUntil(t, "all targets are picked", func() bool { return len(picksByAddress(a, "s0")) == 2 })
	limited, rate := renewal("s0", 0).Address, 1.0
	reports := map[netip.AddrPort]quota.Report{limited: {Limited: true, Rate: rate}}

	now, begin := time.Now(), time.Now()
	var sent []time.Time
	for ; now.Before(begin.Add(20 * time.Second)); now = now.Add(25 * time.Millisecond) {
		if address, ok := exchange(a, now, reports); ok && address == limited && now.Sub(begin) > limitSettled {
			sent = append(sent, now)
		}
	}
	most := mostInSpan(sent)
	t.Logf("at most %d requests in %s with a limit of %v a second", most, limitSpan, rate)
	is.True(most <= limitAllowance(rate))
	is.True(len(sent) > 8) // half of what the target accepts

	reports[limited] = quota.Report{}
	after := 0
	for range 400 {
		now = now.Add(25 * time.Millisecond)
		if address, _ := exchange(a, now, reports); address == limited {
			after++
		}
	}
	is.True(after > 100)
}
