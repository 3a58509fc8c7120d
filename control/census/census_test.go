package census_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/control/census"
	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/wire"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func registry(names ...string) enrol.View {
	t := enrol.New()
	for i, name := range names {
		t.Announce(uint64(i+1), epoch, enrol.Announcement{
			Name: name, Service: "tables", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80),
			Region: "salish", DataCentre: "salish-1", Slots: 6, Start: epoch, Seq: 1, State: enrol.Ready,
		})
	}
	return t.View()
}

// Guards against a new leader that reports targets as silent because only other
// replicas received their announcements, and against silent targets that are
// never reported.
func TestSilent(t *testing.T) {
	is := is.New(t)
	view := registry("a", "b")
	leader, other := census.New(8*time.Second), census.New(8*time.Second)
	is.Equal(len(leader.Silent(epoch.Add(time.Hour), true, view)), 0) // leadership begins with this call

	now := epoch.Add(time.Hour + 6*time.Second)
	other.Record(now, "a", epoch, 9)
	batch := other.TakeBatch()
	is.Equal(batch, wire.Heard{Targets: []wire.HeardTarget{{Name: "a", Start: epoch.UnixMilli(), Seq: 9}}})
	is.Equal(len(other.TakeBatch().Targets), 0)
	leader.Merge(now, batch)

	silent := leader.Silent(now.Add(3*time.Second), true, view)
	is.Equal(silent, []enrol.Incarnation{{Name: "b", Start: epoch, Seq: 1}})
	silent = leader.Silent(now.Add(8*time.Second), true, view)
	is.Equal(len(silent), 2)
	is.Equal(silent[0].Seq, uint64(9)) // the last one received, so that a later announcement counts

	is.Equal(len(leader.Silent(now.Add(9*time.Second), false, view)), 0)
	is.Equal(len(leader.Silent(now.Add(10*time.Second), true, view)), 0)
}

// Guards against a delayed announcement of an earlier incarnation that keeps the
// current one from being reported as silent.
func TestLateAnnouncementIsIgnored(t *testing.T) {
	is := is.New(t)
	c := census.New(8 * time.Second)
	view := registry("a")
	c.Silent(epoch, true, view)
	c.Record(epoch.Add(7*time.Second), "a", epoch.Add(-time.Minute), 99)
	is.Equal(len(c.Silent(epoch.Add(8*time.Second), true, view)), 1)
}
