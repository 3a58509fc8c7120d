package admin_test

import (
	"bytes"
	"context"
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

// stage is an administration interface on a state machine without a log. Its
// clock moves by a second with each command.
type stage struct {
	machine *state.Machine
	now     time.Time
	index   uint64
	fault   error // of the replica, nil: it works
}

func (s *stage) propose(_ context.Context, c state.Command) (state.Result, error) {
	var result state.Result
	if s.fault != nil {
		return result, s.fault
	}
	s.now = s.now.Add(time.Second)
	s.index++
	c.Time = s.now
	data, err := wire.Encode(c)
	if err != nil {
		return result, err
	}
	if err := wire.Decode(s.machine.Apply(s.index, data), &result); err != nil {
		return result, err
	}
	if result.Fault != "" {
		return result, &relay.MalformedError{Reason: result.Fault}
	}
	return result, nil
}

func (s *stage) handler(t *testing.T) http.Handler {
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
	checked, err := auth.New(file)
	if err != nil {
		t.Fatal(err)
	}
	one := netip.MustParseAddrPort("10.0.0.1:7001")
	elsewhere := func() error { return &group.NotLeaderError{Leader: 1} }
	return admin.New(admin.Seams{
		Propose: s.propose,
		Fresh:   func(context.Context) error { return s.fault },
		View:    s.machine.View,
		Status: func() group.Status {
			return group.Status{ID: 2, Leader: 1, Term: 3, Commit: s.index, Applied: s.index, Role: raft.RoleFollower,
				Members: raft.Members{{ID: 1, Addr: one}, {ID: 2, Addr: netip.MustParseAddrPort("10.0.1.1:7001")}}}
		},
		Instances: func() []fleet.Instance {
			return []fleet.Instance{{
				Name: "entry-1", Role: wire.RoleEntry, Region: "salish", DataCentre: "salish-1", Peer: netip.MustParseAddrPort("10.0.0.9:7001"),
				Revision: 1, State: "ready", Inflight: 3, ConfirmationAge: 2 * time.Second, LastSeen: s.now.Add(-500 * time.Millisecond), Linked: true,
			}}
		},
		Targets:  func() []admin.Target { return admin.TargetsOf(s.machine.View(), s.now) },
		Add:      func(context.Context, uint64, netip.AddrPort) error { return elsewhere() },
		Remove:   func(context.Context, uint64) error { return elsewhere() },
		Snapshot: s.machine.Snapshot,
		Stopping: func() bool { return false },
		Clock:    func() time.Time { return s.now },
		Auth:     checked,
		Log:      log,
	})
}

// Guards against answers that change for the programs that read them. A
// session is a file of requests: a line with the token, method and path, and
// lines of the body. The line "fault unknown", "fault noquorum" or "fault none"
// sets how the replica works.
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
			s := &stage{machine: state.New(), now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
			goldie.New(t).Assert(t, name, play(t, s, string(data)))
		})
	}
}

func play(t *testing.T, s *stage, session string) []byte {
	faults := map[string]error{"unknown": &relay.UnknownError{Reason: "leadership lost"}, "noquorum": &relay.NoQuorumError{Reason: "no leader"}}
	handler := s.handler(t)
	var out bytes.Buffer
	for i, block := range strings.Split(strings.TrimSpace(session), "\n\n") {
		first, body, _ := strings.Cut(block, "\n")
		fmt.Fprintf(&out, "> %s\n", strings.ReplaceAll(block, "\n", "\n> "))
		if fault, ok := strings.CutPrefix(first, "fault "); ok {
			s.fault = faults[fault]
			continue
		}
		words := strings.Fields(first)
		r := httptest.NewRequest(words[1], words[2], strings.NewReader(body))
		r.Header.Set("X-Request-Id", fmt.Sprint("request-", i))
		if words[0] != "none" {
			r.Header.Set("Authorization", "Bearer "+words[0])
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		fmt.Fprintf(&out, "%d %s\n%s\n", w.Code, w.Header().Get("Content-Type"), w.Body)
	}
	return out.Bytes()
}

// Guards against paths that docs/API.md does not describe.
func TestPageNamesEveryPath(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/API.md")
	is.NoErr(err)
	s := &stage{machine: state.New()}
	routes, ok := s.handler(t).(chi.Routes)
	is.True(ok)
	is.NoErr(chi.Walk(routes, func(method, route string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		if !bytes.Contains(page, []byte("`"+method+" "+route+"`")) {
			return fmt.Errorf("%s %s is missing in docs/API.md", method, route)
		}
		return nil
	}))
}
