package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// placeShift sets the weight of one load report in the average use of a data centre,
	// 1/2^3: about 2 s of the reports that one entry gets.
	placeShift = 3
	// placeLifetime is the age of the last report from a data centre from which its use is
	// assumed to be that of the entry's own one. Otherwise one that was full when it was
	// used last would never be used again.
	placeLifetime = 5 * time.Second
	// maxPlaceUse bounds the use that is assumed for targets without a recent report.
	maxPlaceUse = 0.8
)

// place is a data centre as its targets show it to this entry. Their load reports
// contain the requests of all entries, so the entries of a data centre arrive at about
// the same use of its targets and share what these cannot take.
type place struct {
	connectTime atomic.Int64  // average in nanoseconds, 0 if unknown
	use         atomic.Uint64 // float64 bits: average of the running and waiting requests over the slots
	reportedAt  atomic.Uint32 // milliseconds since the epoch of the router, 0: never
}

func (p *place) recordUse(nowMs uint32, use float64) {
	use = min(use, 2)
	if p.reportedAt.Load() > 0 {
		old := math.Float64frombits(p.use.Load())
		use = old + (use-old)/(1<<placeShift)
	}
	p.use.Store(math.Float64bits(use))
	p.reportedAt.Store(max(1, nowMs))
}

// assumedUse returns the use of a target of the data centre without a report, given the
// same for the entry's own data centre.
func (p *place) assumedUse(nowMs uint32, nearUse float64) float64 {
	at := p.reportedAt.Load()
	if at == 0 {
		return nearUse
	}
	use := math.Float64frombits(p.use.Load())
	age := float64(max(0, int32(nowMs-at))) / float64(placeLifetime/time.Millisecond)
	return min(maxPlaceUse, use+(nearUse-use)*min(1, age))
}

// placeOf returns the place of a data centre, which all its endpoints share.
func (r *Router) placeOf(datacentre string) *place {
	out := r.places[datacentre]
	if out == nil {
		out = &place{}
		r.places[datacentre] = out
	}
	return out
}

// expectedLoad is estimateLoad with an assumption for targets whose report is old: half
// their own average, half the use of their data centre. The average of a single target is
// many seconds old where an entry sends it a request every few seconds. Requests of
// unknown volume, which have a constant cost of distance, keep the estimate as it is.
func (e *Endpoint) expectedLoad(q *costQuery, slots float64) (float64, float64) {
	if q.req.Bytes == 0 {
		return e.estimateLoad(q.nowMs, slots)
	}
	ownRequests := float64(max(0, e.inflight.Load()))
	use := e.place.assumedUse(q.nowMs, q.nearUse)
	report := e.lastReport.Load()
	if report == 0 {
		return ownRequests + use*slots, slots
	}
	others := float64(report >> 48)
	if limit := report >> 32 & math.MaxUint16; limit > 0 {
		slots = float64(limit)
	}
	age := float64(int32(q.nowMs-uint32(report))) / float64(reportLifetime/time.Millisecond)
	if age > 0 {
		average := min(math.Float64frombits(e.averageOthers.Load()), slots*maxAssumedUse)
		others += ((average+use*slots)/2 - others) * min(age, 1)
	}
	return ownRequests + others, slots
}
