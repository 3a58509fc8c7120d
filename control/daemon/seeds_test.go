package daemon_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/control/daemon"
	"github.com/galenalock/galenalock/control/relay"
	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/wire"
)

// seededReplica is a replica that is configured with seeds.
type seededReplica struct {
	*replica
	services daemon.Services
}

// seedGroup creates replicas, of which the first ones are the seeds. It does not run
// them, since founding a group needs the addresses of all seeds.
func seedGroup(t *testing.T, size, seeds, tolerance int) []*seededReplica {
	t.Helper()
	addresses := make([]netip.AddrPort, seeds)
	out := make([]*seededReplica, size)
	for i := range out {
		out[i] = newSeededReplica(t, i+1, addresses, tolerance)
	}
	for i := range addresses {
		addresses[i] = out[i].settings.Peer
	}
	t.Cleanup(func() {
		for _, r := range out {
			r.stop()
		}
	})
	return out
}

func newSeededReplica(t *testing.T, id int, seeds []netip.AddrPort, tolerance int) *seededReplica {
	s := &seededReplica{replica: &replica{t: t, settings: settings(t, id, nil), scheme: "http", client: client}}
	s.settings.Seeds, s.settings.Tolerance, s.settings.Found = seeds, tolerance, true
	// Connections have the source address 127.0.0.1, so that none takes the port of a
	// replica that is restarted.
	own := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + id)}), 0)
	s.settings.Peer, s.settings.Admin = own, own
	s.settings.Regions = map[string]string{"salish-1": "salish"}
	s.settings.PeerHandler = func(services daemon.Services) http.Handler {
		s.services = services
		return http.NotFoundHandler()
	}
	s.bind()
	return s
}

// restartDisk restarts a stopped replica and wipes its disk first if asked to.
func (s *seededReplica) restartDisk(wipe bool) {
	s.t.Helper()
	if wipe {
		if err := os.RemoveAll(s.settings.Data); err != nil {
			s.t.Fatal(err)
		}
	}
	s.restart()
}

// submitRanked submits a text until one of the replicas accepts it.
func submitRanked(t *testing.T, group []*seededReplica, rank uint64) {
	t.Helper()
	waitUntil(t, fmt.Sprintf("rank %d accepted", rank), func() bool {
		for _, r := range group {
			if r.cancel == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := r.services.Submit(ctx, rank, "c", []byte(serviceText(int(rank))))
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	})
}

// awaitRank waits until every running replica returns a rank as the newest one.
func awaitRank(t *testing.T, group []*seededReplica, rank uint64) {
	t.Helper()
	for _, r := range group {
		if r.cancel == nil {
			continue
		}
		waitUntil(t, fmt.Sprintf("%s answers rank %d", r.settings.Instance, rank), func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			got, _, err := r.services.Newest(ctx)
			return err == nil && got == rank
		})
	}
}

func waitUntil(t *testing.T, what string, reached func() bool) {
	t.Helper()
	const bound = 60 * time.Second
	for end := time.Now().Add(bound); !reached(); {
		if time.Now().After(end) {
			t.Fatalf("not reached in %s: %s", bound, what)
		}
		<-time.After(5 * time.Millisecond)
	}
}

// voterCount returns the number of voters that the replica knows.
func (s *seededReplica) voterCount() int {
	_, doc := s.request(http.MethodGet, "/v1/replicas", nil)
	n := 0
	list, _ := doc["replicas"].([]any)
	for _, one := range list {
		if r, ok := one.(map[string]any); ok && (r["role"] == "voter" || r["role"] == "leader") {
			n++
		}
	}
	return n
}

// Guards against the founding of two groups, and against a group that does not grow
// beyond its founders. Three of five replicas are seeds; a replica that joins starts
// first, a seed last.
func TestSeedsFoundOneGroup(t *testing.T) {
	is := is.New(t)
	group := seedGroup(t, 5, 3, 2)
	for _, i := range []int{4, 1, 3, 0, 2} {
		group[i].run()
	}
	submitRanked(t, group, 7)
	awaitRank(t, group, 7)
	waitUntil(t, "five voters", func() bool { return group[0].voterCount() == 5 })

	submitRanked(t, group, 12)
	_, err := group[3].services.Submit(t.Context(), 9, "c", []byte(serviceText(9)))
	is.NoErr(err) // not applied, since a higher rank is active
	awaitRank(t, group, 12)

	// All tolerated losses occur at once, right after the acknowledgement.
	for _, i := range []int{1, 4} {
		group[i].stop()
	}
	for _, i := range []int{1, 4} {
		group[i].restartDisk(true)
	}
	awaitRank(t, group, 12)
	waitUntil(t, "five voters", func() bool { return group[2].voterCount() == 5 })
}

// Guards against a group that never acknowledges a change because it has fewer
// replicas than wanted voters, and against losing the text or founding a second
// group when all seeds restart.
func TestFewReplicas(t *testing.T) {
	group := seedGroup(t, 2, 2, 2)
	for _, r := range group {
		r.run()
	}
	submitRanked(t, group, 3)
	awaitRank(t, group, 3)
	for _, r := range group {
		r.stop()
		r.restartDisk(false)
	}
	awaitRank(t, group, 3)
}

// Guards against a failed voter that is not replaced, and against a new replica that
// cannot join because only one of its seeds still runs.
func TestReplacedReplica(t *testing.T) {
	is := is.New(t)
	group := seedGroup(t, 3, 3, 1)
	for _, r := range group {
		r.run()
	}
	submitRanked(t, group, 1)
	awaitRank(t, group, 1)
	group[0].stop()
	group[0].cancel = nil

	fresh := newSeededReplica(t, 9, []netip.AddrPort{group[0].settings.Peer, group[2].settings.Peer}, 1)
	fresh.settings.Found = false
	t.Cleanup(fresh.stop)
	fresh.run()
	group = append(group, fresh)
	submitRanked(t, group, 2)
	awaitRank(t, group, 2)
	waitUntil(t, "the new replica votes", func() bool {
		_, doc := fresh.request(http.MethodGet, "/v1/replicas", nil)
		text := fmt.Sprint(doc)
		return fresh.voterCount() == 3 && strings.Contains(text, fresh.settings.Peer.String()) && !strings.Contains(text, group[0].settings.Peer.String())
	})
	group[1].stop() // a second failure right after the replacement
	submitRanked(t, group[2:], 3)
	awaitRank(t, group[2:], 3)
	is.Equal(fresh.voterCount(), 3)
}

// Guards against an acknowledged announcement that other replicas do not know, and
// against a silent target that is not detected.
func TestAnnouncementsReachEveryReplica(t *testing.T) {
	is := is.New(t)
	group := seedGroup(t, 3, 3, 1)
	for _, r := range group {
		r.settings.Life = time.Second
		r.run()
	}
	a := enrol.Announcement{
		Name: "t-1", Service: "ledger", Address: netip.MustParseAddrPort("10.0.0.1:80"), Region: "salish", DataCentre: "salish-1",
		Slots: 6, Start: time.UnixMilli(1_800_000_000_000).UTC(), Seq: 1, State: enrol.Ready,
	}
	announce := func(r *seededReplica) {
		waitUntil(t, "announcement taken", func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			return r.services.Announce(ctx, a) == nil
		})
	}
	announce(group[1])
	e := dialFollower(t, group[2].replica)
	is.Equal((<-e.updates).Rows[0].Name, "t-1")

	a.Seq, a.State = 2, enrol.Draining
	announce(group[0])
	update := <-e.updates
	is.Equal(update.Rows[0].State, enrol.Draining)

	outdated := a
	outdated.Seq, outdated.State = 1, enrol.Ready
	var stale *daemon.StaleError
	waitUntil(t, "late announcement refused", func() bool {
		// A lagging replica takes it for a heartbeat, which changes nothing.
		return errors.As(group[1].services.Announce(t.Context(), outdated), &stale)
	})
	is.True((<-e.updates).Rows[0].Silent) // it has not announced itself for a second
}

// Guards against the end of a target that is acknowledged by a replica which does not
// know the target yet, and is then lost.
func TestLaggingReplicaDoesNotAcknowledgeTheEndOfATarget(t *testing.T) {
	is := is.New(t)
	group := seedGroup(t, 3, 3, 1)
	for _, r := range group {
		r.run()
	}
	submitRanked(t, group, 1)
	awaitRank(t, group, 1)
	lagging := group[2]
	lagging.stop()
	a := enrol.Announcement{
		Name: "t-1", Service: "ledger", Address: netip.MustParseAddrPort("10.0.0.1:80"), Region: "salish", DataCentre: "salish-1",
		Slots: 6, Start: time.UnixMilli(1_800_000_000_000).UTC(), Seq: 1, State: enrol.Ready,
	}
	announce := func(r *seededReplica) error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return r.services.Announce(ctx, a)
	}
	waitUntil(t, "target registered", func() bool { return announce(group[0]) == nil })
	group[0].stop()
	group[1].stop()
	lagging.restart()
	a = enrol.Announcement{Name: "t-1", State: enrol.Gone}
	var noQuorum *relay.NoQuorumError
	waitUntil(t, "the replica has read its disk", func() bool {
		err := announce(lagging)
		return err == nil || !strings.Contains(err.Error(), "is starting")
	})
	is.True(errors.As(announce(lagging), &noQuorum))

	group[0].restart()
	group[1].restart()
	waitUntil(t, "end acknowledged", func() bool { return announce(lagging) == nil })
	follower := dialFollower(t, group[0].replica)
	waitUntil(t, "end known", func() bool {
		update := <-follower.updates
		return len(update.Rows) == 0 || update.Rows[0].State == enrol.Gone
	})
}

// Guards against one odd announcement that ends replicas, that entries cannot read, or
// that keeps the target whose address it names out of service.
func TestOddAnnouncementsHarmNoOther(t *testing.T) {
	is := is.New(t)
	group := seedGroup(t, 3, 3, 1)
	for _, r := range group {
		r.run()
	}
	good := enrol.Announcement{
		Name: "t-1", Service: "ledger", Address: netip.MustParseAddrPort("10.0.0.1:80"), Region: "salish", DataCentre: "salish-1",
		Slots: 6, Start: time.Now().UTC().Truncate(time.Millisecond), Seq: 1, State: enrol.Ready,
	}
	announce := func(a enrol.Announcement) (err error) {
		waitUntil(t, "answer to "+a.Name, func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			err = group[1].services.Announce(ctx, a)
			var noQuorum *relay.NoQuorumError
			return !errors.As(err, &noQuorum)
		})
		return err
	}
	is.NoErr(announce(good))
	for name, change := range map[string]func(*enrol.Announcement){
		"start in nanoseconds":   func(a *enrol.Announcement) { a.Start = time.UnixMilli(good.Start.UnixNano()).UTC() },
		"start in microseconds":  func(a *enrol.Announcement) { a.Start = time.UnixMilli(good.Start.UnixMicro()).UTC() },
		"start in ten years":     func(a *enrol.Announcement) { a.Start = good.Start.AddDate(10, 0, 0) },
		"start of the year 9999": func(a *enrol.Announcement) { a.Start = time.Date(9999, 12, 31, 0, 0, 0, 0, time.UTC) },
		"largest start":          func(a *enrol.Announcement) { a.Start = time.UnixMilli(math.MaxInt64).UTC() },
		"port 0":                 func(a *enrol.Announcement) { a.Address = netip.AddrPortFrom(a.Address.Addr(), 0) },
		"name of other bytes":    func(a *enrol.Announcement) { a.Name = "t-\xff\xfe" },
		"service of other bytes": func(a *enrol.Announcement) { a.Service = "\xff\xfe" },
		"negative slots":         func(a *enrol.Announcement) { a.Slots = math.MinInt },
	} {
		odd := good
		odd.Name, odd.Seq = "odd", math.MaxUint64
		change(&odd)
		if err := announce(odd); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	good.Seq++
	is.NoErr(announce(good))
	follower := dialFollower(t, group[2].replica)
	update := <-follower.updates
	is.Equal(len(update.Rows), 1)
	is.Equal(update.Rows[0].Name, "t-1")
	is.Equal(update.Rows[0].State, enrol.Ready)
}

// Guards against limits of targets that only a part of the entries learns: those
// of other replicas and those that link later must know them too.
func TestLimitsReachAllEntries(t *testing.T) {
	is := is.New(t)
	group := seedGroup(t, 3, 3, 1)
	for _, r := range group {
		r.run()
	}
	first, second := dialFollower(t, group[0].replica), dialFollower(t, group[2].replica)
	limit := wire.Limit{Service: "ledger", Target: netip.MustParseAddrPort("10.0.0.1:80"), Start: 1, Limited: true, Rate: 2.5}
	waitUntil(t, "the limit reaches the entry of another replica", func() bool {
		is.NoErr(first.conn.Send(wire.KindLimits, wire.List[wire.Limit]{List: []wire.Limit{limit}}))
		select {
		case got := <-second.limits:
			return got.List[0].Rate == limit.Rate && got.List[0].Target == limit.Target
		case <-time.After(50 * time.Millisecond): // the replicas may not be linked yet
			return false
		}
	})
	is.Equal(len(first.limits), 0) // the entry that reported it needs no copy
	for _, r := range group[1:] {
		late := dialFollower(t, r.replica)
		got := <-late.limits
		is.Equal(got.List[0].Rate, limit.Rate)
	}
}

// Guards against crashes that an entry which links later does not learn, and
// against notices of the same crash that go around without end.
func TestCrashesReachAllEntries(t *testing.T) {
	is := is.New(t)
	group := seedGroup(t, 3, 3, 1)
	for _, r := range group {
		r.run()
	}
	first, second := dialFollower(t, group[0].replica), dialFollower(t, group[2].replica)
	report := func(target byte) wire.List[wire.Crash] {
		return wire.List[wire.Crash]{List: []wire.Crash{{
			Print: [16]byte{1}, Target: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, target}), 80), Start: 1,
		}}}
	}
	target := byte(0)
	waitUntil(t, "a crash reaches the entry of another replica", func() bool {
		target++
		is.NoErr(first.conn.Send(wire.KindCrashes, report(target)))
		select {
		case got := <-second.crashes:
			return got.List[0].Target == report(target).List[0].Target
		case <-time.After(50 * time.Millisecond): // the replicas may not be linked yet
			return false
		}
	})
	for range 5 {
		is.NoErr(first.conn.Send(wire.KindCrashes, report(target)))
	}
	target++
	is.NoErr(first.conn.Send(wire.KindCrashes, report(target)))
	is.Equal((<-second.crashes).List[0].Target, report(target).List[0].Target) // the copies were not forwarded
	late := dialFollower(t, group[1].replica)
	is.True(len((<-late.crashes).List) >= 2)
}

// Guards against an entry that changes its primary and does not learn what the new
// one passed on before.
func TestNewPrimarySendsKnownNotices(t *testing.T) {
	is := is.New(t)
	group := seedGroup(t, 1, 1, 0)
	group[0].run()
	reporter := dialFollower(t, group[0].replica)
	e := dialEntry(t, group[0].replica)
	follow := func(primary bool) {
		is.NoErr(e.conn.Send(wire.KindFollow, wire.Follow{Primary: primary}))
		// The answer to a call tells that the replica has handled the messages before it.
		var targets enrol.Update
		is.NoErr(e.conn.Call(t.Context(), wire.KindTargets, wire.Follow{}, &targets))
	}
	follow(false)
	crash := wire.Crash{Print: [16]byte{1}, Target: netip.MustParseAddrPort("10.0.0.1:80"), Start: 1}
	is.NoErr(reporter.conn.Send(wire.KindCrashes, wire.List[wire.Crash]{List: []wire.Crash{crash}}))
	var targets enrol.Update
	is.NoErr(reporter.conn.Call(t.Context(), wire.KindTargets, wire.Follow{}, &targets))
	follow(true)
	is.Equal((<-e.crashes).List[0].Target, crash.Target)
}
