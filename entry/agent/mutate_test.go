package agent_test

import (
	"context"
	"flag"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/delta"
	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/mutate"
	"github.com/galenalock/galenalock/core/wire"
)

var (
	mutateSeed   = flag.Uint64("mutate.seed", 1, "seed of the changed messages")
	mutateRounds = flag.Int("mutate.rounds", 100, "changed messages of each kind")
)

// entryMessages returns a valid body for each kind of message that an entry handles.
func entryMessages(t *testing.T, control netip.AddrPort) map[wire.Kind][]any {
	whole, err := delta.Whole(2, serviceText(2))
	if err != nil {
		t.Fatal(err)
	}
	target, now := netip.MustParseAddrPort("10.0.0.1:80"), time.Now()
	row := enrol.Row{
		Name: "t-1", Service: "s0", Address: target, Region: "salish", DataCentre: "salish-1", Slots: 6,
		Start: targetStart.UnixMilli(), State: enrol.Ready, Index: 9,
	}
	renew := wire.Renew{
		Service: "s0", Address: target, Region: "salish", DataCentre: "salish-1", Slots: 6, Connections: 9,
		Start: now, Seq: 1, State: "ready", TTL: 5,
	}
	return map[wire.Kind][]any{
		wire.KindRevision: {whole, wire.Revision{Number: 3, Checksum: 7, Base: 1, Head: 4, Tail: 4, HasData: true, Data: whole.Data}},
		wire.KindPull:     {wire.Pull{Have: 1, Checksum: 7}},
		wire.KindRenew:    {renew},
		wire.KindReach:    {wire.Reach{Targets: []netip.AddrPort{target}}},
		wire.KindTargets:  {enrol.Update{Index: 9, Base: 8, Rows: []enrol.Row{row}}, enrol.Update{Index: 9, Rows: []enrol.Row{row}}},
		wire.KindReplicas: {wire.Replicas{List: []wire.Replica{{Address: control, Region: "salish", DataCentre: "salish-1"}, {Address: target, Region: "haida", DataCentre: "haida-1"}}}},
		wire.KindEntries:  {wire.Entries{Regions: map[string]int{"salish": 3}}},
		wire.KindSuspects: {wire.Suspects{Region: "salish", List: []wire.Suspect{
			{Service: "s0", Target: target, Start: targetStart.UnixMilli(), Observation: 1, Age: time.Second},
		}}},
		wire.KindLimits: {wire.List[wire.Limit]{List: []wire.Limit{
			{Service: "s0", Target: target, Start: targetStart.UnixMilli(), Limited: true, Rate: 3, Age: time.Second},
		}}},
		wire.KindDemands: {wire.List[wire.Demand]{List: []wire.Demand{{Service: "s0", Entry: 7, Region: "salish", Rate: 3, Age: time.Second}}}},
		wire.KindCrashes: {wire.List[wire.Crash]{List: []wire.Crash{
			{Print: [16]byte{1}, Target: target, Start: targetStart.UnixMilli(), Age: time.Second}, {Print: [16]byte{1}, Answered: true},
		}}},
		wire.KindOrders: {wire.Orders{
			Index: 1, Watch: []wire.Watched{{Service: "s0", Target: target}}, Drains: []string{"entry-9"},
			Grants: []wire.Grant{{Service: "s0", Target: target, Start: targetStart, Remaining: time.Second, Score: 3}},
		}},
	}
}

// call sends a message on any link of the registry and waits until it was handled.
func (r *fakeRegistry) call(kind wire.Kind, body any) (err error) {
	r.mu.Lock()
	links := make([]*link.Conn, 0, len(r.follows))
	for c := range r.follows {
		links = append(links, c)
	}
	r.mu.Unlock()
	for _, c := range links {
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		err = c.Call(ctx, kind, body, nil)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// Guards against a message with unexpected values that ends the process or blocks it.
func TestUnexpectedMessages(t *testing.T) {
	is := is.New(t)
	t.Logf("seed %d", *mutateSeed)
	near := startFakeRegistry(t, "near", "salish")
	near.announce(1, 1, enrol.Ready, false)
	a := startRegistryAgent(t, near.addr)
	waitUntil(t, "ready", func() bool { return a.View().Ready && len(picksByName(a)) == 1 })
	m := mutate.New(*mutateSeed)
	messages, accepted := entryMessages(t, near.addr), 0
	kinds := slices.Sorted(maps.Keys(messages))
	for range *mutateRounds {
		for _, kind := range kinds {
			for _, valid := range messages[kind] {
				data, err := wire.Encode(valid)
				is.NoErr(err)
				changed, err := m.Body(data)
				is.NoErr(err)
				err = near.call(kind, changed)
				if err == nil {
					accepted++
				} else if strings.Contains(err.Error(), "panicked") {
					t.Errorf("%s: %v, body %x", kind, err, changed)
				}
				picksByName(a)
				if kind == wire.KindReplicas {
					waitUntil(t, "the entry has the list again", func() bool { return near.call(kind, valid) == nil })
				}
			}
		}
	}
	t.Logf("%d accepted", accepted)
	is.True(accepted > *mutateRounds)
	waitUntil(t, "the control goroutine answers", func() bool { return near.call(wire.KindPull, wire.Pull{}) == nil })
	is.True(a.View().Ready)
}
