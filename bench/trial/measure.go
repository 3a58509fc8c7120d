package trial

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// detectionGap is the time without an ordinary request to an unhealthy
	// target after which its fault counts as detected.
	detectionGap = 3 * time.Second
	// ejectionGrace is how long after a fault an ejection still counts as
	// true: evidence is on its way, and the target works off its queue.
	ejectionGrace = 2 * time.Second
	// Range of the latency histogram in microseconds, and its significant
	// digits.
	minLatency, maxLatency, latencyDigits = 1, 20_000_000, 3
)

// metrics collects the figures of one run after the warm-up.
type metrics struct {
	latency          *hdrhistogram.Histogram
	offeredWeight    float64
	answeredWeight   float64
	retries          int64
	interRegionBytes int64
	controlBytes     int64 // on links to the leader
	floorViolations  int64
	probes           int64
	falseEjections   int64
	trueEjections    int64
}

func (m *metrics) init() { m.latency = hdrhistogram.New(minLatency, maxLatency, latencyDigits) }

// isMeasured reports whether a request arrives after the warm-up and early
// enough to end within the run.
func (sim *simulation) isMeasured(r *request) bool {
	return r.arrivedAt >= sim.scenario.Warmup && r.arrivedAt+sim.scenario.Kinds[r.kind].Timeout < sim.scenario.Warmup+sim.scenario.Length
}

func (m *metrics) recordOffered(sim *simulation, r *request) {
	if sim.isMeasured(r) {
		m.offeredWeight += sim.scenario.Kinds[r.kind].Weight
	}
}

func (m *metrics) recordFinished(sim *simulation, r *request, ok bool) {
	if ok && sim.isMeasured(r) {
		m.answeredWeight += sim.scenario.Kinds[r.kind].Weight
		_ = m.latency.RecordValue(min(maxLatency, max(minLatency, (sim.now-r.arrivedAt).Microseconds())))
	}
}

func (m *metrics) recordSent(sim *simulation, r *request, a *attempt) {
	t := &sim.targets[a.target]
	if sim.naive && sim.entries[r.entry].region != t.region && sim.now >= sim.scenario.Warmup {
		m.interRegionBytes += requestBytes + responseBytes
	}
	if len(t.faults) == 0 || sim.now < sim.scenario.Warmup {
		return
	}
	if a.probe {
		m.probes++
		return
	}
	t.sentAt = append(t.sentAt, sim.now)
}

func (m *metrics) recordInterRegion(sim *simulation, n int64) {
	if sim.now >= sim.scenario.Warmup {
		m.interRegionBytes += n
	}
}

func (m *metrics) recordControl(sim *simulation, n int64, interRegion bool) {
	if sim.now < sim.scenario.Warmup {
		return
	}
	m.controlBytes += n
	if interRegion {
		m.interRegionBytes += n
	}
}

// recordEjection counts an ejection. It is a false one if the target had no
// fault within ejectionGrace before.
func (m *metrics) recordEjection(sim *simulation, index int) {
	// Entries of the naive variant eject independently. Their ejections of one
	// target count once until no entry ejects it any more.
	ejecting := 0
	for _, e := range sim.entries {
		if sim.naive && e.isEjected(index) {
			ejecting++
		}
	}
	switch {
	case ejecting > 1:
	case sim.targets[index].isUnhealthy(sim.now):
		m.trueEjections++
	default:
		m.falseEjections++
	}
}

// isUnhealthy reports whether the target is unhealthy or was so within
// ejectionGrace.
func (t *target) isUnhealthy(now time.Duration) bool {
	for back := time.Duration(0); back <= ejectionGrace; back += 100 * time.Millisecond {
		if t.activeFault(now-back) != nil {
			return true
		}
	}
	return t.coldUntil > 0 && now < t.coldUntil+ejectionGrace
}

// detectionTime returns the time from the start of a target's first fault to
// the last ordinary request before the first gap of at least detectionGap, and
// whether every faulty target has such a gap. Of several targets the slowest
// detection counts; a fault that is not detected counts with its duration.
func (m *metrics) detectionTime(sim *simulation) (time.Duration, bool) {
	worst, allDetected, anyFault := time.Duration(0), true, false
	for i := range sim.targets {
		t := &sim.targets[i]
		if len(t.faults) == 0 {
			continue
		}
		anyFault = true
		f := t.faults[0]
		last, detected := f.Start, false
		for _, at := range t.sentAt {
			if at < f.Start {
				continue
			}
			if at-last >= detectionGap {
				detected = true
				break
			}
			last = at
		}
		if !detected && f.Start+f.Length-last >= detectionGap {
			detected = true
		}
		if !detected {
			allDetected = false
			last = f.Start + f.Length
		}
		worst = max(worst, last-f.Start)
	}
	return worst, allDetected && anyFault
}

// checkFloor counts a floor violation if the entry ejects targets and the
// capacity that it leaves in service is below the floor.
func (e *entry) checkFloor() {
	sim := e.simulation
	if sim.now < sim.scenario.Warmup {
		return
	}
	serving, ejected := 0, 0
	for i := range sim.targets {
		if e.isEjected(i) {
			ejected++
		} else {
			serving += sim.targets[i].slots
		}
	}
	if ejected > 0 && float64(serving) < sim.scenario.Floor*float64(len(sim.targets)*sim.scenario.Slots) {
		sim.metrics.floorViolations++
	}
}

func (m *metrics) recordRetry(sim *simulation) {
	if sim.now >= sim.scenario.Warmup {
		m.retries++
	}
}
