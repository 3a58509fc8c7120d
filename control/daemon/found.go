package daemon

import (
	"context"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/wire"
)

// probeTimeout is several times what a working group needs to confirm its
// newest revision across regions.
const probeTimeout = 500 * time.Millisecond

// mayFound reports whether the settings found a group and no other replica
// belongs to one already. When a disk is lost while found is still set, the
// replica has to recover from the others: as a founder it would vote as if it
// had never acknowledged anything.
func (d *Daemon) mayFound(ctx context.Context) bool {
	s := &d.settings
	if !s.Found {
		return false
	}
	files, err := os.ReadDir(s.Data)
	if err == nil && len(files) > 0 {
		return true // a folder in use ignores the setting
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var exists atomic.Bool
	var wait sync.WaitGroup
	for id, to := range s.Replicas {
		if id == uint64(s.Replica) {
			continue
		}
		wait.Go(func() {
			if d.confirms(ctx, to) {
				exists.Store(true)
				cancel()
			}
		})
	}
	wait.Wait()
	if exists.Load() {
		d.parts.log.Warn("found ignored, the group exists")
		return false
	}
	return true
}

// confirms reports whether a replica answers for a group with a majority.
func (d *Daemon) confirms(ctx context.Context, to netip.AddrPort) bool {
	opts := []link.Option{
		link.WithHello(func() wire.Hello {
			hello := d.hello()
			hello.Replica = 0 // asks as an instance that is no replica yet
			return hello
		}),
		link.WithHandler(func(*link.Conn, wire.Message) (any, error) { return nil, nil }),
	}
	if d.parts.certs != nil {
		opts = append(opts, link.WithTLS(d.parts.certs.Client()))
	}
	c, err := link.NewDialer(opts...).Dial(ctx, to)
	if err != nil {
		return false
	}
	defer c.Close("asked")
	return c.Call(ctx, wire.KindConfirm, wire.Confirm{}, &wire.Confirmed{}) == nil
}
