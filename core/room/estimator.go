package room

import (
	"math"
	"time"
)

const (
	// memory is the time constant of the estimates. Bursts last about 6 s, and an
	// entry gets 2 to 10 responses a second of a service.
	memory = time.Second
	// halfConfidence is the number of recent reports with a confidence of one half.
	halfConfidence = 1.5
	// slotTimeShift sets the weight of one sample of the slot-time, 1/2^4.
	slotTimeShift = 4
	// defaultSlotTime applies until a request has been answered.
	defaultSlotTime = 10 * time.Millisecond
)

// Estimate is what an entry knows of the capacity of a service.
type Estimate struct {
	// Utilization is the number of requests at the targets per slot. Above 1,
	// requests wait at the targets.
	Utilization float64
	// QueueDelay is the expected time that a request waits at a target.
	QueueDelay time.Duration
	// SlotTime is the mean time for which a request occupies a slot.
	SlotTime time.Duration
	// ShedShare is the share of the recent arrivals that the targets shed.
	ShedShare float64
	// Age is the time since the last response.
	Age time.Duration
	// Confidence is 0 if no target has reported its load recently, and approaches 1
	// with the number of recent reports.
	Confidence float64
}

// Known reports whether targets have reported their load recently.
func (e *Estimate) Known() bool { return e.Confidence >= minConfidence }

// minConfidence is the confidence of two fresh reports, or of more that are older.
const minConfidence = 0.5

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
	reports   float64 // number of load reports; it and the following sums decay with time
	requests  float64 // requests at the targets that reported
	slots     float64 // their slots
	sheds     float64 // shed requests
	accepted  float64 // requests that were not shed

	slotTime time.Duration // moving average, 0 if unknown
}

// RecordLoad records that a target with a number of slots has requests running or
// waiting.
func (e *Estimator) RecordLoad(now time.Time, requests, slots int) {
	e.decay(now)
	e.reports++
	e.requests += float64(max(0, requests))
	e.slots += float64(max(1, slots))
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
	out := Estimate{
		Age: max(0, now.Sub(e.updatedAt)), SlotTime: e.slotTime,
		Confidence: remaining * e.reports / (remaining*e.reports + halfConfidence),
	}
	if e.slotTime == 0 {
		out.SlotTime = defaultSlotTime
	}
	if e.slots > 0 {
		out.Utilization = e.requests / e.slots
	}
	// Without a margin, a single shed request among few would look like a service
	// that sheds.
	out.ShedShare = remaining * e.sheds / (remaining*(e.sheds+e.accepted) + 1)
	out.QueueDelay = time.Duration(max(0, out.Utilization-1) * float64(out.SlotTime))
	return out
}

// remaining returns the share of the sums that remains at a time. A clock that is set
// back leaves all of it.
func (e *Estimator) remaining(now time.Time) float64 { return decay(now.Sub(e.updatedAt), memory) }

func (e *Estimator) decay(now time.Time) {
	remaining := e.remaining(now)
	for _, sum := range []*float64{&e.reports, &e.requests, &e.slots, &e.sheds, &e.accepted} {
		*sum *= remaining
	}
	e.updatedAt = now
}

func decay(age, constant time.Duration) float64 {
	return math.Exp(-max(0, float64(age)/float64(constant)))
}
