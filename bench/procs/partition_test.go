package procs_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"

	"github.com/galenalock/galenalock/bench/procs"
)

// revision returns the revision in force at an entry.
func (f *fleet) revision(entry int) uint64 {
	var s struct{ Revision uint64 }
	f.read(f.entries[entry].Address("admin"), "/v1/status", &s)
	return s.Revision
}

// addEntry starts a further entry whose only control address is given.
func (f *fleet) addEntry(name string, control netip.AddrPort, peers ...netip.AddrPort) int {
	f.Helper()
	p, err := f.EntryAt(name, f.at, []netip.AddrPort{control}, peers...)
	f.check(err)
	f.entries = append(f.entries, p)
	f.stopLater(p)
	return len(f.entries) - 1
}

// Guards against an entry that misses a change because its path to control
// works in one direction only: the change reaches it through its peers, and
// lookups go on.
func TestOneWayCutToControl(t *testing.T) {
	for name, cut := range map[string][2]bool{
		"control does not hear": {true, false},
		"entry does not hear":   {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, layout{replicas: 1, entries: 2, targets: 1})
			relay, err := procs.NewRelay(f.replicas[1])
			f.check(err)
			t.Cleanup(relay.Close)
			behind := f.addEntry("entry-behind", relay.Address(), f.entries[0].Address("peer"))
			f.until("entry serves", func() bool { return f.status(behind) == http.StatusOK })
			relay.Cut(cut[0], cut[1])
			for n := uint64(2); n <= 4; n++ {
				f.submit(n-1, fmt.Sprint("change-", n), fmt.Sprint(serviceText, "# ", n, "\n"), float64(n))
				f.until("change in force", func() bool { return f.revision(behind) == n })
				if status := f.status(behind); status != http.StatusOK {
					t.Fatalf("lookup during the cut: status %d", status)
				}
			}
		})
	}
}

// Guards against an entry that starts with an old configuration, or does not
// start at all, while control is out of reach.
func TestEntryRestartsWithoutControl(t *testing.T) {
	f := start(t, layout{replicas: 1, entries: 2, targets: 1})
	f.check(f.entries[1].Stop())
	f.submit(1, "second", serviceText+"# second\n", 2)
	f.until("change in force", func() bool { return f.revision(0) == 2 })
	f.control[1].Kill()
	p, err := f.Entry("entry-2", f.at, f.entries[0].Address("peer")) // its copy has revision 1
	f.check(err)
	f.stopLater(p)
	f.entries[1] = p
	f.until("restarted entry serves", func() bool { return f.status(1) == http.StatusOK })
	if n := f.revision(1); n != 2 {
		t.Errorf("restarted entry serves revision %d, want 2", n)
	}
}
