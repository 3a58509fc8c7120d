package gossip_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/gossip"
)

// Guards against a delayed renewal that revives a target after it left. Without
// versions or without tombstones, the target is revived.
func TestDelayedRenewalDoesNotRevive(t *testing.T) {
	noVersions := gossip.WithNewer(func(_, _ *gossip.Record) bool { return true })
	noTombstones := gossip.WithTombstones(func(*gossip.Record) bool { return false })
	history := []*gossip.Record{
		target(1, gossip.StateReady), target(3, gossip.StateLeaving), target(3, gossip.StateLeft),
	}
	for _, c := range []struct {
		name    string
		opts    []gossip.Option
		steps   int
		revives bool
	}{
		{"leaving", nil, 2, false},
		{"left", nil, 3, false},
		{"leaving without versions", []gossip.Option{noVersions}, 2, true},
		{"left without tombstones", []gossip.Option{noTombstones}, 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			core := gossip.New(append(c.opts, gossip.WithSelf("a", epoch, gossip.Instance{}))...)
			for i, r := range history[:c.steps] {
				core.Receive(epoch.Add(time.Duration(i)*time.Second), "b", &gossip.Message{Records: []*gossip.Record{r}})
			}
			// A later sequence number of the same incarnation does not revive it either.
			for _, late := range []*gossip.Record{target(2, gossip.StateReady), target(9, gossip.StateDraining)} {
				core.Receive(epoch.Add(4*time.Second), "b", &gossip.Message{Records: []*gossip.Record{late}})
				r := core.Get(gossip.KindTarget, late.Key)
				is.Equal(r.State == late.State, c.revives)
			}
			next := target(1, gossip.StateReady)
			next.Start = epoch.Add(time.Minute)
			core.Receive(epoch.Add(time.Minute), "b", &gossip.Message{Records: []*gossip.Record{next}})
			is.Equal(core.Get(gossip.KindTarget, next.Key).State, gossip.StateReady) // a new incarnation is accepted
		})
	}
}

// Guards against tombstones that accumulate in memory, and against two cores that
// keep sending an expired one to each other.
func TestTombstonesExpire(t *testing.T) {
	is := is.New(t)
	a := gossip.New(gossip.WithSelf("a", epoch, gossip.Instance{}))
	before := a.Root()
	a.Put(epoch, target(1, gossip.StateGone))
	is.True(a.Root() != before)
	a.Tick(epoch.Add(59 * time.Minute))
	is.Equal(a.Stats().Tombstones, 1)
	a.Tick(epoch.Add(61 * time.Minute))
	is.Equal(a.Root(), before)        // no longer in the digest
	is.Equal(a.Stats().Tombstones, 1) // still blocks older records
	a.Tick(epoch.Add(66 * time.Minute))
	is.Equal(a.Stats().Tombstones, 0)
	old := target(1, gossip.StateGone)
	old.Age = time.Hour
	a.Receive(epoch.Add(66*time.Minute), "b", &gossip.Message{Records: []*gossip.Record{old}})
	is.Equal(a.Stats().Tombstones, 0)
}

// Guards against a live instance that is declared gone because it does not refute
// a suspicion.
func TestRefutesSuspicion(t *testing.T) {
	is := is.New(t)
	core := gossip.New(gossip.WithSelf("a", epoch, gossip.Instance{}))
	core.SetState(epoch, gossip.StateReady)
	core.Linked(epoch, "b", false)
	suspicion := *core.Self()
	suspicion.State = gossip.StateSuspect
	var sent []gossip.State
	for _, a := range core.Receive(epoch.Add(time.Second), "b", &gossip.Message{Records: []*gossip.Record{&suspicion}}) {
		if a.Type == gossip.Send {
			sent = append(sent, a.Message.Records[0].State)
		}
	}
	is.Equal(sent, []gossip.State{gossip.StateReady})
	is.True(gossip.Newer(&suspicion, core.Self()))
}
