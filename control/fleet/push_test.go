package fleet_test

import (
	"context"
	"io"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/control/fleet"
	"github.com/galenalock/galenalock/core/delta"
	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

var testStart = time.Unix(1_800_000_000, 0)

// testReplica is a fleet whose replicated state the test changes.
type testReplica struct {
	t       *testing.T
	machine *state.Machine
	index   uint64
	view    atomic.Pointer[state.View]
	fleet   *fleet.Fleet
	address netip.AddrPort
}

func startReplica(t *testing.T) *testReplica {
	t.Helper()
	r := &testReplica{t: t, machine: state.New()}
	r.view.Store(r.machine.View())
	log := logrus.New()
	log.SetOutput(io.Discard)
	r.fleet = fleet.New(fleet.Dependencies{
		View: r.view.Load, IsLeader: func() bool { return false },
		Propose:    func(context.Context, state.Command) (state.Result, error) { return state.Result{}, nil },
		SendReport: func(wire.Report) {}, SendNotices: func(string, wire.Kind, any) {}, CountDropped: func() {},
		ReplicaAddresses: func() []netip.AddrPort { return nil }, Clock: time.Now, Log: logrus.NewEntry(log),
	})
	server := link.NewServer(
		link.WithHello(func() wire.Hello { return wire.Hello{Fleet: "f", Instance: "control-1", Role: wire.RoleControl} }),
		link.WithOpenHook(r.fleet.LinkOpened), link.WithCloseHook(r.fleet.LinkClosed),
		link.WithHandler(func(c *link.Conn, m wire.Message) (any, error) {
			switch m.Kind {
			case wire.KindPull:
				var in wire.Pull
				if err := wire.Decode(m.Body, &in); err != nil {
					return nil, err
				}
				return r.fleet.Pull(context.Background(), c, in)
			case wire.KindFollow:
				return wire.Deliver(m, func(w wire.Follow) { r.fleet.ReceiveFollow(c, w) })
			case wire.KindReport:
				return wire.Deliver(m, func(w wire.Report) { r.fleet.ReceiveReport(w, true) })
			}
			return nil, nil
		}))
	web := httptest.NewServer(server)
	r.address = netip.MustParseAddrPort(web.Listener.Addr().String())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { r.fleet.Run(ctx); close(done) }()
	t.Cleanup(func() { server.Close(); web.Close(); cancel(); <-done })
	return r
}

// commit adds a revision to the replicated state without telling the fleet.
func (r *testReplica) commit(text string) {
	base := r.machine.View().Newest().Number
	r.apply(state.Command{Time: testStart, Submit: &state.Submit{Base: base, Change: text, Text: []byte(text)}})
}

func (r *testReplica) apply(c state.Command) {
	r.index++
	command, err := wire.Encode(c)
	if err != nil {
		r.t.Fatal(err)
	}
	r.machine.Apply(r.index, command)
	r.view.Store(r.machine.View())
}

// testEntry is the end of an entry of a link to a replica.
type testEntry struct {
	conn      *link.Conn
	revisions chan wire.Revision
	targets   chan enrol.Update
}

func dialReplica(t *testing.T, r *testReplica, name string) *testEntry {
	t.Helper()
	e := &testEntry{revisions: make(chan wire.Revision, 100), targets: make(chan enrol.Update, 100)}
	dialer := link.NewDialer(
		link.WithHello(func() wire.Hello {
			return wire.Hello{Fleet: "f", Instance: name, Role: wire.RoleEntry, Region: "salish", DataCentre: "salish-1", Start: testStart}
		}),
		link.WithHandler(func(_ *link.Conn, m wire.Message) (any, error) {
			switch m.Kind {
			case wire.KindRevision:
				return wire.Deliver(m, func(w wire.Revision) { e.revisions <- w })
			case wire.KindTargets:
				return wire.Deliver(m, func(u enrol.Update) { e.targets <- u })
			}
			return nil, nil
		}))
	c, err := dialer.Dial(t.Context(), r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close("test over") })
	e.conn = c
	return e
}

// next returns the next revision that the entry is sent, or fails the test.
func (e *testEntry) next(t *testing.T) wire.Revision {
	t.Helper()
	select {
	case r := <-e.revisions:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("no revision was sent to the entry")
	}
	return wire.Revision{}
}

func (e *testEntry) pull(t *testing.T, p wire.Pull) wire.Revision {
	t.Helper()
	var out wire.Revision
	if err := e.conn.Call(t.Context(), wire.KindPull, p, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against a revision that no entry is sent because another entry pulled it, or
// linked, between its commit and the push.
func TestRevisionIsPushedAfterAnotherEntryHasIt(t *testing.T) {
	for name, before := range map[string]func(t *testing.T, r *testReplica){
		"pulled": func(t *testing.T, r *testReplica) { dialReplica(t, r, "entry-2").pull(t, wire.Pull{}) },
		"linked": func(t *testing.T, r *testReplica) { dialReplica(t, r, "entry-2").next(t) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := startReplica(t)
			r.commit("first")
			e := dialReplica(t, r, "entry-1")
			is.Equal(e.next(t).Number, uint64(1))
			is.NoErr(e.conn.Send(wire.KindFollow, wire.Follow{Primary: true}))
			e.pull(t, wire.Pull{})
			r.commit("second")
			before(t, r)
			r.fleet.ViewChanged()
			pushed := e.next(t)
			is.Equal(pushed.Number, uint64(2))
			is.True(pushed.HasData)
			text, err := delta.Apply(1, []byte("first"), pushed)
			is.NoErr(err)
			is.Equal(string(text), "second")
		})
	}
}

// Guards against an entry that stays on an old revision because the one message that
// announced the next one was lost.
func TestLaggingEntryIsReminded(t *testing.T) {
	is := is.New(t)
	r := startReplica(t)
	r.commit("first")
	e := dialReplica(t, r, "entry-1")
	is.Equal(e.next(t).Number, uint64(1))
	is.NoErr(e.conn.Send(wire.KindReport, wire.Report{Instance: "entry-1", Start: testStart, Number: 1, State: wire.StateReady}))
	r.commit("second")
	r.fleet.ViewChanged()
	is.Equal(e.next(t).Number, uint64(2))
	is.Equal(e.next(t).Number, uint64(2))
}

// Guards against an entry that does not learn that its primary lags, because the last
// change of the targets came before it linked to another replica.
func TestNewLinkLearnsTheIndexOfTheTargets(t *testing.T) {
	is := is.New(t)
	r := startReplica(t)
	r.apply(state.Command{Time: testStart, Announce: &enrol.Announcement{
		Name: "t-1", Service: "s0", Address: netip.MustParseAddrPort("10.0.0.1:80"), Region: "salish", DataCentre: "salish-1",
		Slots: 6, Start: testStart, Seq: 1, State: enrol.Ready,
	}})
	r.fleet.ViewChanged()
	first := dialReplica(t, r, "entry-1")
	is.NoErr(first.conn.Send(wire.KindFollow, wire.Follow{}))
	for range 2 { // before and after the digest that follows each change
		e := dialReplica(t, r, "entry-2")
		is.NoErr(e.conn.Send(wire.KindFollow, wire.Follow{}))
		select {
		case u := <-e.targets:
			is.Equal(u.Index, r.index)
			is.Equal(len(u.Rows), 0)
		case <-time.After(10 * time.Second):
			t.Fatal("no digest of the targets was sent")
		}
	}
}

// Guards against keys of workspaces that reach entries, and their disks.
func TestEntriesGetDigestsOfKeys(t *testing.T) {
	is := is.New(t)
	r := startReplica(t)
	r.commit(`keys = ["plain:secret"]`)
	e := dialReplica(t, r, "entry-1")
	var got wire.Revision
	is.NoErr(e.conn.Call(t.Context(), wire.KindPull, wire.Pull{}, &got))
	text, err := delta.Apply(0, nil, got)
	is.NoErr(err)
	is.Equal(string(text), `keys = ["sha256:`+spec.DigestKey("secret").String()+`"]`)
}
