package agent

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/route"
)

// pick selects a target outside exclude.
func (u *upstream) pick(now time.Time, repeat bool, exclude []netip.AddrPort) *route.Endpoint {
	draw := rand.Uint64()
	if repeat && len(exclude) == 0 {
		if e := u.probe(now, draw); e != nil {
			return e
		}
	}
	return u.router.PickOutside(now, draw, exclude)
}

// probeEvery is the time between two requests of this entry to a target in
// probation; each may be slow or fail.
const probeEvery = 500 * time.Millisecond

// probe returns a target that needs evidence and may take a repeatable request:
// one in probation, or a suspect that control has begun to watch.
func (u *upstream) probe(now time.Time, draw uint64) *route.Endpoint {
	last := u.probed.Load()
	if now.UnixNano()-last >= int64(probeEvery) {
		if e := u.router.Probe(draw); e != nil && u.probed.CompareAndSwap(last, now.UnixNano()) {
			return e
		}
	}
	return u.router.Sample(now, draw)
}
