package enrol_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/enrol"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// call returns an announcement of an incarnation that started some seconds
// after the epoch.
func call(name string, host byte, start int, seq uint64, state enrol.State) enrol.Announcement {
	return enrol.Announcement{
		Name: name, Service: "tables", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 80),
		Region: "salish", DataCentre: "salish-1", Slots: 6,
		Start: epoch.Add(time.Duration(start) * time.Second), Seq: seq, State: state,
	}
}

func Example() {
	t := enrol.New()
	fmt.Println(t.Announce(1, epoch, call("a", 1, 0, 1, enrol.Ready)))
	fmt.Println(t.Announce(2, epoch, call("a", 1, 0, 2, enrol.Ready)))
	fmt.Println(t.Announce(3, epoch, call("a", 1, 0, 3, enrol.Draining)))
	v := t.View()
	fmt.Println(v.Find("a").State, v.Index)
	// Output:
	// changed
	// same
	// changed
	// draining 3
}

// Guards against a late call of a dead predecessor that revives it, or that
// takes the address or the name from its successor.
func TestLateAnnouncements(t *testing.T) {
	for _, c := range []struct {
		name    string
		before  []enrol.Announcement
		late    enrol.Announcement
		verdict enrol.Verdict
	}{
		{"older call of the incarnation", []enrol.Announcement{call("a", 1, 0, 5, enrol.Draining)}, call("a", 1, 0, 4, enrol.Ready), enrol.Stale},
		{"earlier incarnation of the name", []enrol.Announcement{call("a", 1, 9, 1, enrol.Ready)}, call("a", 1, 0, 99, enrol.Ready), enrol.Stale},
		{"after the end", []enrol.Announcement{call("a", 1, 0, 1, enrol.Ready), call("a", 1, 0, 2, enrol.Gone)}, call("a", 1, 0, 3, enrol.Ready), enrol.Stale},
		{"predecessor at the address", []enrol.Announcement{call("b", 1, 9, 1, enrol.Ready)}, call("a", 1, 0, 99, enrol.Ready), enrol.Stale},
		{"predecessor of one that has ended", []enrol.Announcement{call("b", 1, 9, 1, enrol.Ready), call("b", 1, 9, 2, enrol.Gone)}, call("a", 1, 0, 99, enrol.Ready), enrol.Stale},
		{"end of an earlier incarnation", []enrol.Announcement{call("a", 1, 9, 1, enrol.Ready)}, call("a", 1, 0, 99, enrol.Gone), enrol.Stale},
		{"end of an unknown target", nil, call("a", 1, 0, 1, enrol.Gone), enrol.Same},
		{"second end", []enrol.Announcement{call("a", 1, 0, 1, enrol.Ready), call("a", 1, 0, 2, enrol.Gone)}, call("a", 1, 0, 2, enrol.Gone), enrol.Same},
		{"start again under the name", []enrol.Announcement{call("a", 1, 0, 7, enrol.Ready), call("a", 1, 0, 8, enrol.Gone)}, call("a", 1, 9, 1, enrol.Ready), enrol.Changed},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := enrol.New()
			for i, a := range c.before {
				table.Announce(uint64(i+1), epoch, a)
			}
			before := table.View()
			is.Equal(before.Judge(c.late), c.verdict)
			is.Equal(table.Announce(99, epoch, c.late), c.verdict)
			if after := table.View(); c.verdict != enrol.Changed {
				is.Equal(after.Index, before.Index)
			}
		})
	}
}

// Guards against two live targets at one address.
func TestAddressHasOneTarget(t *testing.T) {
	is := is.New(t)
	table := enrol.New()
	table.Announce(1, epoch, call("a", 1, 0, 1, enrol.Ready))
	table.Announce(2, epoch, call("b", 1, 9, 1, enrol.Ready))
	v := table.View()
	is.True(!v.Find("a").Live())
	is.True(v.Find("b").Live())
	is.Equal(v.Find("a").Index, uint64(2))
}

// Guards against a target that stays silent although it is heard again, and
// against silence of one that announced a change meanwhile.
func TestSilence(t *testing.T) {
	is := is.New(t)
	table := enrol.New()
	table.Announce(1, epoch, call("a", 1, 0, 1, enrol.Ready))
	heard := enrol.Incarnation{Name: "a", Start: epoch, Seq: 7}
	is.Equal(table.Silence(2, []enrol.Incarnation{heard}), 1)
	is.Equal(table.Announce(3, epoch, call("a", 1, 0, 7, enrol.Ready)), enrol.Same) // was heard before
	is.Equal(table.Announce(4, epoch, call("a", 1, 0, 8, enrol.Ready)), enrol.Changed)
	v := table.View()
	is.True(!v.Find("a").Silent)

	table.Announce(5, epoch, call("a", 1, 0, 9, enrol.Draining))
	is.Equal(table.Silence(6, []enrol.Incarnation{heard}), 0)
}

// Guards against malformed announcements that reach the log.
func TestCheck(t *testing.T) {
	is := is.New(t)
	good := call("a", 1, 1, 1, enrol.Ready)
	is.NoErr(good.Check())
	end := enrol.Announcement{Name: "a", State: enrol.Gone}
	is.NoErr(end.Check())
	for field, spoil := range map[string]func(a *enrol.Announcement){
		"name":       func(a *enrol.Announcement) { a.Name = "" },
		"state":      func(a *enrol.Announcement) { a.State = "sleeping" },
		"service":    func(a *enrol.Announcement) { a.Service = "" },
		"address":    func(a *enrol.Announcement) { a.Address = netip.AddrPort{} },
		"datacentre": func(a *enrol.Announcement) { a.Region = "" },
		"slots":      func(a *enrol.Announcement) { a.Slots = 0 },
		"cold":       func(a *enrol.Announcement) { a.Cold = -1 },
		"start":      func(a *enrol.Announcement) { a.Start = time.Time{} },
	} {
		bad := good
		spoil(&bad)
		var fault *enrol.Error
		is.True(errors.As(bad.Check(), &fault))
		is.Equal(fault.Field, field)
	}
}

// Guards against copies at the entries that differ from the table: updates of
// two replicas, of which one lags, arrive in any mixture, and some are lost.
func TestMirrorFollowsTable(t *testing.T) {
	for seed := range uint64(200) {
		draws := rand.New(rand.NewPCG(seed, 1))
		table, mirror := enrol.New(), enrol.NewMirror()
		views := []enrol.View{table.View()}
		seqs := map[string]uint64{}
		for index := uint64(1); index < 120; index++ {
			name := fmt.Sprint("t", draws.IntN(8))
			seqs[name]++
			state := []enrol.State{enrol.Ready, enrol.Draining, enrol.Gone}[draws.IntN(3)]
			table.Announce(index, epoch.Add(time.Duration(index)*20*time.Second), call(name, byte(draws.IntN(6)), draws.IntN(40), seqs[name], state))
			views = append(views, table.View())
			if draws.IntN(3) == 0 {
				continue // lost
			}
			from := views[draws.IntN(len(views))]
			base := min(from.Index, uint64(draws.IntN(int(mirror.Have())+3)))
			if _, ok := mirror.Apply(epoch, from.Since(base)); !ok {
				mirror.Apply(epoch, from.Since(mirror.Have()))
			}
		}
		last := table.View()
		mirror.Apply(epoch, last.Since(mirror.Have()))
		live := 0
		for _, row := range last.Rows() {
			if !row.Live() {
				continue
			}
			live++
			found := false
			for _, k := range mirror.Targets(row.Service) {
				found = found || k.Name == row.Name && k.Start.Equal(row.Start) && k.State == row.State && k.Address == row.Address
			}
			if !found {
				t.Fatalf("seed %d: the copy lacks %s", seed, row.Name)
			}
		}
		if live != mirror.Len() {
			t.Fatalf("seed %d: the copy has %d targets, the table %d", seed, mirror.Len(), live)
		}
	}
}

// Guards against a snapshot that loses rows or forgets who holds an address.
func TestSaveRestore(t *testing.T) {
	is := is.New(t)
	table := enrol.New()
	table.Announce(1, epoch, call("a", 1, 0, 1, enrol.Ready))
	table.Announce(2, epoch, call("b", 1, 9, 1, enrol.Ready))
	restored := enrol.Restore(table.Save())
	is.Equal(restored.Save(), table.Save())
	is.Equal(restored.Announce(3, epoch, call("c", 1, 5, 1, enrol.Ready)), enrol.Stale)
}
