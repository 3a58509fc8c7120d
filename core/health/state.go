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
	seen   tally   // counters at the last tick
	sum    float64 // local cumulative sum
	weight float64
	peers  float64 // share of the peers' slots in use, averaged

	recentAll, recentBad, recentFailed float64 // decayed counts
	history                            histogram
	last                               [bucketNum]uint32 // counts at the last refresh

	period  time.Time // start of the unreported period
	report  tally     // unreported observations
	score   float64   // unreported sum of log-likelihood ratios
	excess  float64   // failures of the period that the peers share
	watched bool
}

func (s *state) clear(now time.Time) {
	s.period, s.report, s.score, s.excess = now, tally{}, 0, 0
}

func (t *Target) read() tally {
	return tally{t.good.Load(), t.slow.Load(), t.failed.Load(), t.severe.Load()}
}

// fresh moves the latencies since the last call into a histogram.
func (t *Target) fresh(into *histogram) {
	*into = histogram{}
	for i := range t.counts {
		n := t.counts[i].Load()
		if n == t.state.last[i] {
			continue
		}
		into.buckets[i] = float32(n - t.state.last[i])
		into.total += into.buckets[i]
		t.state.last[i] = n
	}
}
