package daemon

import (
	"context"
	"net/netip"

	"github.com/galenalock/galenalock/core/group"
)

// snapshotBytes bounds the log by its size, whatever the number of entries.
const snapshotBytes = 32 << 20

// open opens the data folder.
func (p *parts) open(s *Settings) error {
	g, err := group.New(
		group.WithID(s.replica()), group.WithDir(s.Data), group.WithFound(s.founds()),
		group.WithPeers(s.founders()), group.WithMachine(p.machine.seams()), group.WithSend(p.links.Send),
		group.WithLogger(p.log), group.WithClock(s.Clock),
		group.WithSnapshotInterval(uint64(s.Snapshot), snapshotBytes),
	)
	p.group = g
	return err
}

func (p *parts) add(ctx context.Context, id uint64, addr netip.AddrPort) error {
	return p.group.Add(ctx, id, addr)
}

func (p *parts) remove(ctx context.Context, id uint64) error { return p.group.Remove(ctx, id) }
