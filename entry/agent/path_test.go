package agent_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/poison"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/agent"
	"github.com/galenalock/galenalock/entry/proxy"
)

// startFakeHelper starts an entry that answers whether it reaches targets.
func startFakeHelper(t *testing.T, reaches *atomic.Bool) wire.Helper {
	s := link.NewServer(
		link.WithHello(func() wire.Hello {
			return wire.Hello{Fleet: "f", Instance: "entry-2", Role: wire.RoleEntry, Region: "salish", DataCentre: "salish-1"}
		}),
		link.WithHandler(func(_ *link.Conn, m wire.Message) (any, error) {
			if m.Kind == wire.KindReach {
				return wire.Reached{Reached: reaches.Load()}, nil
			}
			return nil, nil
		}))
	server := httptest.NewServer(s)
	t.Cleanup(func() { s.Close(); server.Close() })
	return wire.Helper{Instance: "entry-2", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Region: "salish", DataCentre: "salish-1"}
}

// pathFleet is an agent with four targets, of which it reaches all or none, and
// another entry that reaches all or none.
type pathFleet struct {
	*testing.T
	agent    *agent.Agent
	registry *fakeRegistry
	reached  atomic.Bool // by this entry
	helps    atomic.Bool
}

func startPathFleet(t *testing.T) *pathFleet {
	f := &pathFleet{T: t, registry: startFakeRegistry(t, "near", "salish")}
	f.reached.Store(true)
	for n := range 4 {
		f.registry.announce(uint64(n+1), n+1, enrol.Ready, false)
	}
	f.registry.helpers = wire.Helpers{List: []wire.Helper{startFakeHelper(t, &f.helps)}, Near: 1, Entries: 2}
	f.agent = startAgentWithHooks(t, agent.Settings{
		ControlSeeds: []netip.AddrPort{f.registry.addr}, ControlLinks: 1, Retry: agent.RetryBudget{Window: 10 * time.Second, Share: 0.2, Slack: 1},
	}, agent.Hooks{Connect: func(context.Context, netip.AddrPort) error {
		if f.reached.Load() {
			return nil
		}
		return syscall.ECONNREFUSED
	}})
	waitUntil(t, "ready", func() bool { return f.agent.View().Ready && len(picksByName(f.agent)) == 4 })
	return f
}

// fail lets the next attempts at targets fail until the condition holds.
func (f *pathFleet) fail(what string, o proxy.Outcome, until func() bool) {
	f.Helper()
	waitUntil(f, what, func() bool {
		r := orderRequest(f.agent)
		r.Print = func() poison.Print { return poison.Print{1} }
		if target, ok := f.agent.Pick(r, nil, time.Now()); ok && !target.Relay {
			at := proxy.Attempt{Request: r, Target: target, Start: time.Now()}
			f.agent.Begin(at)
			o.End = time.Now()
			f.agent.End(at, o)
		}
		return until()
	})
}

var dialFailed = proxy.Outcome{Class: proxy.Dial, Err: errors.New("refused")}

func (f *pathFleet) pick(r proxy.Request) (proxy.Target, bool) {
	return f.agent.Pick(r, nil, time.Now())
}

// Guards against a lost path that is taken for failing targets, and against an entry
// that keeps using others after its path is back.
func TestLostPathIsBridged(t *testing.T) {
	is := is.New(t)
	f := startPathFleet(t)
	pending := make([]proxy.Attempt, 2)
	for i := range pending {
		r := orderRequest(f.agent)
		target, ok := f.pick(r)
		is.True(ok)
		pending[i] = proxy.Attempt{Request: r, Target: target, Start: time.Now()}
		f.agent.Begin(pending[i])
	}
	f.reached.Store(false)
	f.helps.Store(true)
	f.fail("requests go through another entry", dialFailed, func() bool {
		target, ok := f.pick(orderRequest(f.agent))
		return ok && target.Relay && target.Name == "entry-2"
	})
	relayed := orderRequest(f.agent)
	relayed.Path = proxy.DirectPath
	_, ok := f.pick(relayed) // was passed on already
	is.True(!ok)
	reason, _ := f.agent.Unavailable(relayed, time.Now())
	is.Equal(reason, refuse.NoPath)

	f.agent.End(pending[0], proxy.Outcome{Class: proxy.Failed, End: time.Now()})
	f.reached.Store(true)
	waitUntil(t, "the path is back", func() bool { return !f.agent.PathLost() })
	f.agent.End(pending[1], proxy.Outcome{Class: proxy.Failed, End: time.Now()})
	picks := picksByName(f.agent)
	is.Equal(len(picks), 4)
	for _, n := range picks {
		is.True(n > 25) // no target is blamed for the lost path
	}
}

// Guards against requests to a target that told another entry that it leaves, in an
// answer that this one passed on.
func TestLeavingIsLearntFromRelayedAnswer(t *testing.T) {
	is := is.New(t)
	f := startPathFleet(t)
	leaving, ok := f.pick(orderRequest(f.agent))
	is.True(ok)
	f.reached.Store(false)
	f.helps.Store(true)
	f.fail("the path is lost", dialFailed, f.agent.PathLost)
	r := orderRequest(f.agent)
	helper, ok := f.pick(r)
	is.True(ok && helper.Relay)
	f.agent.End(proxy.Attempt{Request: r, Target: helper}, proxy.Outcome{
		Class: proxy.Answered, End: time.Now(), Leaving: true, LeavingTarget: leaving.Address, LeavingStart: leaving.Incarnation,
	})
	f.reached.Store(true)
	waitUntil(t, "the other targets are used", func() bool { return len(picksByName(f.agent)) == 3 })
	is.Equal(picksByName(f.agent)[leaving.Name], 0)
}

// Guards against requests that wait although no entry reaches a target, and against
// targets that stay unused after they are back.
func TestNoEntryReachesATarget(t *testing.T) {
	is := is.New(t)
	f := startPathFleet(t)
	f.reached.Store(false)
	f.fail("requests are refused at once", dialFailed, func() bool { _, ok := f.pick(orderRequest(f.agent)); return !ok })
	reason, wait := f.agent.Unavailable(orderRequest(f.agent), time.Now())
	is.Equal(reason, refuse.NoPath)
	is.True(wait > 0 && wait < time.Second)

	f.helps.Store(true)
	waitUntil(t, "another entry helps", func() bool { target, ok := f.pick(orderRequest(f.agent)); return ok && target.Relay })
	f.reached.Store(true)
	waitUntil(t, "all targets are used again", func() bool { return len(picksByName(f.agent)) == 4 })
}

// Guards against sick targets that are taken for a lost path: all requests fail, but
// connections can be opened.
func TestSickTargetsAreNoLostPath(t *testing.T) {
	is := is.New(t)
	f := startPathFleet(t)
	f.helps.Store(true)
	n := 0
	f.fail("many requests have failed", proxy.Outcome{Class: proxy.Failed, Lost: true}, func() bool {
		n++
		return n == 200
	})
	target, ok := f.pick(orderRequest(f.agent))
	is.True(ok && !target.Relay)
	is.True(!f.agent.PathLost())
}

// Guards against requests that are quarantined because an entry that has lost its
// path takes reset and refused connections for crashes of targets.
func TestLostPathIsNoCrash(t *testing.T) {
	is := is.New(t)
	f := startPathFleet(t)
	f.reached.Store(false)
	f.helps.Store(true)
	n := 0
	f.fail("the path is lost", proxy.Outcome{Class: proxy.Failed, Lost: true}, func() bool {
		n++
		return n >= 50 && f.agent.PathLost()
	})
	is.True(!isQuarantined(f.agent, poison.Print{1}))
	is.Equal(len(f.registry.crashes), 0)
}

// Guards against entries that leave their callers to the others although most of the
// data centre has no path.
func TestCallersAreLeftToOthers(t *testing.T) {
	for _, c := range []struct {
		lost, entries int
		yields        bool
	}{{1, 4, true}, {2, 4, false}, {4, 4, false}, {1, 1, false}} {
		is := is.New(t)
		f := startPathFleet(t)
		f.registry.mu.Lock()
		f.registry.helpers.Lost, f.registry.helpers.Entries = c.lost, c.entries
		f.registry.mu.Unlock()
		is.True(!f.agent.YieldsCallers(time.Now().Add(time.Hour)))
		f.reached.Store(false)
		f.helps.Store(true)
		f.fail("the path is lost", dialFailed, f.agent.PathLost)
		is.True(!f.agent.YieldsCallers(time.Now())) // control may not have told yet
		is.Equal(f.agent.YieldsCallers(time.Now().Add(time.Minute)), c.yields)
	}
}

// Guards against helpers that get all requests of an entry while others are idle, and
// against one that is used although it declines.
func TestHelpersShareRequests(t *testing.T) {
	is := is.New(t)
	f := startPathFleet(t)
	f.registry.mu.Lock()
	near := f.registry.helpers.List[0]
	for n := range 3 {
		h := near
		h.Instance, h.Address = "idle", netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(n)}), 80)
		f.registry.helpers.List = append(f.registry.helpers.List, h)
	}
	f.registry.helpers.Near = 4
	f.registry.mu.Unlock()
	f.reached.Store(false)
	f.helps.Store(true)
	f.fail("the path is lost", dialFailed, f.agent.PathLost)
	counts := map[netip.AddrPort]int{}
	for range 200 {
		r := orderRequest(f.agent)
		target, ok := f.pick(r)
		is.True(ok && target.Relay)
		f.agent.Begin(proxy.Attempt{Request: r, Target: target, Start: time.Now()})
		counts[target.Address]++
	}
	for _, n := range counts {
		is.True(n > 25 && n < 100)
	}
	r := orderRequest(f.agent)
	f.agent.End(proxy.Attempt{Request: r, Target: mustPick(f, r, near.Address)}, proxy.Outcome{Class: proxy.Declined, Status: http.StatusServiceUnavailable, End: time.Now().Add(time.Minute)})
	for range 100 {
		target, ok := f.pick(r)
		is.True(ok && target.Address != near.Address)
	}
}

// mustPick picks until the helper with the given address is chosen.
func mustPick(f *pathFleet, r proxy.Request, address netip.AddrPort) (out proxy.Target) {
	waitUntil(f, "the helper is picked", func() bool {
		out, _ = f.pick(r)
		return out.Address == address
	})
	return out
}
