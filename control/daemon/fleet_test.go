package daemon_test

import (
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

// Guards against a status that lists only the entries linked to the replica that
// answers.
func TestReportsReachEveryReplica(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	group := startGroup(t, 3)
	group[0].submitUntilAnswered(0, "first", serviceText(1))
	e := dialEntry(t, group[0])
	is.NoErr(e.conn.Send(wire.KindReport, wire.Report{Instance: "entry-1", Number: 1, State: "ready", Inflight: 7}))
	for _, r := range group {
		for shown := false; !shown; {
			_, doc := r.request(http.MethodGet, "/v1/status", nil)
			instances, _ := doc["instances"].([]any)
			for _, i := range instances {
				instance := i.(map[string]any)
				shown = shown || instance["name"] == "entry-1" && instance["revision"] == 1.0 && instance["inflight"] == 7.0
			}
		}
	}
}

// Guards against evidence that does not reach the leader, and against ejection
// decisions that do not reach entries linked to other replicas.
func TestDecisionsReachEntries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	target := netip.MustParseAddrPort("10.0.0.7:80")
	var seen atomic.Bool
	group := startGroupWith(t, 3, nil, func(r *replica) {
		r.daemon.Hooks.Evidence = func(time.Time, wire.Evidence) { seen.Store(true) }
		r.daemon.Hooks.Decide = func(_ time.Time, leader bool, v *state.View) []state.Command {
			if !leader || !seen.Load() || len(v.Leases) > 0 {
				return nil
			}
			return []state.Command{{Grant: &state.Grant{Service: "ledger", Targets: []state.Target{{Address: target}}, Lease: 10 * time.Second}}}
		}
	})
	group[0].submitUntilAnswered(0, "first", serviceText(1))
	follower := group[(awaitLeader(group)+1)%3]
	e := dialEntry(t, follower)
	// Evidence may be lost during a change of the leader; entries send it repeatedly.
	resend := time.NewTicker(100 * time.Millisecond)
	defer resend.Stop()
	for {
		select {
		case <-resend.C:
			is.NoErr(e.conn.Send(wire.KindEvidence, wire.Evidence{Instance: "entry-1"}))
		case o := <-e.orders:
			if len(o.Grants) == 0 {
				continue
			}
			is.Equal(o.Grants[0].Target, target)
			is.True(o.Grants[0].Remaining > 5*time.Second && o.Grants[0].Remaining <= 10*time.Second)
			return
		}
	}
}

// Guards against entries with an overlay, which do not follow a replica, that learn
// no limits of targets from others.
func TestLimitsReachEntriesWithOverlay(t *testing.T) {
	group := startGroup(t, 3)
	first, second := dialEntry(t, group[0]), dialEntry(t, group[2])
	list := wire.List[wire.Limit]{List: []wire.Limit{{
		Service: "ledger", Target: netip.MustParseAddrPort("10.0.0.1:80"), Start: 1, Limited: true, Rate: 2.5,
	}}}
	waitUntil(t, "the limit reaches the entry of another replica", func() bool {
		if err := first.conn.Send(wire.KindLimits, list); err != nil {
			t.Fatal(err)
		}
		select {
		case got := <-second.limits:
			return got.List[0].Rate == 2.5
		case <-time.After(50 * time.Millisecond): // the replicas may not be linked yet
			return false
		}
	})
	if got := <-dialEntry(t, group[1]).limits; got.List[0].Rate != 2.5 {
		t.Fatalf("an entry that links later gets %v", got)
	}
}
