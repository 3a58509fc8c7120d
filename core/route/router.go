package route

import (
	"net/netip"
	"sync/atomic"
	"time"
)

// The tiers, nearest first.
const (
	sameDataCentre = iota
	sameRegion
	elsewhere
	tiers
)

const (
	// spill is the share of a target's slots above which a farther data centre
	// is considered. Queueing at a target grows steeply beyond it.
	spill = 0.8
	// spillFar is the same for another region: its links are slow and billed by
	// volume, so that a short queue nearby is better.
	spillFar = 1.2
	// least keeps a weight above zero: without traffic there is no evidence.
	least = 0.02
	// rampStart is the weight at which slow start begins.
	rampStart = 0.1
)

// distances are the assumed latencies per tier until a target has been
// measured; the steps are those of the platform between and inside regions.
var distances = [tiers]time.Duration{2 * time.Millisecond, 4 * time.Millisecond, 42 * time.Millisecond}

// Router chooses among the targets of one service.
type Router struct {
	here  Here
	ramp  time.Duration
	meter func(region string, sent, received int64)
	epoch time.Time

	latency atomic.Int64 // average over all endpoints in nanoseconds, 0: none yet
	pace    pace         // of the requests of this entry

	known   map[netip.AddrPort]*Endpoint
	current atomic.Pointer[snapshot]
}

// Option changes a setting of a Router.
type Option func(*Router)

// WithRamp sets the length of the slow start.
func WithRamp(d time.Duration) Option { return func(r *Router) { r.ramp = d } }

// WithMeter sets the hook that counts traffic with other regions. It is called
// from traffic goroutines.
func WithMeter(count func(region string, sent, received int64)) Option {
	return func(r *Router) { r.meter = count }
}

// New returns a router without targets. The ages of reports count from now.
func New(now time.Time, here Here, opts ...Option) *Router {
	r := &Router{here: here, ramp: 10 * time.Second, epoch: now.Add(-time.Second), known: map[netip.AddrPort]*Endpoint{}}
	for _, opt := range opts {
		opt(r)
	}
	r.current.Store(&snapshot{})
	return r
}

// Update publishes a new snapshot. Peers lists the instances that choose among
// these targets, this one included; an empty list means this one alone. Only
// the control goroutine calls it.
func (r *Router) Update(now time.Time, targets []Target, peers []Peer) {
	share := assign(r.here, targets, peers)
	known := make(map[netip.AddrPort]*Endpoint, len(targets))
	next := &snapshot{peers: r.near(peers)}
	for i := range next.tiers {
		next.tiers[i].base = distances[i]
	}
	for i := range targets {
		t := &targets[i]
		e := r.endpoint(t)
		known[t.Address] = e
		connections := share[i]
		e.limit.Store(int64(connections))
		switch {
		case t.Drained || connections == 0:
		case t.Probe:
			next.probes = append(next.probes, e)
		case !t.Out:
			slots := float64(max(1, t.Slots))
			next.tiers[r.distance(t)].add(member{endpoint: e, weight: r.weight(now, t), slots: slots})
			if until := t.Watched.Add(sampled); r.distance(t) == sameDataCentre && now.Before(until) {
				next.samples = append(next.samples, sample{endpoint: e, slots: slots, until: until})
			}
		}
	}
	r.known = known
	r.current.Store(next)
}

// Endpoint returns the endpoint of a target of the last Update, or nil. Only
// the control goroutine calls it.
func (r *Router) Endpoint(address netip.AddrPort) *Endpoint { return r.known[address] }

func (r *Router) endpoint(t *Target) *Endpoint {
	if e := r.known[t.Address]; e != nil && e.start.Equal(t.Start) {
		return e
	}
	return &Endpoint{
		address: t.Address, start: t.Start, region: t.Region, tag: t.Tag,
		crossing: t.Region != r.here.Region, epoch: r.epoch, meter: r.meter,
		suspicion: t.Suspicion, service: &r.latency,
	}
}

// near counts the peers of the region, this instance included.
func (r *Router) near(peers []Peer) int {
	n := 1
	for _, p := range peers {
		if p.Region == r.here.Region && p.Instance != r.here.Instance {
			n++
		}
	}
	return n
}

func (r *Router) distance(t *Target) int {
	switch {
	case t.Region != r.here.Region:
		return elsewhere
	case t.DataCentre != r.here.DataCentre:
		return sameRegion
	}
	return sameDataCentre
}

func (r *Router) weight(now time.Time, t *Target) float64 {
	w := t.Weight
	if age := now.Sub(t.Ready); r.ramp > 0 && age < r.ramp {
		w *= max(rampStart, float64(age)/float64(r.ramp))
	}
	return min(1, max(least, w))
}
