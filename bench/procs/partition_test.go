package procs_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"

	"github.com/galenalock/galenalock/bench/procs"
)

// revisionInForce returns the revision that an entry uses.
func (f *fleet) revisionInForce(entry int) uint64 {
	var s struct{ Revision uint64 }
	f.readJSON(f.entries[entry].Address("admin"), "/v1/status", &s)
	return s.Revision
}

// addEntry starts another entry with one control address and returns its index.
func (f *fleet) addEntry(name string, control netip.AddrPort, peers ...netip.AddrPort) int {
	f.Helper()
	p, err := f.StartEntryAt(name, f.place, []netip.AddrPort{control}, peers...)
	f.noError(err)
	f.entries = append(f.entries, p)
	f.killAtEnd(p)
	return len(f.entries) - 1
}

// Guards against an entry that misses a change, or stops serving, because its
// connection to control works in one direction only. The change must reach it
// through its peers.
func TestOneWayCutToControl(t *testing.T) {
	for name, cut := range map[string][2]bool{
		"control receives nothing": {true, false},
		"entry receives nothing":   {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, fleetSize{replicas: 1, entries: 2, targets: 1})
			relay, err := procs.NewRelay(f.replicas[1])
			f.noError(err)
			t.Cleanup(relay.Close)
			behind := f.addEntry("entry-behind", relay.Address(), f.entries[0].Address("peer"))
			f.waitUntil("entry serves", func() bool { return f.lookupStatus(behind) == http.StatusOK })
			relay.SetDrop(cut[0], cut[1])
			for n := uint64(2); n <= 4; n++ {
				f.submit(n-1, fmt.Sprint("change-", n), fmt.Sprint(serviceText, "# ", n, "\n"), float64(n))
				f.waitUntil("change in force", func() bool { return f.revisionInForce(behind) == n })
				if status := f.lookupStatus(behind); status != http.StatusOK {
					t.Fatalf("lookup during the cut: status %d", status)
				}
			}
		})
	}
}

// Guards against an entry that restarts while control is down and then does not
// serve, or serves the older revision in its local copy instead of the one that
// its peers have.
func TestEntryRestartsWithoutControl(t *testing.T) {
	f := startFleet(t, fleetSize{replicas: 1, entries: 2, targets: 1})
	f.noError(f.entries[1].Stop())
	f.submit(1, "second", serviceText+"# second\n", 2)
	f.waitUntil("change in force", func() bool { return f.revisionInForce(0) == 2 })
	f.control[1].Kill()
	p, err := f.StartEntry("entry-2", f.place, f.entries[0].Address("peer")) // its local copy has revision 1
	f.noError(err)
	f.killAtEnd(p)
	f.entries[1] = p
	f.waitUntil("restarted entry serves", func() bool { return f.lookupStatus(1) == http.StatusOK })
	if n := f.revisionInForce(1); n != 2 {
		t.Errorf("restarted entry serves revision %d, want 2", n)
	}
}
