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

// announcement returns an announcement of an incarnation that started the given
// number of seconds after the epoch.
func announcement(name string, host byte, start int, seq uint64, state enrol.State) enrol.Announcement {
	return enrol.Announcement{
		Name: name, Service: "tables", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 80),
		Region: "salish", DataCentre: "salish-1", Slots: 6,
		Start: epoch.Add(time.Duration(start) * time.Second), Seq: seq, State: state,
	}
}

func Example() {
	t := enrol.New()
	fmt.Println(t.Announce(1, epoch, announcement("a", 1, 0, 1, enrol.Ready)))
	fmt.Println(t.Announce(2, epoch, announcement("a", 1, 0, 2, enrol.Ready)))
	fmt.Println(t.Announce(3, epoch, announcement("a", 1, 0, 3, enrol.Draining)))
	v := t.View()
	fmt.Println(v.Find("a").State, v.Index)
	// Output:
	// changed
	// same
	// changed
	// draining 3
}

// Guards against a delayed announcement of an ended incarnation that makes it
// live again, or that takes the name or the address from its successor.
func TestLateAnnouncements(t *testing.T) {
	for _, c := range []struct {
		name   string
		before []enrol.Announcement
		late   enrol.Announcement
		effect enrol.Effect
	}{
		{"older announcement of the incarnation", []enrol.Announcement{announcement("a", 1, 0, 5, enrol.Draining)}, announcement("a", 1, 0, 4, enrol.Ready), enrol.Stale},
		{"earlier incarnation of the name", []enrol.Announcement{announcement("a", 1, 9, 1, enrol.Ready)}, announcement("a", 1, 0, 99, enrol.Ready), enrol.Stale},
		{"after the end", []enrol.Announcement{announcement("a", 1, 0, 1, enrol.Ready), announcement("a", 1, 0, 2, enrol.Gone)}, announcement("a", 1, 0, 3, enrol.Ready), enrol.Stale},
		{"predecessor at the address", []enrol.Announcement{announcement("b", 1, 9, 1, enrol.Ready)}, announcement("a", 1, 0, 99, enrol.Ready), enrol.Stale},
		{"predecessor of one that has ended", []enrol.Announcement{announcement("b", 1, 9, 1, enrol.Ready), announcement("b", 1, 9, 2, enrol.Gone)}, announcement("a", 1, 0, 99, enrol.Ready), enrol.Stale},
		{"end of an earlier incarnation", []enrol.Announcement{announcement("a", 1, 9, 1, enrol.Ready)}, announcement("a", 1, 0, 99, enrol.Gone), enrol.Stale},
		{"end of an unknown target", nil, announcement("a", 1, 0, 1, enrol.Gone), enrol.Same},
		{"second end", []enrol.Announcement{announcement("a", 1, 0, 1, enrol.Ready), announcement("a", 1, 0, 2, enrol.Gone)}, announcement("a", 1, 0, 2, enrol.Gone), enrol.Same},
		{"restart under the same name", []enrol.Announcement{announcement("a", 1, 0, 7, enrol.Ready), announcement("a", 1, 0, 8, enrol.Gone)}, announcement("a", 1, 9, 1, enrol.Ready), enrol.Changed},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := enrol.New()
			for i, a := range c.before {
				table.Announce(uint64(i+1), epoch, a)
			}
			before := table.View()
			is.Equal(before.Evaluate(c.late), c.effect)
			is.Equal(table.Announce(99, epoch, c.late), c.effect)
			if after := table.View(); c.effect != enrol.Changed {
				is.Equal(after.Index, before.Index)
			}
		})
	}
}

// Guards against an end that leaves no row behind, against a placeholder that an entry
// could use, that survives its end or that takes the address of another target, and
// against a build in which placeholders have another effect than in the builds before
// them, which know only announcements.
func TestPlaceholder(t *testing.T) {
	is := is.New(t)
	table, mirror := enrol.New(), enrol.NewMirror()
	start := epoch.Add(5 * time.Second)
	placeholder := enrol.Placeholder("a", start, "salish", "salish-1")
	is.NoErr(placeholder.Check())
	is.True(placeholder.Address != enrol.Placeholder("b", start, "salish", "salish-1").Address)
	is.Equal(table.Announce(1, epoch, announcement("a", 1, 0, 7, enrol.Ready)), enrol.Changed)
	is.Equal(table.Announce(2, epoch, placeholder), enrol.Changed)
	is.Equal(table.Announce(3, epoch, placeholder), enrol.Same)
	is.Equal(table.Announce(4, epoch, announcement("a", 1, 5, 9, enrol.Ready)), enrol.Stale)
	v := table.View()
	is.True(v.Find("a").IsPlaceholder())
	_, ok := mirror.Apply(epoch, v.Since(0))
	is.True(ok)
	is.Equal(len(mirror.Targets("tables")), 0) // the incarnation before is no longer used

	end := enrol.Announcement{Name: "a", Start: start, State: enrol.Gone}
	is.Equal(table.Announce(5, epoch, end), enrol.Changed)
	is.Equal(table.Announce(6, epoch, placeholder), enrol.Stale)
	is.Equal(table.Announce(7, epoch, announcement("a", 1, 5, 9, enrol.Ready)), enrol.Stale)
	is.Equal(table.Announce(8, epoch, announcement("a", 1, 6, 1, enrol.Ready)), enrol.Changed)
	is.Equal(table.Announce(9, epoch, announcement("a", 1, 6, 1, enrol.Gone)), enrol.Changed)
	is.Equal(table.Announce(10, epoch.Add(time.Hour), announcement("b", 2, 0, 1, enrol.Ready)), enrol.Changed)
	v = table.View()
	is.Equal(len(v.Rows()), 1) // pruned
}

// Guards against two live targets at one address.
func TestAddressHasOneTarget(t *testing.T) {
	is := is.New(t)
	table := enrol.New()
	table.Announce(1, epoch, announcement("a", 1, 0, 1, enrol.Ready))
	table.Announce(2, epoch, announcement("b", 1, 9, 1, enrol.Ready))
	v := table.View()
	is.True(!v.Find("a").Live())
	is.True(v.Find("b").Live())
	is.Equal(v.Find("a").Index, uint64(2))
}

// Guards against a target that stays silent although its announcements arrive
// again, and against marking one as silent that has announced a change since.
func TestSilence(t *testing.T) {
	is := is.New(t)
	table := enrol.New()
	table.Announce(1, epoch, announcement("a", 1, 0, 1, enrol.Ready))
	received := enrol.Incarnation{Name: "a", Start: epoch, Seq: 7}
	is.Equal(table.MarkSilent(2, []enrol.Incarnation{received}), 1)
	is.Equal(table.Announce(3, epoch, announcement("a", 1, 0, 7, enrol.Ready)), enrol.Same) // received before it was marked
	is.Equal(table.Announce(4, epoch, announcement("a", 1, 0, 8, enrol.Ready)), enrol.Changed)
	v := table.View()
	is.True(!v.Find("a").Silent)

	table.Announce(5, epoch, announcement("a", 1, 0, 9, enrol.Draining))
	is.Equal(table.MarkSilent(6, []enrol.Incarnation{received}), 0)
}

// Guards against a target that moves or becomes cold again while entries keep
// their old view of it, and against a log entry for each announcement of a target
// that warms up.
func TestChangesOfRegionAndColdPhase(t *testing.T) {
	is := is.New(t)
	table := enrol.New()
	a := announcement("a", 1, 0, 1, enrol.Ready)
	a.Cold = 3 * time.Second
	table.Announce(1, epoch, a)
	a.Seq, a.Cold = 2, time.Second
	is.Equal(table.Announce(2, epoch, a), enrol.Same)
	a.Seq, a.Cold = 3, 5*time.Second
	is.Equal(table.Announce(3, epoch, a), enrol.Changed)
	a.Seq, a.Region = 4, "haida"
	is.Equal(table.Announce(4, epoch, a), enrol.Changed)
	v := table.View()
	is.Equal(v.Find("a").Region, "haida")
}

// Guards against a row without content in a snapshot that ends the process.
func TestRestoreSkipsEmptyRows(t *testing.T) {
	is := is.New(t)
	table := enrol.New()
	table.Announce(1, epoch, announcement("a", 1, 0, 1, enrol.Ready))
	saved := table.Save()
	saved.Rows = append([]*enrol.Target{nil}, saved.Rows...)
	v := enrol.Restore(saved).View()
	is.True(v.Find("a").Live())
}

// Guards against malformed announcements in the log.
func TestCheck(t *testing.T) {
	is := is.New(t)
	valid := announcement("a", 1, 1, 1, enrol.Ready)
	is.NoErr(valid.Check())
	end := enrol.Announcement{Name: "a", State: enrol.Gone}
	is.NoErr(end.Check())
	for field, invalidate := range map[string]func(a *enrol.Announcement){
		"name":       func(a *enrol.Announcement) { a.Name = "" },
		"state":      func(a *enrol.Announcement) { a.State = "sleeping" },
		"service":    func(a *enrol.Announcement) { a.Service = "" },
		"address":    func(a *enrol.Announcement) { a.Address = netip.AddrPort{} },
		"datacentre": func(a *enrol.Announcement) { a.Region = "" },
		"slots":      func(a *enrol.Announcement) { a.Slots = 0 },
		"cold":       func(a *enrol.Announcement) { a.Cold = -1 },
		"start":      func(a *enrol.Announcement) { a.Start = time.Time{} },
	} {
		invalid := valid
		invalidate(&invalid)
		var fault *enrol.Error
		is.True(errors.As(invalid.Check(), &fault))
		is.Equal(fault.Field, field)
	}
}

// Guards against a mirror that differs from the table when updates come from
// replicas at different indices, in any order, and some are lost.
func TestMirrorFollowsTable(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		table, mirror := enrol.New(), enrol.NewMirror()
		views := []enrol.View{table.View()}
		seqs := map[string]uint64{}
		for index := uint64(1); index < 120; index++ {
			name := fmt.Sprint("t", rng.IntN(8))
			seqs[name]++
			state := []enrol.State{enrol.Ready, enrol.Draining, enrol.Gone}[rng.IntN(3)]
			table.Announce(index, epoch.Add(time.Duration(index)*20*time.Second), announcement(name, byte(rng.IntN(6)), rng.IntN(40), seqs[name], state))
			views = append(views, table.View())
			if rng.IntN(3) == 0 {
				continue // lost
			}
			from := views[rng.IntN(len(views))]
			base := min(from.Index, uint64(rng.IntN(int(mirror.AppliedIndex())+3)))
			if _, ok := mirror.Apply(epoch, from.Since(base)); !ok {
				mirror.Apply(epoch, from.Since(mirror.AppliedIndex()))
			}
		}
		last := table.View()
		mirror.Apply(epoch, last.Since(mirror.AppliedIndex()))
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
				t.Fatalf("seed %d: the mirror lacks target %s", seed, row.Name)
			}
		}
		if live != mirror.Len() {
			t.Fatalf("seed %d: the mirror has %d live targets, the table %d", seed, mirror.Len(), live)
		}
	}
}

// Guards against a snapshot that loses rows, or the latest target at an address.
func TestSaveRestore(t *testing.T) {
	is := is.New(t)
	table := enrol.New()
	table.Announce(1, epoch, announcement("a", 1, 0, 1, enrol.Ready))
	table.Announce(2, epoch, announcement("b", 1, 9, 1, enrol.Ready))
	restored := enrol.Restore(table.Save())
	is.Equal(restored.Save(), table.Save())
	is.Equal(restored.Announce(3, epoch, announcement("c", 1, 5, 1, enrol.Ready)), enrol.Stale)
}
