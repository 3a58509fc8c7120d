package daemon_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/wire"
)

// crowd is the load of many entries and targets on one replica: calls for a
// confirmation that are repeated when they end, and announcements.
type crowd struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
}

func startCrowd(t *testing.T, r *seededReplica) *crowd {
	ctx, cancel := context.WithCancel(t.Context())
	c := &crowd{cancel: cancel}
	for i := range linksPerReplica {
		c.group.Go(func() { askThroughLink(ctx, t, r, i) })
	}
	for i := range targetsPerReplica {
		name := fmt.Sprintf("%s-%d", r.settings.Instance, i)
		c.group.Go(func() { announceRepeatedly(ctx, r, name, i) })
	}
	return c
}

func (c *crowd) stop() {
	c.cancel()
	c.group.Wait()
}

const (
	linksPerReplica   = 9
	callsPerLink      = 100
	targetsPerReplica = 150
)

func askThroughLink(ctx context.Context, t *testing.T, r *seededReplica, number int) {
	dialer := link.NewDialer(link.WithHello(func() wire.Hello {
		return wire.Hello{
			Fleet: fleetName(t), Instance: fmt.Sprintf("entry-%s-%d", r.settings.Instance, number), Role: wire.RoleEntry,
			Region: "salish", DataCentre: "salish-1", Use: wire.UseControl,
		}
	}), link.WithHandler(func(*link.Conn, wire.Message) (any, error) { return nil, nil }))
	for ctx.Err() == nil {
		c, err := dialer.Dial(ctx, r.settings.Peer)
		if err != nil {
			<-time.After(5 * time.Millisecond)
			continue
		}
		var calls sync.WaitGroup
		for range callsPerLink {
			calls.Go(func() {
				for ctx.Err() == nil && !c.Ended() {
					callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
					_ = c.Call(callCtx, wire.KindConfirm, wire.Confirm{}, nil)
					cancel()
					<-time.After(100 * time.Millisecond)
				}
			})
		}
		calls.Wait()
		c.Close("test over")
	}
}

func announceRepeatedly(ctx context.Context, r *seededReplica, name string, number int) {
	start := time.Now()
	for seq := uint64(1); ctx.Err() == nil; seq++ {
		callCtx, cancel := context.WithTimeout(ctx, 850*time.Millisecond)
		_ = r.services.Announce(callCtx, enrol.Announcement{
			Name: name, Service: "ledger", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(number >> 8), byte(number)}), 80),
			DataCentre: "salish-1", Slots: 6, State: enrol.Ready, Start: start, Seq: seq,
		})
		cancel()
		<-time.After(500 * time.Millisecond)
	}
}

// Guards against a control group that does not form, or does not form again, while the
// entries and targets of a large fleet ask.
func TestGroupFormsWhileALargeFleetAsks(t *testing.T) {
	is := is.New(t)
	group := seedGroup(t, 5, 3, 2)
	crowds := make([]*crowd, len(group))
	start := func(i int) { crowds[i] = startCrowd(t, group[i]) }
	for i, r := range group {
		r.run()
		start(i)
	}
	defer func() {
		for _, c := range crowds {
			c.stop()
		}
	}()
	submitRanked(t, group, 1)
	awaitRank(t, group, 1)
	for i, r := range group[:3] {
		crowds[i].stop()
		r.stop()
		rank := uint64(i + 2)
		submitRanked(t, group, rank)
		r.restart()
		start(i)
		awaitRank(t, group, rank)
	}
	for i, r := range group {
		crowds[i].stop()
		r.stop()
	}
	for i, r := range group {
		r.restart()
		start(i)
	}
	submitRanked(t, group, 5)
	awaitRank(t, group, 5)
	confirmed, err := confirmOnce(t, group[0])
	is.NoErr(err)
	is.True(confirmed.Number > 0)
}

// confirmOnce asks a replica for a confirmation until it answers.
func confirmOnce(t *testing.T, r *seededReplica) (wire.Confirmed, error) {
	t.Helper()
	e := dialEntry(t, r.replica)
	var confirmed wire.Confirmed
	var fault *wire.FaultError
	for {
		err := e.conn.Call(t.Context(), wire.KindConfirm, wire.Confirm{}, &confirmed)
		if !errors.As(err, &fault) {
			return confirmed, err
		}
	}
}
