package daemon

import (
	"context"
	"net/netip"

	"github.com/galenalock/galenalock/core/group"
)

// openGroup opens the data directory.
func (p *parts) openGroup(s *Settings) error {
	g, err := group.New(
		group.WithID(s.replicaNumber()), group.WithDir(s.Data), group.WithFound(s.mayFound()),
		group.WithPeers(s.founderAddresses()), group.WithMachine(p.machine.callbacks()), group.WithSend(p.links.SendRaft),
		group.WithLeaderHook(p.leaderChanged),
		group.WithLogger(p.log), group.WithClock(s.Clock),
		group.WithSnapshotInterval(uint64(s.Snapshot), s.logBytes()),
	)
	p.group = g
	return err
}

func (p *parts) addReplica(ctx context.Context, id uint64, addr netip.AddrPort) error {
	return p.group.Add(ctx, id, addr)
}

func (p *parts) removeReplica(ctx context.Context, id uint64) error { return p.group.Remove(ctx, id) }
