package roster_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/gossip/mesh"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/wire"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func announcement() wire.Renew {
	return wire.Renew{
		Service: "tables", Address: netip.MustParseAddrPort("10.0.0.1:80"), Region: "salish", DataCentre: "salish-1",
		Slots: 6, Connections: 400, Start: epoch, Seq: 1, State: "ready", TTL: 10,
	}
}

func Example() {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	registry := roster.New(roster.WithSelf("entry-1"))
	actions, err := registry.Announce(now, announcement())
	fmt.Println(len(actions), err)
	registry.Learn(now, actions[0].Record) // the gossip core reports this change
	for _, target := range registry.Snapshot().Targets("tables") {
		fmt.Println(target.Address, target.State, target.Age(now.Add(time.Minute)))
	}
	// Output:
	// 1 <nil>
	// 10.0.0.1:80 ready 1m0s
}

// Guards against an invalid announcement that is accepted and that other instances
// cannot store.
func TestAnnounceRefuses(t *testing.T) {
	for key, corrupt := range map[string]func(*wire.Renew){
		"service":     func(r *wire.Renew) { r.Service = "a|b" },
		"region":      func(r *wire.Renew) { r.Region = "" },
		"address":     func(r *wire.Renew) { r.Address = netip.AddrPort{} },
		"slots":       func(r *wire.Renew) { r.Slots = -1 },
		"connections": func(r *wire.Renew) { r.Connections = 1 << 30 },
		"start":       func(r *wire.Renew) { r.Start = time.Time{} },
		"ttl":         func(r *wire.Renew) { r.TTL = 61 },
		"state":       func(r *wire.Renew) { r.State = "gone" },
	} {
		t.Run(key, func(t *testing.T) {
			is := is.New(t)
			bad := announcement()
			corrupt(&bad)
			_, err := roster.New().Announce(epoch, bad)
			var refused *roster.AnnounceError
			is.True(errors.As(err, &refused))
			is.Equal(refused.Key, key)
		})
	}
}

// singleCopy is the reference model of the registry: a single copy without faults
// that holds the last announcement of each address.
type singleCopy map[netip.AddrPort]*mesh.Target

// expected returns the states that every node must list, and the addresses whose
// lease is ending, which may be listed or not.
func (c singleCopy) expected(now time.Time) (map[netip.AddrPort]string, map[netip.AddrPort]bool) {
	want, undecided := map[netip.AddrPort]string{}, map[netip.AddrPort]bool{}
	for address, t := range c {
		age := now.Sub(t.LastAnnounced)
		ttl := time.Duration(t.Renew.TTL * float64(time.Second))
		switch {
		case age < ttl:
			want[address] = t.Renew.State
		case age < ttl+4*time.Second: // scan interval, request to the other owner, flood
			undecided[address] = true
		}
	}
	return want, undecided
}

// Guards against a registry that differs from the reference model when nothing
// fails.
func TestMatchesSingleCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := mesh.New(rapid.Uint64().Draw(t, "seed"))
		for i := range rapid.IntRange(1, 6).Draw(t, "nodes") {
			m.Add("salish", fmt.Sprint("salish-", i%2))
		}
		m.Run(10 * time.Second)
		reference := singleCopy{}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			address := netip.MustParseAddrPort(fmt.Sprintf("10.128.0.%d:8080", rapid.IntRange(1, 5).Draw(t, "target")))
			target := reference[address]
			switch state := rapid.SampledFrom([]string{"start", "ready", "draining", "leaving", "end"}).Draw(t, "do"); {
			case len(reference) < 5 && target == nil:
				target = m.AddTarget("tables", "salish", fmt.Sprint("salish-", len(reference)%2), 3*time.Second, 10*time.Second)
				reference[target.Renew.Address] = target
			case target == nil:
			case state == "start":
				target.Restart()
			case state == "end":
				target.Crash()
			case target.Up && target.LeavingAnnounced.IsZero():
				target.SetState(gossip.State(state))
			}
			m.Run(time.Second + time.Duration(rapid.IntRange(0, 8000).Draw(t, "wait"))*time.Millisecond)
			compareWithReference(t, m, reference)
		}
	})
}

func compareWithReference(t *rapid.T, m *mesh.Mesh, reference singleCopy) {
	want, undecided := reference.expected(m.Now())
	for _, n := range m.Nodes() {
		got := map[netip.AddrPort]string{}
		for _, target := range n.Roster.Snapshot().Targets("tables") {
			if !undecided[target.Address] {
				got[target.Address] = string(target.State)
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("%s at %s knows %v, want %v", n.Name, m.Now().Format("15:04:05.000"), got, want)
		}
	}
}

// Guards against an instance that is cut off, declares all targets gone because
// their renewals reach only other instances, and publishes that when it
// reconnects.
func TestCutOffOwnerEndsNothing(t *testing.T) {
	is := is.New(t)
	m := mesh.New(1)
	for range 5 {
		m.Add("salish", "salish-1")
	}
	const targets = 20
	for range targets {
		m.AddTarget("tables", "salish", "salish-1", 3*time.Second, 10*time.Second)
	}
	m.Run(20 * time.Second)
	isolated := m.Nodes()[0]
	for _, other := range m.Nodes()[1:] {
		m.Cut(other, isolated) // it can still send, and targets still reach it
	}
	for range 180 {
		m.Run(time.Second)
		is.Equal(isolated.Roster.Snapshot().Len(), targets)
	}
	m.Heal()
	for range 60 {
		m.Run(time.Second)
		for _, n := range m.Nodes() {
			is.Equal(n.Roster.Snapshot().Len(), targets)
		}
	}
	is.Equal(isolated.Core.Root(), m.Nodes()[1].Core.Root())
}

// Guards against targets that are never removed because their owners crashed, and
// against snapshots that change after they were returned.
func TestOwnersMove(t *testing.T) {
	is := is.New(t)
	m := mesh.New(2)
	for range 8 {
		m.Add("salish", "salish-1")
	}
	target := m.AddTarget("tables", "salish", "salish-1", 3*time.Second, 10*time.Second)
	m.Run(20 * time.Second)
	snapshot := m.Nodes()[0].Roster.Snapshot()
	is.Equal(snapshot.Len(), 1)
	owners := m.Nodes()[0].Roster.Owners(snapshot.Targets("tables")[0])
	is.Equal(len(owners), 2)
	var survivor *mesh.Node
	for _, n := range m.Nodes() {
		if n.Name == owners[0] || n.Name == owners[1] {
			m.Crash(n)
		} else {
			survivor = n
		}
	}
	m.Run(30 * time.Second)
	is.Equal(survivor.Roster.Snapshot().Len(), 1) // renewals go to the new owners
	target.Crash()
	m.Run(30 * time.Second)
	is.Equal(survivor.Roster.Snapshot().Len(), 0)
	is.Equal(snapshot.Len(), 1)
}

// Guards against owners that differ between nodes, and against an uneven
// distribution of targets among nodes.
func TestOwnersAreSpread(t *testing.T) {
	is := is.New(t)
	m := mesh.New(3)
	for range 10 {
		m.Add("salish", "salish-1")
	}
	m.Run(20 * time.Second)
	rng := rand.New(rand.NewPCG(1, 1))
	load := map[string]int{}
	for range 1000 {
		t := roster.Target{Service: "tables", DataCentre: "salish-1", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(rng.IntN(256)), byte(rng.IntN(256))}), 80)}
		owners := m.Nodes()[0].Roster.Owners(t)
		is.Equal(m.Nodes()[9].Roster.Owners(t), owners)
		for _, o := range owners {
			load[o]++
		}
	}
	for _, n := range load {
		is.True(n > 120 && n < 280) // 200 on average, standard deviation 13
	}
}
