package agent_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/delta"
	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/susp"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/agent"
	"github.com/galenalock/galenalock/entry/proxy"
)

// registrar is a stand-in for a control replica that keeps the targets.
type registrar struct {
	name, region string
	addr         netip.AddrPort
	suspects     chan wire.Suspects

	mu     sync.Mutex
	table  *enrol.Table
	pulls  int
	follow map[*link.Conn]wire.Follow
	late   bool // gives the text only after it has confirmed the revision
	asked  bool // for the revision
}

func startRegistrar(t *testing.T, name, region string) *registrar {
	r := &registrar{name: name, region: region, table: enrol.New(), follow: map[*link.Conn]wire.Follow{}, suspects: make(chan wire.Suspects, 16)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.addr = listener.Addr().(*net.TCPAddr).AddrPort()
	s := link.NewServer(
		link.WithHello(func() wire.Hello {
			return wire.Hello{Fleet: "f", Instance: r.name, Role: wire.RoleControl, Region: r.region, DataCentre: r.region + "-1", Peer: r.addr}
		}),
		link.WithHandler(r.handle))
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: s}}
	server.Start()
	t.Cleanup(func() { s.Close(); server.Close() })
	return r
}

func (r *registrar) handle(c *link.Conn, m wire.Message) (any, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch m.Kind {
	case wire.KindConfirm:
		r.asked = true
		return wire.Confirmed{Number: 1, Sum: delta.Sum(text(1))}, nil
	case wire.KindPull:
		if r.late && !r.asked {
			return nil, &wire.Error{Reason: "noquorum"}
		}
		return delta.Whole(1, text(1))
	case wire.KindFollow:
		var in wire.Follow
		if err := wire.Decode(m.Body, &in); err != nil {
			return nil, err
		}
		r.follow[c] = in
		view := r.table.View()
		if in.Primary {
			return nil, c.Send(wire.KindTargets, view.Since(in.Have))
		}
	case wire.KindTargets:
		var in wire.Follow
		if err := wire.Decode(m.Body, &in); err != nil {
			return nil, err
		}
		r.pulls++
		view := r.table.View()
		return view.Since(in.Have), nil
	case wire.KindSuspects:
		var in wire.Suspects
		if err := wire.Decode(m.Body, &in); err != nil {
			return nil, err
		}
		r.suspects <- in
	}
	return nil, nil
}

// announce changes the table and tells the entries: whole changes where this
// replica is the primary, digests elsewhere.
func (r *registrar) announce(index uint64, n int, state enrol.State, tell bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Announce(index, started, enrol.Announcement{
		Name: fmt.Sprint("t-", n), Service: "s0", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
		Region: "salish", DataCentre: "salish-1", Slots: 6, Start: started, Seq: index, State: state,
	})
	view := r.table.View()
	for c, f := range r.follow {
		switch {
		case !tell:
		case f.Primary:
			_ = c.Send(wire.KindTargets, view.Since(view.Index-1))
		default:
			_ = c.Send(wire.KindTargets, view.Since(view.Index))
		}
	}
}

// startFollower runs an agent that takes its targets from control.
func startFollower(t *testing.T, seeds ...netip.AddrPort) *agent.Agent {
	return startWith(t, agent.Settings{
		Attach: seeds, Links: 3, Retry: agent.Retry{Window: 10 * time.Second, Share: 0.2, Slack: 1},
	})
}

// order is a request that must not be repeated.
func order(a *agent.Agent) proxy.Request {
	view := a.View()
	return proxy.Request{
		View: view, Service: view.Text.Service("s0"), Kind: &spec.Kind{Name: "order", Timeout: time.Second, Goal: time.Minute},
		Deadline: time.Now().Add(time.Second),
	}
}

// picks returns which targets get how many of 200 requests.
func picks(a *agent.Agent) map[string]int {
	out := map[string]int{}
	for range 200 {
		if target, ok := a.Pick(order(a), nil, time.Now()); ok {
			out[target.Name]++
		}
	}
	return out
}

// Guards against an entry that serves without its targets, that stays with a
// primary that lags, and that sends requests to a target that drains.
func TestTargetsComeFromControl(t *testing.T) {
	is := is.New(t)
	near, far := startRegistrar(t, "near", "salish"), startRegistrar(t, "far", "haida")
	for _, r := range []*registrar{near, far} {
		r.announce(1, 1, enrol.Ready, false)
		r.announce(2, 2, enrol.Ready, false)
	}
	a := startFollower(t, far.addr, near.addr)
	until(t, "ready", func() bool { return a.View().Ready && a.Fleet().Targets == 2 })
	until(t, "both are linked", func() bool {
		near.mu.Lock()
		defer near.mu.Unlock()
		far.mu.Lock()
		defer far.mu.Unlock()
		primary := 0
		for _, f := range near.follow {
			if f.Primary {
				primary++
			}
		}
		return primary == 1 && len(far.follow) == 1
	})
	got := picks(a)
	is.True(got["t-1"] > 50 && got["t-2"] > 50)

	far.announce(3, 2, enrol.Draining, true) // near is cut off from the group
	until(t, "the draining target gets nothing", func() bool { return picks(a)["t-2"] == 0 })
	far.mu.Lock()
	is.True(far.pulls > 0)
	far.mu.Unlock()

	near.announce(3, 2, enrol.Draining, true)
	near.announce(4, 3, enrol.Ready, true)
	until(t, "the primary pushes", func() bool { return a.Fleet().Targets == 3 })
}

// Guards against an entry that lets the first requests go on before its routers
// know the targets, so that they are refused for want of one.
func TestReadyWithTargets(t *testing.T) {
	is := is.New(t)
	near := startRegistrar(t, "near", "salish")
	near.announce(1, 1, enrol.Ready, false)
	near.late = true
	for range 5 {
		near.mu.Lock()
		near.asked = false
		near.mu.Unlock()
		a := startWith(t, agent.Settings{
			Attach: []netip.AddrPort{near.addr}, Links: 1, Wait: bound,
			Retry: agent.Retry{Window: 10 * time.Second, Share: 0.2, Slack: 1},
		})
		a.Await(t.Context())
		is.True(a.View().Ready)
		_, ok := a.Pick(order(a), nil, time.Now())
		is.True(ok)
	}
}

// Guards against failures that each entry has to see for itself, and against
// attempts without a connection that use up the budget.
func TestSignsAreShared(t *testing.T) {
	is := is.New(t)
	near := startRegistrar(t, "near", "salish")
	for n := range 3 {
		near.announce(uint64(n+1), n+1, enrol.Ready, false)
	}
	a := startFollower(t, near.addr)
	until(t, "ready", func() bool { return a.View().Ready && len(picks(a)) == 3 })

	request := order(a)
	target, ok := a.Pick(request, nil, time.Now())
	is.True(ok)
	attempt := proxy.Attempt{Request: request, Target: target, Start: time.Now()}
	a.Begin(attempt)
	a.End(attempt, proxy.Outcome{Class: proxy.Faulty, Status: http.StatusInternalServerError, HeaderLatency: time.Millisecond, End: time.Now()})
	told := <-near.suspects
	is.Equal(told.Region, "salish")
	is.Equal(told.List[0].Target, target.Address)
	is.Equal(susp.Sign(told.List[0].Sign), susp.Failed)
	is.True(picks(a)[target.Name] < 10)

	other, ok := a.Pick(request, []netip.AddrPort{target.Address}, time.Now())
	is.True(ok)
	near.mu.Lock()
	for c := range near.follow {
		is.NoErr(c.Send(wire.KindSuspects, wire.Suspects{Region: "salish", List: []wire.Suspect{{
			Service: "s0", Target: other.Address, Start: started.UnixMilli(), Sign: uint8(susp.Failed),
		}}}))
	}
	near.mu.Unlock()
	until(t, "the third target gets the requests", func() bool { return picks(a)[other.Name] < 10 })

	// A short deadline of a caller is no sign of its target.
	third, ok := a.Pick(request, []netip.AddrPort{target.Address, other.Address}, time.Now())
	is.True(ok)
	short := proxy.Attempt{Request: request, Target: third, Start: time.Now()}
	a.Begin(short)
	a.End(short, proxy.Outcome{Class: proxy.Overdue, End: time.Now().Add(50 * time.Millisecond)})
	is.True(picks(a)[third.Name] > 150)

	for range 5 {
		is.True(a.Retry(request, proxy.RetryConnect))
	}
	is.True(a.Retry(request, proxy.RetryShed))
	is.True(!a.Retry(request, proxy.RetryShed)) // the slack of the window is one
}
