package admin_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/galenalock/galenalock/control/admin"
	"github.com/galenalock/galenalock/control/fleet"
	"github.com/galenalock/galenalock/control/relay"
	"github.com/galenalock/galenalock/core/auth"
	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

// fixture backs the administration API with a state machine without a
// replicated log. Its clock advances by a second with each command.
type fixture struct {
	machine    *state.Machine
	now        time.Time
	index      uint64
	replicaErr error         // returned by all operations of the replica unless nil
	reportAge  time.Duration // not zero: the instance is linked to another replica, which relayed its report
}

func (f *fixture) propose(_ context.Context, c state.Command) (state.Result, error) {
	var result state.Result
	if f.replicaErr != nil {
		return result, f.replicaErr
	}
	f.now = f.now.Add(time.Second)
	f.index++
	c.Time = f.now
	data, err := wire.Encode(c)
	if err != nil {
		return result, err
	}
	if err := wire.Decode(f.machine.Apply(f.index, data), &result); err != nil {
		return result, err
	}
	if result.Fault != "" {
		return result, &relay.MalformedError{Reason: result.Fault}
	}
	return result, nil
}

func (f *fixture) newHandler(t *testing.T) http.Handler {
	t.Helper()
	log, err := logs.New(io.Discard, "error", nil)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "tokens.toml")
	tokens := fmt.Sprintf("[[token]]\nname = 'a'\nrole = 'read'\nsha256 = '%s'\n[[token]]\nname = 'b'\nrole = 'operate'\nsha256 = '%s'\n",
		auth.Digest("reader"), auth.Digest("operator"))
	if err := os.WriteFile(file, []byte(tokens), 0o600); err != nil {
		t.Fatal(err)
	}
	authenticator, err := auth.New(file)
	if err != nil {
		t.Fatal(err)
	}
	leader := netip.MustParseAddrPort("10.0.0.1:7001")
	notLeader := func() error { return &group.NotLeaderError{Leader: 1} }
	return admin.New(admin.Dependencies{
		Propose: f.propose,
		CatchUp: func(context.Context) error { return f.replicaErr },
		View:    f.machine.View,
		Status: func() group.Status {
			return group.Status{ID: 2, Leader: 1, Term: 3, Commit: f.index, Applied: f.index, Role: raft.RoleFollower,
				Members: raft.Members{{ID: 1, Addr: leader}, {ID: 2, Addr: netip.MustParseAddrPort("10.0.1.1:7001")}}}
		},
		Instances: func() []fleet.Instance {
			lastSeen := cmp.Or(f.reportAge, 500*time.Millisecond)
			return []fleet.Instance{{
				Name: "entry-1", Role: wire.RoleEntry, Region: "salish", DataCentre: "salish-1", Peer: netip.MustParseAddrPort("10.0.0.9:7001"),
				Revision: 1, State: "ready", Inflight: 3, ConfirmationAge: 2 * time.Second, LastSeen: f.now.Add(-lastSeen), Linked: f.reportAge == 0,
			}}
		},
		Targets:       func() []admin.Target { return admin.LeasedTargets(f.machine.View(), f.now) },
		AddReplica:    func(context.Context, uint64, netip.AddrPort) error { return notLeader() },
		RemoveReplica: func(context.Context, uint64) error { return notLeader() },
		Snapshot:      f.machine.Snapshot,
		Stopping:      func() bool { return false },
		Clock:         func() time.Time { return f.now },
		Auth:          authenticator,
		Log:           log,
	})
}

// Guards against an entry that counts as unreachable although its reports arrive
// as often as entries send them and replicas relay them, and against one that
// counts as reachable for good.
func TestReachableByRelayedReports(t *testing.T) {
	is := is.New(t)
	f := &fixture{machine: state.New(), now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
	for age, want := range map[time.Duration]bool{
		wire.ReportInterval + fleet.ReportRelayInterval:       true,
		2 * (wire.ReportInterval + fleet.ReportRelayInterval): false,
	} {
		f.reportAge = age
		r := httptest.NewRequest(http.MethodGet, "/v1/status", nil)
		r.Header.Set("Authorization", "Bearer reader")
		w := httptest.NewRecorder()
		f.newHandler(t).ServeHTTP(w, r)
		var doc admin.Status
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &doc))
		is.Equal(doc.Instances[0].Reachable, want)
	}
}

// Guards against changes to responses that client programs parse. A session
// file holds requests separated by blank lines: a line with the token, method
// and path, then the body. The line "fault unknown", "fault noquorum" or "fault
// none" sets the error that the replica returns from then on.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.session")
	if err != nil || len(files) == 0 {
		t.Fatal("no sessions", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".session")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			f := &fixture{machine: state.New(), now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
			goldie.New(t).Assert(t, name, runSession(t, f, string(data)))
		})
	}
}

func runSession(t *testing.T, f *fixture, session string) []byte {
	errs := map[string]error{"unknown": &relay.UnknownError{Reason: "leadership lost"}, "noquorum": &relay.NoQuorumError{Reason: "no leader"}}
	handler := f.newHandler(t)
	var out bytes.Buffer
	for i, block := range strings.Split(strings.TrimSpace(session), "\n\n") {
		requestLine, body, _ := strings.Cut(block, "\n")
		fmt.Fprintf(&out, "> %s\n", strings.ReplaceAll(block, "\n", "\n> "))
		if errName, ok := strings.CutPrefix(requestLine, "fault "); ok {
			f.replicaErr = errs[errName]
			continue
		}
		fields := strings.Fields(requestLine)
		r := httptest.NewRequest(fields[1], fields[2], strings.NewReader(body))
		r.Header.Set("X-Request-Id", fmt.Sprint("request-", i))
		if fields[0] != "none" {
			r.Header.Set("Authorization", "Bearer "+fields[0])
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		fmt.Fprintf(&out, "%d %s\n%s\n", w.Code, w.Header().Get("Content-Type"), w.Body)
	}
	return out.Bytes()
}

// Guards against routes that docs/API.md does not document.
func TestPageNamesEveryPath(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/API.md")
	is.NoErr(err)
	f := &fixture{machine: state.New()}
	routes, ok := f.newHandler(t).(chi.Routes)
	is.True(ok)
	is.NoErr(chi.Walk(routes, func(method, route string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		if !bytes.Contains(page, []byte("`"+method+" "+route+"`")) {
			return fmt.Errorf("%s %s is missing in docs/API.md", method, route)
		}
		return nil
	}))
}
