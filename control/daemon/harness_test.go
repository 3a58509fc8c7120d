package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/galenalock/galenalock/control/admin"
	"github.com/galenalock/galenalock/control/daemon"
	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/wire"
)

// client keeps no connections, whose goroutines would look like leaks.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// replica is a control replica in this process.
type replica struct {
	t        testing.TB
	settings daemon.Settings
	daemon   *daemon.Daemon
	scheme   string
	client   *http.Client
	cancel   context.CancelFunc
	ended    chan error
}

// fleetOf keeps the groups of different tests apart: a port that one of them
// gives up may be taken by another one.
func fleetOf(t testing.TB) string { return "test-" + t.Name() }

func settings(t testing.TB, id int, replicas map[uint64]netip.AddrPort) daemon.Settings {
	return daemon.Settings{
		Instance: fmt.Sprint("control-", id), Fleet: fleetOf(t), Region: "salish", DataCentre: "salish-1",
		Replica: id, Peer: loopback, Admin: loopback, Replicas: replicas, Found: true,
		Data: filepath.Join(t.TempDir(), "data"), Level: "error", Grace: 2 * time.Second, Log: io.Discard,
	}
}

// startGroup starts replicas that found a group. All addresses are bound
// before the first replica runs.
func startGroup(t testing.TB, size int) []*replica {
	t.Helper()
	return startGroupWith(t, size, nil, nil)
}

// startGroupWith calls configure before and prepare after the addresses are
// bound; both may be nil.
func startGroupWith(t testing.TB, size int, configure, prepare func(*replica)) []*replica {
	t.Helper()
	addresses := map[uint64]netip.AddrPort{}
	for id := range size {
		addresses[uint64(id+1)] = loopback
	}
	var out []*replica
	for id := range size {
		r := &replica{t: t, settings: settings(t, id+1, addresses), scheme: "http", client: client}
		if configure != nil {
			configure(r)
		}
		r.bind()
		out = append(out, r)
	}
	for _, r := range out {
		addresses[uint64(r.settings.Replica)] = r.settings.Peer
	}
	for _, r := range out {
		if prepare != nil {
			prepare(r)
		}
		r.run()
	}
	t.Cleanup(func() {
		for _, r := range out {
			r.stop()
		}
	})
	return out
}

// bind binds the addresses and keeps them for a restart.
func (r *replica) bind() {
	r.t.Helper()
	d, err := daemon.New(r.settings)
	if err != nil {
		r.t.Fatal(err)
	}
	r.daemon = d
	r.settings.Peer, r.settings.Admin = d.Peer(), d.Admin()
}

func (r *replica) run() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel, r.ended = cancel, make(chan error, 1)
	d, ended := r.daemon, r.ended
	go func() { ended <- d.Run(ctx) }()
}

func (r *replica) stop() {
	r.t.Helper()
	if r.cancel == nil {
		return
	}
	r.cancel()
	r.cancel = nil
	if err := <-r.ended; err != nil {
		r.t.Errorf("replica %d: %v", r.settings.Replica, err)
	}
}

func (r *replica) restart() {
	r.t.Helper()
	r.restartAs(false)
}

func (r *replica) restartAs(found bool) {
	r.t.Helper()
	r.settings.Found = found
	r.settings.Replicas = maps.Clone(r.settings.Replicas)
	r.bind()
	r.run()
}

// ask sends a request and returns the status and the document.
func (r *replica) ask(method, path string, body any) (int, map[string]any) {
	r.t.Helper()
	return r.askWithin(time.Minute, method, path, body)
}

func (r *replica) askWithin(wait time.Duration, method, path string, body any) (int, map[string]any) {
	r.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		r.t.Fatal(err)
	}
	req, err := http.NewRequest(method, r.scheme+"://"+r.settings.Admin.String()+path, bytes.NewReader(data))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Header.Set(admin.DeadlineHeader, strconv.FormatInt(wait.Milliseconds(), 10))
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, map[string]any{"error": err.Error()}
	}
	defer resp.Body.Close()
	doc := map[string]any{}
	if err := json.NewDecoder(resp.Body).Decode(&doc); err != nil {
		return resp.StatusCode, map[string]any{"error": err.Error()}
	}
	return resp.StatusCode, doc
}

func (r *replica) submit(base uint64, change, text string) (int, map[string]any) {
	r.t.Helper()
	return r.ask(http.MethodPost, "/v1/submit", map[string]any{"base": base, "change": change, "text": text})
}

// settle submits until a leader has been elected. Resends are harmless.
func (r *replica) settle(base uint64, change, text string) map[string]any {
	r.t.Helper()
	for range 20 {
		status, doc := r.submit(base, change, text)
		if status == http.StatusOK || status == http.StatusConflict || status == http.StatusUnprocessableEntity {
			return doc
		}
	}
	r.t.Fatal("no answer to a submission")
	return nil
}

func serviceText(n int) string {
	return fmt.Sprintf("# change %d\n[[service]]\nname = \"ledger\"\nfloor = \"80%%\"\n", n)
}

// entry is the far side of a link from an entry.
type entry struct {
	conn      *link.Conn
	revisions chan wire.Revision
	orders    chan wire.Orders
	updates   chan enrol.Update
}

// dialFollower is an entry that takes its targets from the replica.
func dialFollower(t testing.TB, r *replica) *entry {
	t.Helper()
	e := dialEntry(t, r)
	if err := e.conn.Send(wire.KindFollow, wire.Follow{Primary: true}); err != nil {
		t.Fatal(err)
	}
	return e
}

func dialEntry(t testing.TB, r *replica) *entry {
	t.Helper()
	e := &entry{
		revisions: make(chan wire.Revision, 100), orders: make(chan wire.Orders, 100), updates: make(chan enrol.Update, 100),
	}
	dialer := link.NewDialer(
		link.WithHello(func() wire.Hello {
			return wire.Hello{Fleet: fleetOf(t), Instance: "entry-1", Role: wire.RoleEntry, Region: "salish", DataCentre: "salish-2"}
		}),
		link.WithHandler(func(_ *link.Conn, m wire.Message) (any, error) {
			switch m.Kind {
			case wire.KindRevision:
				var in wire.Revision
				if err := wire.Decode(m.Body, &in); err != nil {
					return nil, err
				}
				e.revisions <- in
			case wire.KindTargets:
				var in enrol.Update
				if err := wire.Decode(m.Body, &in); err != nil {
					return nil, err
				}
				e.updates <- in
			case wire.KindOrders:
				var in wire.Orders
				if err := wire.Decode(m.Body, &in); err != nil {
					return nil, err
				}
				e.orders <- in
			}
			return nil, nil
		}))
	c, err := dialer.Dial(t.Context(), r.settings.Peer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close("test over") })
	e.conn = c
	return e
}
