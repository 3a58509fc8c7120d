package route

import (
	"net/netip"
	"sync/atomic"
	"time"
)

// Tiers of targets by distance, nearest first.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
	tierCount
)

const (
	// spillUse is the utilization of a target above which another data centre is
	// considered. Queueing at a target grows steeply beyond it.
	spillUse = 0.8
	// spillUseOtherRegion is the same for another region. Links to other regions
	// are slow and billed by volume, so a short queue nearby is preferable.
	spillUseOtherRegion = 1.2
	// minWeight keeps weights above zero, because a target without traffic gives
	// no evidence of its health.
	minWeight = 0.02
	// slowStartWeight is the weight at the beginning of slow start.
	slowStartWeight = 0.1
)

// assumedLatencies are the latencies per tier that are assumed for a target
// without a sample. The differences are the latencies of the platform within
// and between regions.
var assumedLatencies = [tierCount]time.Duration{2 * time.Millisecond, 4 * time.Millisecond, 42 * time.Millisecond}

// Router chooses among the targets of one service. Update and Endpoint belong to
// the control goroutine, all other methods are safe for concurrent use.
type Router struct {
	location     Location
	slowStart    time.Duration
	countTraffic func(region string, sent, received int64)
	epoch        time.Time

	latency         atomic.Int64    // moving average over all endpoints in nanoseconds, 0 if unknown
	requestInterval requestInterval // between requests of this entry
	hasIdle         func(target netip.AddrPort, nonRepeatable bool) bool
	dials           dialCredit
	lastRefusal     atomic.Int64 // nanoseconds since the epoch, 0: none

	endpoints map[netip.AddrPort]*Endpoint
	places    map[string]*place // by data centre; used by the control goroutine
	current   atomic.Pointer[snapshot]
}

// Option configures a Router.
type Option func(*Router)

// WithSlowStart sets the duration of slow start.
func WithSlowStart(d time.Duration) Option { return func(r *Router) { r.slowStart = d } }

// WithTrafficCounter sets the hook that counts the bytes exchanged with other
// regions. It is called from traffic goroutines.
func WithTrafficCounter(count func(region string, sent, received int64)) Option {
	return func(r *Router) { r.countTraffic = count }
}

// New returns a router without targets. Load reports are timestamped relative
// to now.
func New(now time.Time, location Location, opts ...Option) *Router {
	r := &Router{location: location, slowStart: 10 * time.Second, epoch: now.Add(-time.Second), endpoints: map[netip.AddrPort]*Endpoint{}, places: map[string]*place{}}
	for _, opt := range opts {
		opt(r)
	}
	r.current.Store(&snapshot{})
	return r
}

// Update publishes a new snapshot. peers lists the instances that choose among
// these targets, this one included; an empty list means this one alone. Only
// the control goroutine may call it.
func (r *Router) Update(now time.Time, targets []Target, peers []Peer) {
	connections := assignConnections(r.location, targets, peers)
	endpoints := make(map[netip.AddrPort]*Endpoint, len(targets))
	next := &snapshot{regionPeers: r.countRegionPeers(peers)}
	for i := range next.tiers {
		next.tiers[i].assumedLatency = assumedLatencies[i]
	}
	for i := range targets {
		t := &targets[i]
		e := r.endpointFor(now, t)
		endpoints[t.Address] = e
		limit := max(connections[i], limitedConnections(t))
		e.connectionLimit.Store(int64(limit))
		if t.Region == r.location.Region && !t.Drained && !t.OutOfService {
			next.regionTargets++
		}
		switch {
		case t.Drained || limit == 0:
		case t.InProbation:
			next.probes = append(next.probes, e)
		case !t.OutOfService:
			slots := float64(max(1, t.Slots))
			next.tiers[r.tierOf(t)].add(member{endpoint: e, weight: r.weight(now, t), slots: slots})
			if until := t.SuspectSince.Add(sampleDuration); r.tierOf(t) == sameDataCentre && now.Before(until) {
				next.suspects = append(next.suspects, suspect{endpoint: e, slots: slots, until: until})
			}
		}
	}
	r.endpoints = endpoints
	r.current.Store(next)
}

// limitedConnections returns the number of connections that this instance needs for
// its share of the limit of a target, also if the target is not in its subset: the
// shares are not distributed by subset.
func limitedConnections(t *Target) int {
	if t.Quota == nil {
		return 0
	}
	return min(maxConnections, t.Quota.Share())
}

// Endpoint returns the endpoint of a target of the last Update, or nil. Only
// the control goroutine may call it.
func (r *Router) Endpoint(address netip.AddrPort) *Endpoint { return r.endpoints[address] }

// endpointFor returns the existing endpoint of the target, or a new one if the
// target has a new incarnation.
func (r *Router) endpointFor(now time.Time, t *Target) *Endpoint {
	if e := r.endpoints[t.Address]; e != nil && e.start.Equal(t.Start) {
		return e
	}
	e := &Endpoint{
		address: t.Address, start: t.Start, region: t.Region, tag: t.Tag,
		crossRegion: t.Region != r.location.Region, epoch: r.epoch, countTraffic: r.countTraffic,
		suspicion: t.Suspicion, quota: t.Quota, serviceLatency: &r.latency, place: r.placeOf(t.DataCentre),
	}
	if len(r.endpoints) > 0 {
		e.freshUntil = now.Add(freshDuration)
	}
	return e
}

// countRegionPeers counts the instances of the router's region, including this
// one.
func (r *Router) countRegionPeers(peers []Peer) int {
	n := 1
	for _, p := range peers {
		if p.Region == r.location.Region && p.Instance != r.location.Instance {
			n++
		}
	}
	return n
}

func (r *Router) tierOf(t *Target) int {
	switch {
	case t.Region != r.location.Region:
		return otherRegion
	case t.DataCentre != r.location.DataCentre:
		return sameRegion
	}
	return sameDataCentre
}

func (r *Router) weight(now time.Time, t *Target) float64 {
	w := t.Weight
	if age := now.Sub(t.ReadySince); r.slowStart > 0 && age < r.slowStart {
		w *= max(slowStartWeight, float64(age)/float64(r.slowStart))
	}
	return min(1, max(minWeight, w))
}
