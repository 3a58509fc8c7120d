package daemon_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/control/daemon"
	"github.com/galenalock/galenalock/core/enrol"
)

// seeded is a replica that finds the others from seeds.
type seeded struct {
	*replica
	services daemon.Services
}

// seedGroup binds replicas of which the first ones are the seeds. Founding needs
// the addresses of all seeds, so none runs yet.
func seedGroup(t *testing.T, size, seeds, tolerance int) []*seeded {
	t.Helper()
	addresses := make([]netip.AddrPort, seeds)
	out := make([]*seeded, size)
	for i := range out {
		out[i] = newSeeded(t, i+1, addresses, tolerance)
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

func newSeeded(t *testing.T, id int, seeds []netip.AddrPort, tolerance int) *seeded {
	s := &seeded{replica: &replica{t: t, settings: settings(t, id, nil), scheme: "http", client: client}}
	s.settings.Seeds, s.settings.Tolerance, s.settings.Found = seeds, tolerance, true
	s.settings.Regions = map[string]string{"salish-1": "salish"}
	s.settings.Outside = func(services daemon.Services) http.Handler {
		s.services = services
		return http.NotFoundHandler()
	}
	s.bind()
	return s
}

// again starts a replica again, with or without its disk.
func (s *seeded) again(wipe bool) {
	s.t.Helper()
	if wipe {
		if err := os.RemoveAll(s.settings.Data); err != nil {
			s.t.Fatal(err)
		}
	}
	s.restart()
}

// submit submits until some replica takes it.
func submitRanked(t *testing.T, group []*seeded, rank uint64) {
	t.Helper()
	until(t, fmt.Sprintf("rank %d accepted", rank), func() bool {
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

// holds waits until every running replica answers a rank.
func holds(t *testing.T, group []*seeded, rank uint64) {
	t.Helper()
	for _, r := range group {
		if r.cancel == nil {
			continue
		}
		until(t, fmt.Sprintf("%s answers rank %d", r.settings.Instance, rank), func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			got, _, err := r.services.Newest(ctx)
			return err == nil && got == rank
		})
	}
}

func until(t *testing.T, what string, reached func() bool) {
	t.Helper()
	const bound = 60 * time.Second
	for end := time.Now().Add(bound); !reached(); {
		if time.Now().After(end) {
			t.Fatalf("not reached in %s: %s", bound, what)
		}
		<-time.After(5 * time.Millisecond)
	}
}

// voters counts the voters as a replica knows them.
func (s *seeded) voters() int {
	_, doc := s.ask(http.MethodGet, "/v1/replicas", nil)
	n := 0
	list, _ := doc["replicas"].([]any)
	for _, one := range list {
		if r, ok := one.(map[string]any); ok && r["learner"] != true {
			n++
		}
	}
	return n
}

// Guards against two groups, and against one that stays at its founders: of
// five replicas the three seeds found, in an order in which a joiner starts
// first and a seed last.
func TestSeedsFoundOneGroup(t *testing.T) {
	is := is.New(t)
	group := seedGroup(t, 5, 3, 2)
	for _, i := range []int{4, 1, 3, 0, 2} {
		group[i].run()
	}
	submitRanked(t, group, 7)
	holds(t, group, 7)
	until(t, "five voters", func() bool { return group[0].voters() == 5 })

	submitRanked(t, group, 12)
	_, err := group[3].services.Submit(t.Context(), 9, "c", []byte(serviceText(9)))
	is.NoErr(err) // held: a higher one is in force
	holds(t, group, 12)

	// The tolerated losses at once, right after the acknowledgement.
	for _, i := range []int{1, 4} {
		group[i].stop()
	}
	for _, i := range []int{1, 4} {
		group[i].again(true)
	}
	holds(t, group, 12)
	until(t, "five voters", func() bool { return group[2].voters() == 5 })
}

// Guards against a fleet that never acknowledges because it has fewer replicas
// than the wanted voters, and against seeds that found a second group when they
// start again without their disks.
func TestFewReplicas(t *testing.T) {
	group := seedGroup(t, 2, 2, 2)
	for _, r := range group {
		r.run()
	}
	submitRanked(t, group, 3)
	holds(t, group, 3)
	for _, r := range group {
		r.stop()
		r.again(false)
	}
	holds(t, group, 3)
}

// Guards against a voter that is gone and not replaced, and against a new
// replica that knows only seeds that are gone but one.
func TestReplacedReplica(t *testing.T) {
	is := is.New(t)
	group := seedGroup(t, 3, 3, 1)
	for _, r := range group {
		r.run()
	}
	submitRanked(t, group, 1)
	holds(t, group, 1)
	group[0].stop()
	group[0].cancel = nil

	fresh := newSeeded(t, 9, []netip.AddrPort{group[0].settings.Peer, group[2].settings.Peer}, 1)
	fresh.settings.Found = false
	t.Cleanup(fresh.stop)
	fresh.run()
	group = append(group, fresh)
	submitRanked(t, group, 2)
	holds(t, group, 2)
	until(t, "the new replica votes", func() bool {
		_, doc := fresh.ask(http.MethodGet, "/v1/replicas", nil)
		text := fmt.Sprint(doc)
		return fresh.voters() == 3 && strings.Contains(text, fresh.settings.Peer.String()) && !strings.Contains(text, group[0].settings.Peer.String())
	})
	group[1].stop() // the second failure right after the repair
	submitRanked(t, group[2:], 3)
	holds(t, group[2:], 3)
	is.Equal(fresh.voters(), 3)
}

// Guards against an acknowledged announcement that only its receiver knows, and
// against a silent target that is not noticed.
func TestAnnouncementsBindTheFleet(t *testing.T) {
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
	announce := func(r *seeded) {
		until(t, "announcement taken", func() bool {
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

	late := a
	late.Seq, late.State = 1, enrol.Ready
	var stale *daemon.StaleError
	until(t, "late announcement refused", func() bool {
		// A replica that lags takes it for a heartbeat, which changes nothing.
		return errors.As(group[1].services.Announce(t.Context(), late), &stale)
	})
	is.True((<-e.updates).Rows[0].Silent) // it has not announced itself for a second
}
