package daemon_test

import (
	"context"
	"flag"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/mutate"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

var (
	mutateSeed   = flag.Uint64("mutate.seed", 1, "seed of the changed messages")
	mutateRounds = flag.Int("mutate.rounds", 20, "changed messages of each kind")
)

// lockedBuffer is a log that can be read while it is written.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

var mutateTarget = netip.MustParseAddrPort("10.0.0.1:80")

// messagesOfEntries returns valid bodies of the messages that entries send.
func messagesOfEntries(start time.Time) map[wire.Kind][]any {
	answer := &wire.Answer{Status: 200, Header: map[string][]string{"Content-Type": {"text/plain"}}, Body: []byte("ok"), Stored: true}
	claim := wire.Claim{Service: "s0", Key: "k", Fingerprint: 7, Owner: "entry-1", Incarnation: start, Attempt: 1, Expires: time.Minute}
	return map[wire.Kind][]any{
		wire.KindReport: {wire.Report{Instance: "entry-1", Start: start, Number: 1, State: wire.StateReady, Inflight: 2, Confirmed: time.Second}},
		wire.KindEvidence: {wire.Evidence{Instance: "entry-1", Region: "salish", DataCentre: "salish-2", Targets: []wire.TargetEvidence{
			{Service: "s0", Target: mutateTarget, Start: start, Score: 2, Good: 3, Slow: 1, Failed: 1},
		}}},
		wire.KindTokens:  {tokenRequest()},
		wire.KindClaim:   {claim},
		wire.KindClose:   {wire.Close{Service: "s0", Key: "k", Owner: "entry-1", Incarnation: start, Attempt: 1, Outcome: wire.OutcomeDone, Answer: answer}},
		wire.KindPull:    {wire.Pull{Have: 1, Checksum: 7}},
		wire.KindFollow:  {wire.Follow{Primary: true, Have: 1}},
		wire.KindTargets: {wire.Follow{Have: 1}},
		wire.KindSuspects: {wire.Suspects{Region: "salish", List: []wire.Suspect{
			{Service: "s0", Target: mutateTarget, Start: start.UnixMilli(), Observation: 1, Age: time.Second},
		}}},
		wire.KindLimits: {wire.List[wire.Limit]{List: []wire.Limit{
			{Service: "s0", Target: mutateTarget, Start: start.UnixMilli(), Limited: true, Rate: 3, Age: time.Second},
		}}},
		wire.KindDemands: {wire.List[wire.Demand]{List: []wire.Demand{{Service: "s0", Entry: 7, Region: "salish", Rate: 3, Age: time.Second}}}},
		wire.KindCrashes: {wire.List[wire.Crash]{List: []wire.Crash{{Print: [16]byte{1}, Target: mutateTarget, Start: start.UnixMilli(), Age: time.Second}}}},
	}
}

// commands returns valid commands of the replicated state.
func commands(start time.Time) []any {
	return []any{
		state.Command{Time: start, Announce: &enrol.Announcement{
			Name: "t-1", Service: "s0", Address: mutateTarget, Region: "salish", DataCentre: "salish-1", Slots: 6,
			Start: start, Seq: 1, State: enrol.Ready, Cold: time.Second,
		}},
		state.Command{Time: start, Silence: &state.Silence{Targets: []enrol.Incarnation{{Name: "t-1", Start: start}}}},
		state.Command{Time: start, Drain: &state.Drain{Name: "entry-9", On: true}},
		state.Command{Time: start, Grant: &state.Grant{Service: "s0", Set: 0, Targets: []state.Target{{Address: mutateTarget}}, Lease: time.Second}},
		state.Command{Time: start, Withdraw: &state.Withdraw{Service: "s0", Targets: []netip.AddrPort{mutateTarget}}},
		state.Command{Time: start, Submit: &state.Submit{Base: 0, Change: "c", Text: []byte("[[service]]\n")}},
		state.Command{Time: start, Claim: &wire.Claim{Service: "s0", Key: "q", Owner: "entry-1", Incarnation: start, Attempt: 1, Expires: time.Minute}},
	}
}

// dialAs opens a link to the replica that ignores what it receives.
func dialAs(t *testing.T, r *replica, role wire.Role, replica uint64) *link.Conn {
	c, err := link.NewDialer(
		link.WithHello(func() wire.Hello {
			return wire.Hello{
				Fleet: fleetName(t), Instance: "entry-1", Role: role, Replica: replica,
				Region: "salish", DataCentre: "salish-2", PeerAddress: netip.MustParseAddrPort("127.0.0.1:9"),
			}
		}),
		link.WithHandler(func(*link.Conn, wire.Message) (any, error) { return nil, nil })).Dial(t.Context(), r.settings.Peer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close("test over") })
	return c
}

// Guards against a message with unexpected values that ends a replica or blocks it,
// and against a command that does so on all replicas.
func TestUnexpectedMessages(t *testing.T) {
	is := is.New(t)
	t.Logf("seed %d", *mutateSeed)
	log := &lockedBuffer{}
	r := startGroupWith(t, 1, func(r *replica) { r.settings.Log = io.Writer(log) }, nil)[0]
	is.Equal(r.submitUntilAnswered(0, "first", serviceText(1)+limitedWorkspace)["revision"], 1.0)
	start, m := time.Now(), mutate.New(*mutateSeed)
	entry, peer := dialAs(t, r, wire.RoleEntry, 0), dialAs(t, r, wire.RoleControl, 2)
	accepted := 0
	send := func(c *link.Conn, kind wire.Kind, body any) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if c.Call(ctx, kind, body, nil) == nil {
			accepted++
		}
	}
	changed := func(valid any) mutate.Raw {
		data, err := wire.Encode(valid)
		is.NoErr(err)
		body, err := m.Body(data)
		is.NoErr(err)
		return body
	}
	messages := messagesOfEntries(start)
	heard := wire.Heard{Targets: []wire.HeardTarget{{Name: "t-1", Start: start.UnixMilli(), Seq: 3}}}
	for range *mutateRounds {
		for _, kind := range slices.Sorted(maps.Keys(messages)) {
			for _, valid := range messages[kind] {
				send(entry, kind, changed(valid))
			}
		}
		send(peer, wire.KindHeard, changed(heard))
		send(peer, wire.KindTokenBatch, changed(wire.TokenBatch{Replica: tokenRequest(), Office: 1, List: []wire.TokenRequest{tokenRequest()}}))
		for _, valid := range commands(start) {
			send(peer, wire.KindPropose, wire.Propose{Command: changed(valid)})
		}
	}
	t.Logf("%d accepted", accepted)
	is.True(accepted > *mutateRounds)
	is.True(!strings.Contains(log.String(), "panicked"))
	status, _ := r.request(http.MethodGet, "/v1/status", nil)
	is.Equal(status, http.StatusOK)
}
