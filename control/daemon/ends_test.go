package daemon_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/control/daemon"
	"github.com/galenalock/galenalock/control/relay"
	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/wire"
)

// announceUntilAnswered announces to a replica until it answers with something else
// than that there is no majority.
func announceUntilAnswered(t *testing.T, r *seededReplica, a enrol.Announcement) (err error) {
	t.Helper()
	waitUntil(t, "answer to "+a.Name, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err = r.services.Announce(ctx, a)
		var noQuorum *relay.NoQuorumError
		return !errors.As(err, &noQuorum)
	})
	return err
}

func announcementOf(name string, start time.Time, seq uint64, state enrol.State) enrol.Announcement {
	return enrol.Announcement{
		Name: name, Service: "ledger", Address: netip.MustParseAddrPort("10.0.0.1:80"), Region: "salish", DataCentre: "salish-1",
		Slots: 6, Start: start, Seq: seq, State: state,
	}
}

// rowOf returns the row of a target at the replica of the entry, or nil. Targets that
// are gone have a row too.
func rowOf(t *testing.T, e *entry, name string) *enrol.Row {
	t.Helper()
	var all enrol.Update
	if err := e.conn.Call(t.Context(), wire.KindTargets, wire.Follow{Have: 1}, &all); err != nil {
		t.Fatal(err)
	}
	for i := range all.Rows {
		if all.Rows[i].Name == name {
			return &all.Rows[i]
		}
	}
	return nil
}

// Guards against a target that becomes ready after its end was acknowledged, because
// an announcement from before the end arrives late and the registry did not know the
// incarnation that ended.
func TestEndOfUnknownIncarnationBinds(t *testing.T) {
	group := seedGroup(t, 3, 3, 1)
	for _, r := range group {
		r.run()
	}
	e := dialEntry(t, group[0].replica)
	earlier := time.Now().UTC().Truncate(time.Millisecond).Add(-time.Minute)
	start := earlier.Add(30 * time.Second)
	for i, c := range []struct {
		name   string
		before []enrol.Announcement
		end    enrol.Announcement
	}{
		{"unknown", nil, enrol.Announcement{Start: start}},
		{"unknown-without-start", nil, enrol.Announcement{}},
		{"earlier-known", []enrol.Announcement{{Start: earlier, State: enrol.Ready}}, enrol.Announcement{Start: start}},
		{"earlier-ended", []enrol.Announcement{{Start: earlier, State: enrol.Ready}, {Start: earlier, State: enrol.Gone}}, enrol.Announcement{Start: start}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80)
			for seq, b := range c.before {
				a := announcementOf(c.name, b.Start, uint64(seq), b.State)
				a.Address = address
				is.NoErr(announceUntilAnswered(t, group[0], a))
			}
			is.NoErr(announceUntilAnswered(t, group[1], enrol.Announcement{Name: c.name, Start: c.end.Start, State: enrol.Gone}))
			late := announcementOf(c.name, start, 9, enrol.Ready)
			late.Address = address
			var stale *daemon.StaleError
			waitUntil(t, "late announcement refused", func() bool {
				// A replica that lags may take it for a renewal, which changes nothing.
				err := announceUntilAnswered(t, group[2], late)
				if row := rowOf(t, e, c.name); row != nil && row.State == enrol.Ready && row.Start == start.UnixMilli() {
					t.Fatal("the target that has ended is ready")
				}
				return errors.As(err, &stale)
			})

			// A restart is a later incarnation, which the end does not cover.
			late.Start = time.Now().UTC().Add(time.Second).Truncate(time.Millisecond)
			is.NoErr(announceUntilAnswered(t, group[2], late))
		})
	}
}

// Guards against a replica that lags and takes a known target for an unknown one: the
// end without a start time would then cover a restart that the target has begun with
// a clock behind that of the replica.
func TestLaggingReplicaEndsTheKnownIncarnation(t *testing.T) {
	is := is.New(t)
	group := seedGroup(t, 3, 3, 1)
	for _, r := range group {
		r.run()
	}
	submitRanked(t, group, 1)
	awaitRank(t, group, 1)
	lagging := group[2]
	lagging.stop()
	start := time.Now().UTC().Truncate(time.Millisecond).Add(-time.Minute)
	is.NoErr(announceUntilAnswered(t, group[0], announcementOf("t-1", start, 1, enrol.Ready)))
	lagging.restart()
	is.NoErr(announceUntilAnswered(t, lagging, enrol.Announcement{Name: "t-1", State: enrol.Gone}))
	var stale *daemon.StaleError
	waitUntil(t, "renewal refused", func() bool {
		// A replica that lags takes it for a renewal, which changes nothing.
		return errors.As(announceUntilAnswered(t, group[1], announcementOf("t-1", start, 2, enrol.Ready)), &stale)
	})
	is.NoErr(announceUntilAnswered(t, lagging, announcementOf("t-1", start.Add(time.Second), 1, enrol.Ready)))
}

// Guards against a placeholder that stays registered because the replica which
// registered it failed before it committed the end.
func TestLeaderEndsPlaceholdersThatWereLeft(t *testing.T) {
	is := is.New(t)
	group := seedGroup(t, 3, 3, 1)
	for _, r := range group {
		r.settings.Life = time.Second
		r.run()
	}
	left := enrol.Placeholder("t-1", time.Now().UTC().Truncate(time.Millisecond), "salish", "salish-1")
	is.NoErr(announceUntilAnswered(t, group[1], left))
	e := dialEntry(t, group[0].replica)
	waitUntil(t, "placeholder ended", func() bool {
		row := rowOf(t, e, "t-1")
		return row != nil && row.State == enrol.Gone
	})
}
