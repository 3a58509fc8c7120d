package agent

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/entry/proxy"
)

// pickEndpoint selects a target of a request that is not in exclude.
func (a *Agent) pickEndpoint(u *upstream, r proxy.Request, exclude []netip.AddrPort, now time.Time) *route.Endpoint {
	if a.registry != nil {
		return u.router.PickByCost(now, rand.Uint64(), a.routeRequest(u, r.Kind, exclude))
	}
	return u.pick(now, r.Kind.Repeatable && !r.Kind.Upload, exclude)
}

// pick selects a target that is not in exclude.
func (u *upstream) pick(now time.Time, repeatable bool, exclude []netip.AddrPort) *route.Endpoint {
	random := rand.Uint64()
	if repeatable && len(exclude) == 0 {
		if e := u.pickProbe(now, random); e != nil {
			return e
		}
	}
	return u.router.PickExcluding(now, random, exclude)
}

// probeInterval is the minimum time between two requests that this entry sends to
// targets in probation of a service, since each of them may be slow or fail.
const probeInterval = 500 * time.Millisecond

// pickProbe returns a target whose health must be measured with a repeatable
// request, or nil: a target in probation, or a suspect that control has begun to
// watch.
func (u *upstream) pickProbe(now time.Time, random uint64) *route.Endpoint {
	last := u.lastProbe.Load()
	if now.UnixNano()-last >= int64(probeInterval) {
		if e := u.router.PickProbation(now, random); e != nil && u.lastProbe.CompareAndSwap(last, now.UnixNano()) {
			return e
		}
	}
	return u.router.PickSuspect(now, random)
}
