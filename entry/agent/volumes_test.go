package agent_test

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/entry/agent"
	"github.com/galenalock/galenalock/entry/proxy"
)

// Guards against a choice that does not learn which connections are idle, and against
// one that keeps to them after a refusal.
func TestIdleConnectionsArePreferred(t *testing.T) {
	is := is.New(t)
	near := startFakeRegistry(t, "near", "salish")
	for n := range 2 {
		near.announce(uint64(n+1), n+1, enrol.Ready, false)
	}
	connected := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 2}), 80)
	var counted atomic.Int64
	a := startAgentWithHooks(t, agent.Settings{ControlSeeds: []netip.AddrPort{near.addr}, ControlLinks: 3, Near: true}, agent.Hooks{
		HasIdle:    func(to netip.AddrPort, nonRepeatable bool) bool { return to == connected && nonRepeatable },
		CountRoute: func(r agent.Route) { counted.Add(r.Received) },
	})
	waitUntil(t, "ready", func() bool { return a.View().Ready && len(picksByName(a)) == 2 })
	is.True(picksByName(a)["t-2"] > 160)

	now := time.Now()
	var target proxy.Target
	for target.Name != "t-2" { // a refusal of the other one would be a reason to use this one
		target, _ = a.Pick(orderRequest(a), nil, now)
	}
	at := proxy.Attempt{Request: orderRequest(a), Target: target, Start: now}
	for _, class := range []proxy.Class{proxy.Answered, proxy.Refused} {
		a.Begin(at)
		a.End(at, proxy.Outcome{Class: class, End: now, HeaderLatency: time.Millisecond, BytesReceived: 400})
	}
	is.Equal(counted.Load(), int64(400))
	is.True(picksByName(a)["t-1"] > 40)
}
