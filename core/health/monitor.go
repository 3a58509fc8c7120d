package health

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

const (
	// recentWindow is the time constant of the recent counts, from which the
	// exceedance rate of the peers is computed.
	recentWindow = 2 * time.Second
	// percentileWindow is the time constant of the histograms from which the
	// percentile is computed. It is long compared with the time to a decision, so
	// that a new fault does not raise the bound that it is measured against.
	percentileWindow = 10 * time.Second
	// refreshInterval is the interval at which percentiles are computed.
	refreshInterval = time.Second
	// sumDecayTime is the time constant with which a local sum decays.
	sumDecayTime = 10 * time.Second

	// suspectSum is the local sum from which a target is a suspect, which takes
	// about two more bad than good observations. Up to it the weight stays 1.
	suspectSum = 3.0
	// reportSum is the local sum from which a target is reported, which takes three
	// consecutive bad observations. With two, noise caused half of the control
	// traffic.
	reportSum = 4.5
	// weightDecay is the increase of the sum that divides the weight by e.
	weightDecay = 4.0
	// minWeight is the lowest local weight, above zero because without traffic
	// there is no evidence.
	minWeight = 0.05
	// maxSum bounds the sum, so that a recovered target is not suspect for long.
	maxSum = 40.0

	// minPeers is the number of peers and minSamples the number of latencies from
	// which the percentile of a region is usable.
	minPeers   = 2
	minSamples = 30
	// servicePercentileFactor multiplies the percentile of the whole service, which
	// is used where the region has too few peers, because the targets of other
	// regions are at other distances.
	servicePercentileFactor = 2
	// priorObservations is the number of observations at the healthy rate that are
	// added to those of the peers.
	priorObservations = 10
	// saturationShare is the share of the reported slots of the peers in use from
	// which requests wait in queues at healthy targets.
	saturationShare = 0.9
	// loadWindow is the time constant of the average of that share.
	loadWindow = time.Second
	// queueRate is the exceedance rate that the test allows a healthy target while
	// its peers are saturated.
	queueRate = 0.4
	// minObservations is the number of recent observations from which a target
	// counts in the self-check.
	minObservations = 2
)

// Monitor holds the evidence about the targets of one service.
type Monitor struct {
	service     string
	localRegion string
	epoch       time.Time

	targets       map[netip.AddrPort]*Target
	targetList    []*Target
	regions       map[string]*region
	regionList    []*region
	watchList     map[netip.AddrPort]struct{}
	lastTick      time.Time
	lastRefresh   time.Time
	tokens        float64 // number of messages that may be sent now
	tokensUpdated time.Time
	commonCause   bool
	selfCheck     func(bad, seen int) bool
	saturated     func(share float64) bool
	rows          []wire.TargetEvidence
}

// Option changes a setting of a Monitor.
type Option func(*Monitor)

// WithSelfCheck replaces the rule that decides from the number of unhealthy targets
// and the number of targets with observations whether the entry itself or a shared
// dependency is the likely cause.
func WithSelfCheck(commonCause func(bad, seen int) bool) Option {
	return func(m *Monitor) { m.selfCheck = commonCause }
}

// WithSaturation replaces the rule that decides from the share of the slots of the
// peers in use whether the peers are saturated.
func WithSaturation(saturated func(share float64) bool) Option {
	return func(m *Monitor) { m.saturated = saturated }
}

// New returns a monitor of a service for an entry in the given region.
func New(now time.Time, service, localRegion string, opts ...Option) *Monitor {
	m := &Monitor{
		service: service, localRegion: localRegion, epoch: now.Add(-time.Second),
		targets: map[netip.AddrPort]*Target{}, regions: map[string]*region{},
		lastTick: now, lastRefresh: now, tokens: MessageBurst, tokensUpdated: now,
		selfCheck: func(bad, seen int) bool { return seen >= 3 && 2*bad > seen },
		saturated: func(share float64) bool { return share >= saturationShare },
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Target returns the handle of a target. A new incarnation gets a new handle
// without evidence.
func (m *Monitor) Target(now time.Time, address netip.AddrPort, started time.Time, regionName, dataCentre string) *Target {
	if t := m.targets[address]; t != nil {
		if t.Started.Equal(started) {
			return t
		}
		m.Forget(address)
	}
	t := &Target{Address: address, Started: started, Region: regionName, DataCentre: dataCentre, epoch: m.epoch}
	t.state.weight, t.state.reportStart = 1, now
	_, t.state.watched = m.watchList[address]
	m.targets[address] = t
	m.targetList = append(m.targetList, t)
	r := m.regions[regionName]
	if r == nil {
		r = &region{name: regionName, weightFactor: 1}
		m.regions[regionName] = r
		m.regionList = append(m.regionList, r)
	}
	r.targets = append(r.targets, t)
	return t
}

// Forget removes a target. Its handle remains usable for attempts in flight.
func (m *Monitor) Forget(address netip.AddrPort) {
	t := m.targets[address]
	if t == nil {
		return
	}
	delete(m.targets, address)
	same := func(o *Target) bool { return o == t }
	m.targetList = slices.DeleteFunc(m.targetList, same)
	r := m.regions[t.Region]
	r.targets = slices.DeleteFunc(r.targets, same)
}

// SetWatched replaces the watch list. Evidence about watched targets is reported
// whether it is good or bad.
//
// Of the observations made before a target is watched, those since the local sum
// was last zero count if the target is a suspect, and none otherwise: the good
// observations of the second before a fault would outweigh the first bad ones
// after it.
func (m *Monitor) SetWatched(targets []netip.AddrPort) {
	m.watchList = make(map[netip.AddrPort]struct{}, len(targets))
	for _, a := range targets {
		m.watchList[a] = struct{}{}
	}
	for _, t := range m.targetList {
		_, watched := m.watchList[t.Address]
		if watched && !t.state.watched && t.state.sum < suspectSum {
			t.state.resetReport(m.lastTick)
		}
		t.state.watched = watched
	}
}

// CommonCause reports whether most targets look unhealthy to this entry, so that
// the entry itself or a shared dependency is the likely cause.
func (m *Monitor) CommonCause() bool { return m.commonCause }

// Tick counts pending attempts that exceed the percentile, adds the new
// observations to the sums and sets the weights.
func (m *Monitor) Tick(now time.Time) {
	elapsed := now.Sub(m.lastTick)
	if elapsed <= 0 {
		return
	}
	m.lastTick = now
	recentDecay := math.Exp(-float64(elapsed) / float64(recentWindow))
	sumDecay := math.Exp(-float64(elapsed) / float64(sumDecayTime))
	bad, seen := 0, 0
	m.averageLoad(now, elapsed)
	for _, r := range m.regionList {
		r.collect(now, recentDecay)
		for _, t := range r.targets {
			s := &t.state
			m.updateSum(now, r, t, sumDecay)
			if s.recentAll >= minObservations {
				seen++
				if s.sum >= suspectSum || s.recentBad > commonRate*s.recentAll {
					bad++
				}
			}
		}
	}
	m.commonCause = m.selfCheck(bad, seen)
	if now.Sub(m.lastRefresh) >= refreshInterval {
		m.refresh(now)
	}
	for _, t := range m.targetList {
		t.state.weight = m.localWeight(t)
	}
}

// updateSum decays the sum of one target and adds its new observations.
func (m *Monitor) updateSum(now time.Time, r *region, t *Target, sumDecay float64) {
	s := &t.state
	increment := r.increments[t]
	s.sum *= sumDecay
	if !s.watched && s.sum < suspectSum && now.Sub(s.reportStart) >= refreshInterval {
		s.resetReport(now)
	}
	if increment.all() == 0 && increment.severe == 0 {
		return
	}
	bad, good := LogRatios(m.healthyExceedance(r, t))
	change := float64(increment.bad())*bad + float64(increment.good)*good
	s.sum = min(maxSum, max(0, s.sum+change))
	s.score += change
	s.sharedFailures += r.peerFailureRate(t) * float64(increment.all())
	s.unreported = s.unreported.plus(increment)
	if !s.watched && s.sum == 0 {
		s.resetReport(now)
	}
}

// averageLoad averages, for each target, the share of the slots of its peers that
// is in use. Single reports do not suffice: at half load the few peers that an
// entry uses are sometimes all busy at once, and without the average a target with
// 5% of errors then took 1 s longer to detect.
func (m *Monitor) averageLoad(now time.Time, elapsed time.Duration) {
	gain := 1 - math.Exp(-float64(elapsed)/float64(loadWindow))
	allUsed, allSlots := 0.0, 0.0
	for _, t := range m.targetList {
		used, slots := t.reportedLoad(now)
		allUsed, allSlots = allUsed+used, allSlots+slots
	}
	for _, t := range m.targetList {
		used, slots := t.reportedLoad(now)
		share := 0.0
		if allSlots > slots {
			share = (allUsed - used) / (allSlots - slots)
		}
		t.state.peerLoad += (share - t.state.peerLoad) * gain
	}
}

// healthyExceedance returns the rate at which a healthy target in the place of t
// would exceed the percentile of its peers.
func (m *Monitor) healthyExceedance(r *region, t *Target) float64 {
	rate := r.peerExceedance(t)
	if m.saturated(t.state.peerLoad) {
		return max(rate, queueRate)
	}
	return rate
}

// localWeight returns the weight that the entry gives a target.
func (m *Monitor) localWeight(t *Target) float64 {
	factor := m.regions[t.Region].weightFactor
	if m.commonCause {
		return factor
	}
	w := 1.0
	if t.state.sum > suspectSum {
		w = math.Exp((suspectSum - t.state.sum) / weightDecay)
	}
	return max(minWeight, w*factor)
}
