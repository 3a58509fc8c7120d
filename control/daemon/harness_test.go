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

// client keeps no idle connections, whose goroutines goleak would report.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// replica is a control replica that runs in the test process.
type replica struct {
	t        testing.TB
	settings daemon.Settings
	daemon   *daemon.Daemon
	scheme   string
	client   *http.Client
	cancel   context.CancelFunc
	result   chan error
}

// fleetName returns a fleet name for the test. It keeps groups of different tests
// apart, since a port that one test releases may be bound by another.
func fleetName(t testing.TB) string { return "test-" + t.Name() }

func settings(t testing.TB, id int, replicas map[uint64]netip.AddrPort) daemon.Settings {
	return daemon.Settings{
		Instance: fmt.Sprint("control-", id), Fleet: fleetName(t), Region: "salish", DataCentre: "salish-1",
		Replica: id, Peer: loopback, Admin: loopback, Replicas: replicas, Found: true,
		Data: filepath.Join(t.TempDir(), "data"), Level: "error", Grace: 2 * time.Second, Log: io.Discard,
	}
}

// startGroup starts replicas that found a group. All addresses are bound before the
// first replica runs.
func startGroup(t testing.TB, size int) []*replica {
	t.Helper()
	return startGroupWith(t, size, nil, nil)
}

// startGroupWith is startGroup with a function that is called for each replica
// before the addresses are bound and one that is called after. Both may be nil.
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

// bind creates the daemon and stores the bound addresses for a restart.
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
	r.cancel, r.result = cancel, make(chan error, 1)
	d, ended := r.daemon, r.result
	go func() { ended <- d.Run(ctx) }()
}

func (r *replica) stop() {
	r.t.Helper()
	if r.cancel == nil {
		return
	}
	r.cancel()
	r.cancel = nil
	if err := <-r.result; err != nil {
		r.t.Errorf("replica %d: %v", r.settings.Replica, err)
	}
}

func (r *replica) restart() {
	r.t.Helper()
	r.restartWith(false)
}

func (r *replica) restartWith(found bool) {
	r.t.Helper()
	r.settings.Found = found
	r.settings.Replicas = maps.Clone(r.settings.Replicas)
	r.bind()
	r.run()
}

// request sends a request to the administration interface and returns the status
// and the JSON document.
func (r *replica) request(method, path string, body any) (int, map[string]any) {
	r.t.Helper()
	return r.requestWithin(time.Minute, method, path, body)
}

func (r *replica) requestWithin(wait time.Duration, method, path string, body any) (int, map[string]any) {
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
	return r.request(http.MethodPost, "/v1/submit", map[string]any{"base": base, "change": change, "text": text})
}

// submitUntilAnswered submits a change until a leader accepts or refuses it.
// Sending it again is harmless.
func (r *replica) submitUntilAnswered(base uint64, change, text string) map[string]any {
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

// entry is the client end of a link from an entry to a replica.
type entry struct {
	conn      *link.Conn
	revisions chan wire.Revision
	orders    chan wire.Orders
	updates   chan enrol.Update
	limits    chan wire.List[wire.Limit]
	crashes   chan wire.List[wire.Crash]
}

// dialFollower links an entry that receives its targets from the replica.
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
		revisions: make(chan wire.Revision, 100), orders: make(chan wire.Orders, 100), updates: make(chan enrol.Update, 100), limits: make(chan wire.List[wire.Limit], 100), crashes: make(chan wire.List[wire.Crash], 100),
	}
	dialer := link.NewDialer(
		link.WithHello(func() wire.Hello {
			return wire.Hello{Fleet: fleetName(t), Instance: "entry-1", Role: wire.RoleEntry, Region: "salish", DataCentre: "salish-2"}
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
			case wire.KindLimits:
				var in wire.List[wire.Limit]
				if err := wire.Decode(m.Body, &in); err != nil {
					return nil, err
				}
				e.limits <- in
			case wire.KindCrashes:
				var in wire.List[wire.Crash]
				if err := wire.Decode(m.Body, &in); err != nil {
					return nil, err
				}
				e.crashes <- in
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
