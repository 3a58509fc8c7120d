package room

import (
	"math"
	"time"
)

const (
	// memory is the time constant of the estimates. Bursts last about 6 s, and an
	// entry gets 2 to 10 responses a second of a service.
	memory = 3 * time.Second / 2
	// halfConfidence is the number of recent reports with a confidence of one half.
	halfConfidence = 1.5
	// slotTimeShift sets the weight of one sample of the slot-time, 1/2^4.
	slotTimeShift = 4
	// defaultSlotTime applies until a request has been answered.
	defaultSlotTime = 10 * time.Millisecond
)

// Tier is a group of targets at the same distance from the entry.
type Tier int

// The tiers, the nearest one first.
const (
	SameDataCentre Tier = iota
	SameRegion
	OtherRegion
	tierCount
)

// Estimate is what an entry knows of the capacity of a service.
type Estimate struct {
	// Utilization is the number of requests at the targets per slot. Above 1,
	// requests wait at the targets. It is that of the nearest tier, and of further
	// ones if they are full too.
	Utilization float64
	// Free is the nearest tier with room if nearer ones are full. Unknown is the
	// nearest tier of which nothing is known. Both are SameDataCentre if there is none.
	Free, Unknown Tier
	// QueueDelay is the expected time that a request waits at a target.
	QueueDelay time.Duration
	// SlotTime is the mean time for which a request occupies a slot.
	SlotTime time.Duration
	// ShedShare is the share of the recent arrivals that the targets shed.
	ShedShare float64
	// Age is the time since the last report.
	Age time.Duration
	// Confidence is 0 if no target has reported its load recently, and approaches 1
	// with the number of recent reports.
	Confidence float64

	known bool
}

// Known reports whether targets have reported their load recently.
func (e *Estimate) Known() bool { return e.known }

const (
	// minConfidence is that of two reports within 2 s, or of more that are older.
	minConfidence = 0.44
	// recall is how long an estimate stays in use without further reports. An entry
	// that admits few requests gets few reports, and would otherwise admit all.
	recall = 8 * time.Second
	// relax is the time constant with which the excess of such an estimate falls.
	relax = 3 * time.Second
)

// Sheds reports whether the targets shed requests although they have room, so that
// fewer requests would not help.
func (e *Estimate) Sheds() bool {
	return e.Confidence > 0 && e.ShedShare >= minShedShare && e.Utilization < limitUtilization
}

// shedOdds returns the expected number of attempts that are shed before one is not.
func (e *Estimate) shedOdds() float64 { return e.ShedShare / max(1-e.ShedShare, 1e-3) }

// minShedShare is the share of shed arrivals from which all targets are taken to shed.
// One target of ten that sheds everything stays below it.
const minShedShare = 0.25

// Estimator estimates the capacity of a service from the responses of its targets.
type Estimator struct {
	updatedAt time.Time
	reportAt  time.Time // of the last report
	wasKnown  bool      // at that time
	tiers     [tierCount]tierLoad
	sheds     float64 // shed requests; it and the following sum decay with time
	accepted  float64 // requests that were not shed

	slotTime time.Duration // moving average, 0 if unknown
}

// tierLoad is what the targets of one tier reported. The sums decay with time.
type tierLoad struct {
	present  bool    // the tier has targets in service
	reports  float64 // number of load reports
	requests float64 // requests at the targets that reported
	slots    float64 // their slots
}

// SetTiers sets which tiers have targets in service.
func (e *Estimator) SetTiers(present map[Tier]bool) {
	for i := range e.tiers {
		e.tiers[i].present = present[Tier(i)]
	}
}

// RecordLoad records that a target of a tier with a number of slots has requests
// running or waiting.
func (e *Estimator) RecordLoad(now time.Time, tier Tier, requests, slots int) {
	if slots <= 0 {
		return // the target does not know its slots
	}
	e.decay(now)
	t := &e.tiers[tier]
	t.reports++
	t.requests += float64(max(0, requests))
	t.slots += float64(slots)
	e.reportAt, e.wasKnown = now, e.At(now).Confidence >= minConfidence
}

// RecordShed records that a target shed a request.
func (e *Estimator) RecordShed(now time.Time) {
	e.decay(now)
	e.sheds++
}

// RecordAnswer records that a target answered a request after some time, and the
// utilization that it reported, 0 if none.
func (e *Estimator) RecordAnswer(now time.Time, latency time.Duration, utilization float64) {
	e.decay(now)
	e.accepted++
	// A target with more requests than slots queues them, which takes as many
	// slot-times as it has requests per slot.
	sample := time.Duration(float64(latency) / max(1, utilization))
	if e.slotTime == 0 {
		e.slotTime = sample
		return
	}
	e.slotTime += (sample - e.slotTime) >> slotTimeShift
}

// At returns the estimate at a time.
func (e *Estimator) At(now time.Time) Estimate {
	remaining := e.remaining(now)
	out := Estimate{Age: max(0, now.Sub(e.reportAt)), SlotTime: e.slotTime}
	if e.slotTime == 0 {
		out.SlotTime = defaultSlotTime
	}
	e.estimateTiers(now, &out)
	// Without a margin, a single shed request among few would look like a service
	// that sheds.
	out.ShedShare = remaining * e.sheds / (remaining*(e.sheds+e.accepted) + 1)
	out.QueueDelay = time.Duration(max(0, out.Utilization-1) * float64(out.SlotTime))
	return out
}

// estimateTiers sets the fields of an estimate that depend on the load of the tiers.
func (e *Estimator) estimateTiers(now time.Time, out *Estimate) {
	reports, requests, slots, nearest := 0.0, 0.0, 0.0, true
	for i := range e.tiers {
		t := &e.tiers[i]
		recent := e.tierRemaining(now, Tier(i)) * t.reports
		// The last reports of the nearest tier stay in use.
		known := recent >= minTierReports || nearest && t.present && t.slots > 0
		nearest = nearest && !t.present
		hasRoom := t.requests < limitUtilization*t.slots
		switch {
		case !known && t.present && out.Unknown == SameDataCentre:
			out.Unknown = Tier(i)
		case known && hasRoom && slots > 0:
			out.Free = Tier(i)
		case known:
			reports, requests, slots = reports+recent, requests+t.requests, slots+t.slots
		}
		if known && hasRoom {
			break
		}
	}
	out.Confidence = reports / (reports + halfConfidence)
	if slots > 0 {
		out.Utilization = requests / slots
	}
	out.known = out.Confidence >= minConfidence || e.wasKnown && out.Age < recall
	if excess := out.Utilization - limitUtilization; out.Confidence < minConfidence && excess > 0 {
		out.Utilization = limitUtilization + excess*decay(out.Age, relax)
	}
}

const (
	// minTierReports is the number of recent reports from which a tier is known, and
	// farMemory the time constant of its reports unless it is the nearest one. Few
	// requests leave their data centre.
	minTierReports = 0.5
	farMemory      = 3 * time.Second
)

// tierRemaining returns the share of the sums of a tier that remains at a time.
func (e *Estimator) tierRemaining(now time.Time, tier Tier) float64 {
	if tier == SameDataCentre {
		return e.remaining(now)
	}
	return decay(now.Sub(e.updatedAt), farMemory)
}

// remaining returns the share of the sums that remains at a time. A clock that is set
// back leaves all of it.
func (e *Estimator) remaining(now time.Time) float64 { return decay(now.Sub(e.updatedAt), memory) }

func (e *Estimator) decay(now time.Time) {
	remaining := e.remaining(now)
	e.sheds *= remaining
	e.accepted *= remaining
	for i := range e.tiers {
		t, remaining := &e.tiers[i], e.tierRemaining(now, Tier(i))
		t.reports *= remaining
		t.requests *= remaining
		t.slots *= remaining
	}
	e.updatedAt = now
}

func decay(age, constant time.Duration) float64 {
	return math.Exp(-max(0, float64(age)/float64(constant)))
}
