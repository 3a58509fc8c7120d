package agent_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/delta"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/mesh"
	"github.com/galenalock/galenalock/core/poison"
	"github.com/galenalock/galenalock/core/quota"
	"github.com/galenalock/galenalock/core/reach"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/agent"
	"github.com/galenalock/galenalock/entry/proxy"
)

// waitLimit is how long the tests wait for the goroutines of the agent.
const waitLimit = 20 * time.Second

// fakeReplica is a control replica that answers from fixed data.
type fakeReplica struct {
	text   []byte
	number uint64
	claim  func(wire.Claim) (wire.Claimed, error)
	conns  chan *link.Conn
	addr   netip.AddrPort
	stop   func()
}

func startFakeReplica(t testing.TB, r *fakeReplica) *fakeReplica {
	r.conns = make(chan *link.Conn, 16)
	s := link.NewServer(
		link.WithHello(func() wire.Hello {
			return wire.Hello{Fleet: "f", Instance: "control-1", Role: wire.RoleControl}
		}),
		link.WithOpenHook(func(c *link.Conn) {
			if c.Peer().Use == wire.UseControl {
				r.conns <- c
			}
		}),
		link.WithHandler(r.handle))
	server := httptest.NewServer(s)
	r.stop = sync.OnceFunc(func() { s.Close(); server.Close() })
	t.Cleanup(r.stop)
	r.addr = server.Listener.Addr().(*net.TCPAddr).AddrPort()
	return r
}

func (r *fakeReplica) handle(_ *link.Conn, m wire.Message) (any, error) {
	switch m.Kind {
	case wire.KindConfirm:
		return wire.Confirmed{Number: r.number, Checksum: delta.Sum(r.text)}, nil
	case wire.KindPull:
		return delta.Whole(r.number, r.text)
	case wire.KindClaim:
		var c wire.Claim
		if err := wire.Decode(m.Body, &c); err != nil {
			return nil, err
		}
		return r.claim(c)
	}
	return nil, nil
}

func startAgent(t testing.TB, control ...netip.AddrPort) *agent.Agent {
	return startAgentWith(t, agent.Settings{Control: control})
}

// startAgentWith runs an agent with the given settings and fills in the settings
// of the instance.
func startAgentWith(t testing.TB, s agent.Settings) *agent.Agent {
	return startAgentWithHooks(t, s, agent.Hooks{})
}

// startAgentWithHooks is like startAgentWith and fills in the hooks as well.
func startAgentWithHooks(t testing.TB, s agent.Settings, hooks agent.Hooks) *agent.Agent {
	log, err := logs.New(io.Discard, "error", nil)
	if err != nil {
		t.Fatal(err)
	}
	s.Fleet, s.Instance, s.Region, s.DataCentre = "f", "entry-1", "salish", "salish-1"
	s.Quarantine = poison.DefaultHold
	s.Peer, s.Start = netip.MustParseAddrPort("127.0.0.1:9"), time.Now()
	hooks.OpenMesh = func(opts ...mesh.Option) *mesh.Mesh { return mesh.New(opts...) }
	hooks.SetDrained = func(bool) {}
	hooks.CountRetry = func(string, string) {}
	hooks.CountCrossRegion = func(int64, int64) {}
	hooks.CountLimit = func(quota.Event) {}
	if hooks.CountCrash == nil {
		hooks.CountCrash = func() {}
	}
	hooks.CloseIdle = func() {}
	hooks.CountPause = func(string) {}
	hooks.CountToken = func(string) {}
	hooks.CountRelay = func(string) {}
	hooks.CountPath = func(reach.State) {}
	hooks.Inflight = func() int { return 0 }
	if s.Path == nil {
		if s.Path, err = reach.New(); err != nil {
			t.Fatal(err)
		}
	}
	a := agent.New(s, hooks, log)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return a
}

func waitUntil(t testing.TB, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %s: %s", waitLimit, what)
		}
	}
}

func serviceText(services int) []byte {
	var b strings.Builder
	for i := range services {
		fmt.Fprintf(&b, "[[service]]\nname = \"s%d\"\nfloor = \"50%%\"\n", i)
	}
	return []byte(b.String())
}

var targetStart = time.Unix(1_800_000_000, 0).UTC()

func renewal(service string, n int) wire.Renew {
	return wire.Renew{
		Service: service, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80),
		Region: "salish", DataCentre: "salish-1", Slots: 6, Connections: 400,
		Start: targetStart, Seq: 1, State: "ready", TTL: 60,
	}
}

func announce(t testing.TB, a *agent.Agent, r wire.Renew) int {
	body, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	a.Announce(w, httptest.NewRequest(http.MethodPost, agent.AnnouncePath, bytes.NewReader(body)))
	return w.Code
}

func request(a *agent.Agent, service string) proxy.Request {
	s := a.View().Text.Service(service)
	return proxy.Request{View: a.View(), Service: s, Kind: &spec.Kind{Repeatable: true}}
}

// picksByAddress returns how often each target is picked in 400 picks.
func picksByAddress(a *agent.Agent, service string) map[netip.AddrPort]int {
	out := map[netip.AddrPort]int{}
	for range 400 {
		if t, ok := a.Pick(request(a, service), nil, time.Now()); ok {
			out[t.Address]++
		}
	}
	return out
}

// Guards against an entry that serves before a majority has confirmed its
// revision, sends requests to an ejected or drained target, or follows orders that
// eject targets below the floor.
func TestOrdersAffectPicks(t *testing.T) {
	is := is.New(t)
	r := startFakeReplica(t, &fakeReplica{text: serviceText(1), number: 4})
	a := startAgent(t, r.addr)
	c := <-r.conns
	waitUntil(t, "ready", func() bool { return a.View().Ready })
	is.Equal(a.View().Revision, uint64(4))
	for n := range 4 {
		is.Equal(announce(t, a, renewal("s0", n)), http.StatusOK)
	}
	waitUntil(t, "all targets are picked", func() bool { return len(picksByAddress(a, "s0")) == 4 })

	grants := func(n int) (out []wire.Grant) {
		for i := range n {
			out = append(out, wire.Grant{Service: "s0", Target: renewal("s0", i).Address, Start: targetStart, Remaining: 10 * time.Second, Score: float64(20 + i)})
		}
		return out
	}
	is.NoErr(c.Send(wire.KindOrders, wire.Orders{Index: 7, Grants: grants(1)}))
	waitUntil(t, "one target is out", func() bool { return len(picksByAddress(a, "s0")) == 3 })
	is.NoErr(c.Send(wire.KindOrders, wire.Orders{Index: 8, Grants: grants(4)}))
	is.NoErr(c.Send(wire.KindOrders, wire.Orders{Index: 6})) // outdated orders are ignored
	waitUntil(t, "the floor keeps two targets", func() bool {
		known := a.Targets()
		out := 0
		for _, k := range known {
			if k.State == "ejected" {
				out++
			}
		}
		return out == 2
	})
	is.Equal(len(picksByAddress(a, "s0")), 2)

	drained := renewal("s0", 3).Address
	is.NoErr(c.Send(wire.KindOrders, wire.Orders{Index: 9, Drains: []string{drained.String()}}))
	waitUntil(t, "drained target gets nothing", func() bool {
		p := picksByAddress(a, "s0")
		return len(p) == 3 && p[drained] == 0
	})
}

// Guards against invalid announcements that are accepted, and against an error
// response that does not name the invalid key.
func TestAnnounceRefuses(t *testing.T) {
	is := is.New(t)
	a := startAgent(t)
	bad := renewal("s0", 1)
	bad.TTL = 0
	is.Equal(announce(t, a, bad), http.StatusBadRequest)
	w := httptest.NewRecorder()
	a.Announce(w, httptest.NewRequest(http.MethodPost, agent.AnnouncePath, strings.NewReader(`{"servce":"s0"}`)))
	is.Equal(w.Code, http.StatusBadRequest)
	is.True(strings.Contains(w.Body.String(), "servce"))
}

// Guards against a claim that fails because one of two replicas reports that it
// has no quorum.
func TestClaimAsksAnotherReplica(t *testing.T) {
	is := is.New(t)
	var asked atomic.Int32
	refusing := func(wire.Claim) (wire.Claimed, error) {
		if asked.Add(1) == 1 {
			return wire.Claimed{}, &wire.FaultError{Code: "noquorum"}
		}
		return wire.Claimed{State: wire.ClaimGranted}, nil
	}
	first := startFakeReplica(t, &fakeReplica{text: serviceText(1), number: 1, claim: refusing})
	second := startFakeReplica(t, &fakeReplica{text: serviceText(1), number: 1, claim: refusing})
	a := startAgent(t, first.addr, second.addr)
	<-first.conns
	<-second.conns
	waitUntil(t, "granted", func() bool {
		got, err := a.Claim(t.Context(), wire.Claim{Service: "s0", Key: "k"})
		return err == nil && got.State == wire.ClaimGranted
	})
	is.True(asked.Load() >= 2)
}

// BenchmarkControl reports the processor time that the control state uses at the
// fleet size that the system is designed for, in percent of a core: without
// traffic, and with the share of the peak traffic that one of 670 entries gets.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ services, targets, rate int }{{3, 50, 0}, {150, 1000, 0}, {150, 5900, 0}, {150, 5900, 110}} {
		b.Run(fmt.Sprintf("services=%d/targets=%d/rate=%d", size.services, size.targets, size.rate), func(b *testing.B) {
			r := startFakeReplica(b, &fakeReplica{text: serviceText(size.services), number: 1})
			a := startAgent(b, r.addr)
			waitUntil(b, "ready", func() bool { return a.View().Ready })
			for n := range size.targets {
				announce(b, a, renewal(fmt.Sprint("s", n%size.services), n))
			}
			for b.Loop() {
				before, began := cpuTime(b), time.Now()
				for n := range 5 * max(1, size.rate) { // measures the ticks of the agent in the background
					time.Sleep(time.Second / time.Duration(max(1, size.rate)))
					if size.rate > 0 {
						runAttempt(a, fmt.Sprint("s", n*7%size.services))
					}
				}
				b.ReportMetric(100*(cpuTime(b)-before).Seconds()/time.Since(began).Seconds(), "%core")
			}
		})
	}
}

// runAttempt calls the hooks of the data path for one attempt.
func runAttempt(a *agent.Agent, service string) {
	r := request(a, service)
	t, ok := a.Pick(r, nil, time.Now())
	if !ok {
		return
	}
	at := proxy.Attempt{Request: r, Target: t, Start: time.Now()}
	a.Begin(at)
	a.End(at, proxy.Outcome{Class: proxy.Answered, Status: http.StatusOK, HeaderLatency: 10 * time.Millisecond, End: time.Now()})
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Guards against a gate that admits more requests than the entry has connections
// for. They would be refused for lack of a target although they could wait.
func TestGateRespectsConnectionLimit(t *testing.T) {
	is := is.New(t)
	r := startFakeReplica(t, &fakeReplica{text: serviceText(1), number: 1})
	a := startAgent(t, r.addr)
	waitUntil(t, "ready", func() bool { return a.View().Ready })
	large := renewal("s0", 1)
	large.Slots = 4096
	is.Equal(announce(t, a, large), http.StatusOK)
	waitUntil(t, "the target is picked", func() bool { return len(picksByAddress(a, "s0")) == 1 })
	admitted := 0
	waitUntil(t, "requests wait instead of being admitted without limit", func() bool {
		q := request(a, "s0")
		q.Kind = &spec.Kind{Name: "lookup", Repeatable: true, Weight: 1}
		q.Deadline = time.Now().Add(50 * time.Millisecond)
		ctx, cancel := context.WithDeadline(t.Context(), q.Deadline)
		defer cancel()
		if _, err := a.Admit(ctx, q); err != nil {
			return true
		}
		admitted++
		picked, ok := a.Pick(q, nil, time.Now())
		is.True(ok) // every admitted request finds a target
		a.Begin(proxy.Attempt{Request: q, Target: picked, Start: time.Now()})
		return false
	})
	is.True(admitted > 0)
}

// Guards against hedges that take the slots of requests that wait for admission.
func TestNoHedgeWhileRequestsWait(t *testing.T) {
	is := is.New(t)
	r := startFakeReplica(t, &fakeReplica{text: serviceText(1), number: 1})
	a := startAgentWith(t, agent.Settings{
		Control: []netip.AddrPort{r.addr}, Retry: agent.RetryBudget{Window: 10 * time.Second, Share: 0.2, Slack: 1e9},
	})
	waitUntil(t, "ready", func() bool { return a.View().Ready })
	is.Equal(announce(t, a, renewal("s0", 1)), http.StatusOK)
	waitUntil(t, "the target is picked", func() bool { return len(picksByAddress(a, "s0")) == 1 })
	q := request(a, "s0")
	q.Kind = &spec.Kind{Name: "lookup", Repeatable: true, Weight: 1}
	q.Deadline = time.Now().Add(waitLimit)
	is.True(a.Retry(q, proxy.RetryHedge))
	ctx, cancel := context.WithCancel(t.Context())
	var waiting sync.WaitGroup
	for range 200 {
		waiting.Go(func() { _, _ = a.Admit(ctx, q) })
	}
	waitUntil(t, "hedges end", func() bool { return !a.Retry(q, proxy.RetryHedge) })
	is.True(a.Retry(q, proxy.RetryFailed))
	cancel()
	waiting.Wait()
	waitUntil(t, "hedges return", func() bool { return a.Retry(q, proxy.RetryHedge) })
}
