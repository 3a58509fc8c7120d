package health

import "time"

// tally counts observations.
type tally struct{ good, slow, failed, severe int64 }

func (a tally) minus(b tally) tally {
	return tally{a.good - b.good, a.slow - b.slow, a.failed - b.failed, a.severe - b.severe}
}

func (a tally) plus(b tally) tally {
	return tally{a.good + b.good, a.slow + b.slow, a.failed + b.failed, a.severe + b.severe}
}

func (a tally) bad() int64 { return a.slow + a.failed }

func (a tally) all() int64 { return a.good + a.slow + a.failed }

// state is the part of a target that only the control goroutine uses.
type state struct {
	lastCounts tally   // counters at the last Tick
	sum        float64 // local cumulative sum
	weight     float64
	peerLoad   float64 // average share of the slots of the peers in use

	recentAll, recentBad, recentFailed float64 // decayed counts
	history                            histogram
	lastBuckets                        [numBuckets]uint32 // counts at the last refresh

	reportStart    time.Time // start of the period since the last report
	unreported     tally     // unreported observations
	score          float64   // sum of log-likelihood ratios of the unreported observations
	sharedFailures float64   // unreported failures that the failure rate of the peers explains
	watched        bool
}

func (s *state) resetReport(now time.Time) {
	s.reportStart, s.unreported, s.score, s.sharedFailures = now, tally{}, 0, 0
}

func (t *Target) readCounts() tally {
	return tally{t.good.Load(), t.slow.Load(), t.failed.Load(), t.severe.Load()}
}

// newLatencies fills a histogram with the latencies since the last call.
func (t *Target) newLatencies(into *histogram) {
	*into = histogram{}
	for i := range t.counts {
		n := t.counts[i].Load()
		if n == t.state.lastBuckets[i] {
			continue
		}
		into.buckets[i] = float32(n - t.state.lastBuckets[i])
		into.total += into.buckets[i]
		t.state.lastBuckets[i] = n
	}
}
