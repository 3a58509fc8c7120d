package agent_test

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/quota"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/wire"
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
func TestLimitOfTargetIsKept(t *testing.T) { checkLimitIsKept(t, true) }

// Guards against an entry that does not use limited targets while control is out
// of reach, because it knows no demands.
func TestLimitIsKeptWithoutControl(t *testing.T) { checkLimitIsKept(t, false) }

func checkLimitIsKept(t *testing.T, control bool) {
	is := is.New(t)
	r := startFakeReplica(t, &fakeReplica{text: serviceText(1), number: 1, claim: func(wire.Claim) (wire.Claimed, error) {
		return wire.Claimed{State: wire.ClaimGranted}, nil
	}})
	a := startAgent(t, r.addr)
	waitUntil(t, "ready", func() bool { return a.View().Ready })
	if !control {
		r.stop()
		waitUntil(t, "the link has ended", func() bool {
			_, err := a.Claim(t.Context(), wire.Claim{Service: "s0", Key: "k"})
			return err != nil
		})
	}
	for n := range 2 {
		is.Equal(announce(t, a, renewal("s0", n)), http.StatusOK)
	}
	waitUntil(t, "all targets are picked", func() bool { return len(picksByAddress(a, "s0")) == 2 })
	limited, rate := renewal("s0", 0).Address, 1.0
	reports := map[netip.AddrPort]quota.Report{limited: {Limited: true, Rate: rate}}

	waitUntil(t, "the entry uses its share of the limit", func() bool {
		exchange(a, time.Now(), reports)
		reason, wait := a.Unavailable(request(a, "s0"), time.Now())
		ok := reason == refuse.Limited
		return ok && wait < time.Second
	})
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

// Guards against an entry that observes only the limits that it was told itself,
// keeps them to itself, or takes more than its part of them.
func TestLimitsAreShared(t *testing.T) {
	is := is.New(t)
	near := startFakeRegistry(t, "near", "salish")
	for n := range 2 {
		near.announce(uint64(n+1), n+1, enrol.Ready, false)
	}
	a := startRegistryAgent(t, near.addr)
	waitUntil(t, "ready", func() bool { return a.View().Ready && len(picksByName(a)) == 2 })
	limitOf := func(n int, report quota.Report) wire.List[wire.Limit] {
		return wire.List[wire.Limit]{List: []wire.Limit{{
			Service: "s0", Target: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80), Start: targetStart.UnixMilli(),
			Limited: report.Limited, Rate: report.Rate,
		}}}
	}
	near.send(t, wire.KindDemands, wire.List[wire.Demand]{List: []wire.Demand{{Service: "s0", Entry: 1, Region: "salish", Rate: 1e9}}})
	near.send(t, wire.KindLimits, limitOf(1, quota.Report{Limited: true, Rate: 1000}))
	waitUntil(t, "the target is left to the entry with the demand", func() bool { return picksByName(a)["t-1"] == 0 })
	demand := <-near.demands
	is.True(demand.List[0].Rate > 0)
	is.Equal(demand.List[0].Region, "salish")
	near.send(t, wire.KindDemands, wire.List[wire.Demand]{List: []wire.Demand{{Service: "s0", Entry: 1, Region: "salish"}}})
	waitUntil(t, "this entry uses the target", func() bool { return picksByName(a)["t-1"] > 0 })
	near.send(t, wire.KindLimits, limitOf(1, quota.Report{}))
	waitUntil(t, "the limit is lifted", func() bool { return picksByName(a)["t-1"] > 50 })

	// An entry that is told a limit passes it on.
	told := renewal("s0", 2).Address
	waitUntil(t, "a target names its limit", func() bool {
		address, ok := exchange(a, time.Now(), map[netip.AddrPort]quota.Report{told: {Limited: true, Rate: 2}})
		return ok && address == told
	})
	got := <-near.limits
	for got.List[0].Target != told { // this entry may have seen before control that the other limit was lifted
		got = <-near.limits
	}
	is.Equal(got.List[0].Rate, 2.0)

	// No target is left. The refusal tells when there is one again.
	near.send(t, wire.KindDemands, wire.List[wire.Demand]{List: []wire.Demand{{Service: "s0", Entry: 1, Region: "salish", Rate: 1e9}}})
	waitUntil(t, "no target is left", func() bool {
		near.send(t, wire.KindLimits, limitOf(1, quota.Report{Limited: true, Rate: 2}))
		_, ok := a.Pick(request(a, "s0"), nil, time.Now())
		return !ok
	})
	reason, wait := a.Unavailable(request(a, "s0"), time.Now())
	limited := reason == refuse.Limited
	is.True(limited && wait > 0 && wait <= 5*time.Second)
}
