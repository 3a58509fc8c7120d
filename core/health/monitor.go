package health

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

const (
	// recent is the time over which the peers' rate of exceedance is taken.
	recent = 2 * time.Second
	// memory is the time over which the percentile is taken. It is long against
	// the time to a decision, so that a new fault does not move its own bound.
	memory = 10 * time.Second
	// refresh is the interval at which percentiles are taken.
	refresh = time.Second
	// forgive is the time in which an unconfirmed suspicion fades.
	forgive = 10 * time.Second

	// suspicion is the local sum of two more bad than good observations in
	// doubt; below it the weight stays 1.
	suspicion = 3.0
	// reported is the local sum from which a target is reported: three bad
	// observations in a row. From two, noise made half of the control traffic.
	reported = 4.5
	// decline is the sum over which the weight falls by a factor of e.
	decline = 4.0
	// least is the lowest local weight: without traffic there is no evidence.
	least = 0.05
	// ceiling bounds the sum, so that a recovered target is forgiven in time.
	ceiling = 40.0

	// enoughPeers and enoughSamples make a region's own percentile usable.
	enoughPeers   = 2
	enoughSamples = 30
	// coarse multiplies the percentile of the whole service where the region
	// has too few peers: its targets are at other distances.
	coarse = 2
	// prior is the number of observations at the healthy rate that the peers'
	// rate starts from.
	prior = 10
	// saturation is the share of the peers' reported slots in use from which
	// requests wait in queues at healthy targets.
	saturation = 0.9
	// loadMemory is the time over which that share is averaged.
	loadMemory = time.Second
	// queueRate is the rate of exceedance that a healthy target may show for
	// as long as a queue lasts while its peers are saturated.
	queueRate = 0.4
	// enoughSeen is the number of recent observations that make a target count
	// in the self-check.
	enoughSeen = 2
)

// Monitor holds the evidence about the targets of one service.
type Monitor struct {
	service string
	here    string
	epoch   time.Time

	targets   map[netip.AddrPort]*Target
	list      []*Target
	regions   map[string]*region
	order     []*region
	watch     map[netip.AddrPort]struct{}
	ticked    time.Time
	refreshed time.Time
	credit    float64 // messages that may be sent
	credited  time.Time
	blind     bool
	selfcheck func(bad, seen int) bool
	saturated func(share float64) bool
	rows      []wire.Sighted
}

// Option changes a setting of a Monitor.
type Option func(*Monitor)

// WithSelfCheck replaces the rule that takes the observer for the cause.
func WithSelfCheck(blind func(bad, seen int) bool) Option {
	return func(m *Monitor) { m.selfcheck = blind }
}

// WithSaturation replaces the rule that takes the peers for saturated, from
// the share of their slots in use.
func WithSaturation(saturated func(share float64) bool) Option {
	return func(m *Monitor) { m.saturated = saturated }
}

// New returns a monitor of a service, seen from a region.
func New(now time.Time, service, here string, opts ...Option) *Monitor {
	m := &Monitor{
		service: service, here: here, epoch: now.Add(-time.Second),
		targets: map[netip.AddrPort]*Target{}, regions: map[string]*region{},
		ticked: now, refreshed: now, credit: Burst, credited: now,
		selfcheck: func(bad, seen int) bool { return seen >= 3 && 2*bad > seen },
		saturated: func(share float64) bool { return share >= saturation },
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Target returns the handle of a target. A new incarnation gets a clean record.
func (m *Monitor) Target(now time.Time, address netip.AddrPort, started time.Time, place, centre string) *Target {
	if t := m.targets[address]; t != nil {
		if t.Started.Equal(started) {
			return t
		}
		m.Forget(address)
	}
	t := &Target{Address: address, Started: started, Region: place, DataCentre: centre, epoch: m.epoch}
	t.state.weight, t.state.period = 1, now
	_, t.state.watched = m.watch[address]
	m.targets[address] = t
	m.list = append(m.list, t)
	r := m.regions[place]
	if r == nil {
		r = &region{name: place, factor: 1}
		m.regions[place] = r
		m.order = append(m.order, r)
	}
	r.targets = append(r.targets, t)
	return t
}

// Forget drops a target. Its handle stays usable by attempts in flight.
func (m *Monitor) Forget(address netip.AddrPort) {
	t := m.targets[address]
	if t == nil {
		return
	}
	delete(m.targets, address)
	same := func(o *Target) bool { return o == t }
	m.list = slices.DeleteFunc(m.list, same)
	r := m.regions[t.Region]
	r.targets = slices.DeleteFunc(r.targets, same)
}

// Watch replaces the watch list. Evidence about watched targets is reported
// whether it is good or bad.
//
// What was seen before counts only from where the local sum last was zero, and
// not at all where it is not suspicious: good observations of the second before
// a fault would outweigh the first bad ones after it.
func (m *Monitor) Watch(targets []netip.AddrPort) {
	m.watch = make(map[netip.AddrPort]struct{}, len(targets))
	for _, a := range targets {
		m.watch[a] = struct{}{}
	}
	for _, t := range m.list {
		_, watched := m.watch[t.Address]
		if watched && !t.state.watched && t.state.sum < suspicion {
			t.state.clear(m.ticked)
		}
		t.state.watched = watched
	}
}

// Blind reports whether most targets look unhealthy from here, so that the
// observer or a shared dependency is the likely cause.
func (m *Monitor) Blind() bool { return m.blind }

// Tick counts pending attempts, takes the new observations into the sums and
// sets the weights.
func (m *Monitor) Tick(now time.Time) {
	elapsed := now.Sub(m.ticked)
	if elapsed <= 0 {
		return
	}
	m.ticked = now
	fade := math.Exp(-float64(elapsed) / float64(recent))
	relax := math.Exp(-float64(elapsed) / float64(forgive))
	bad, seen := 0, 0
	m.observeLoad(now, elapsed)
	for _, r := range m.order {
		r.collect(now, fade)
		for _, t := range r.targets {
			s := &t.state
			m.advance(now, r, t, relax)
			if s.recentAll >= enoughSeen {
				seen++
				if s.sum >= suspicion || s.recentBad > commonRate*s.recentAll {
					bad++
				}
			}
		}
	}
	m.blind = m.selfcheck(bad, seen)
	if now.Sub(m.refreshed) >= refresh {
		m.refresh(now)
	}
	for _, t := range m.list {
		t.state.weight = m.weigh(t)
	}
}

// advance moves the sum of one target by its new observations.
func (m *Monitor) advance(now time.Time, r *region, t *Target, relax float64) {
	s := &t.state
	step := r.step[t]
	s.sum *= relax
	if !s.watched && s.sum < suspicion && now.Sub(s.period) >= refresh {
		s.clear(now)
	}
	if step.all() == 0 && step.severe == 0 {
		return
	}
	bad, good := Ratio(m.healthy(r, t))
	move := float64(step.bad())*bad + float64(step.good)*good
	s.sum = min(ceiling, max(0, s.sum+move))
	s.score += move
	s.excess += r.failing(t) * float64(step.all())
	s.report = s.report.plus(step)
	if !s.watched && s.sum == 0 {
		s.clear(now)
	}
}

// observeLoad averages the share of their slots that the peers of each target
// use. A single report is no measure: at half load the few peers that an entry
// uses are all busy now and then, and 5% of errors then took 1 s longer to find.
func (m *Monitor) observeLoad(now time.Time, elapsed time.Duration) {
	part := 1 - math.Exp(-float64(elapsed)/float64(loadMemory))
	allUsed, allSlots := 0.0, 0.0
	for _, t := range m.list {
		used, slots := t.reported(now)
		allUsed, allSlots = allUsed+used, allSlots+slots
	}
	for _, t := range m.list {
		used, slots := t.reported(now)
		share := 0.0
		if allSlots > slots {
			share = (allUsed - used) / (allSlots - slots)
		}
		t.state.peers += (share - t.state.peers) * part
	}
}

// healthy is the rate at which a healthy target in the place of this one
// exceeds the percentile of its peers.
func (m *Monitor) healthy(r *region, t *Target) float64 {
	rate := r.rate(t)
	if m.saturated(t.state.peers) {
		return max(rate, queueRate)
	}
	return rate
}

func (m *Monitor) weigh(t *Target) float64 {
	factor := m.regions[t.Region].factor
	if m.blind {
		return factor
	}
	w := 1.0
	if t.state.sum > suspicion {
		w = math.Exp((suspicion - t.state.sum) / decline)
	}
	return max(least, w*factor)
}
