package daemon

import (
	"context"
	"net/netip"

	"github.com/galenalock/galenalock/control/relay"
	"github.com/galenalock/galenalock/core/group"
)

// snapshotBytes bounds the log by its size, whatever the number of entries.
const snapshotBytes = 32 << 20

// open opens the data folder.
func (p *parts) open(s *Settings) error {
	g, err := group.New(
		group.WithID(uint64(s.Replica)), group.WithDir(s.Data), group.WithFound(s.Found),
		group.WithPeers(s.Replicas), group.WithMachine(p.machine.seams()), group.WithSend(p.links.Send),
		group.WithLogger(p.log), group.WithClock(s.Clock),
		group.WithSnapshots(uint64(s.Snapshot), snapshotBytes),
	)
	p.group = g
	return err
}

// relayGroup reaches the group that open puts in place.
func (p *parts) relayGroup() relay.Group {
	return relay.Group{
		Propose: func(ctx context.Context, command []byte) ([]byte, error) { return p.group.Propose(ctx, command) },
		Read:    func(ctx context.Context) error { return p.group.Read(ctx) },
		View:    p.machine.view.Load,
	}
}

func (p *parts) add(ctx context.Context, id uint64, addr netip.AddrPort) error {
	return p.group.Add(ctx, id, addr)
}

func (p *parts) remove(ctx context.Context, id uint64) error { return p.group.Remove(ctx, id) }
