package quiet

import (
	"slices"
	"sync"
	"time"

	"github.com/galenalock/galenalock/bench/load"
)

// Result holds the figures of one variant in one run. All but the retries and
// ejections are of the requests that were to start after the fault.
type Result struct {
	// Detection is the time in seconds from the fault to the start of the last
	// request that was answered late or not at all.
	Detection      float64
	Answered       float64 // share
	P50, P99, P999 float64 // ms, of the answered ones
	Late           float64 // requests answered late or not at all
	Retries        float64
	FalseEjections float64 // every ejection: new connections to all targets work
}

// Summary holds the figures of all runs of one variant.
type Summary struct {
	Detection      load.Figure `json:"detection"`
	Answered       load.Figure `json:"answered"`
	P50            load.Figure `json:"p50"`
	P99            load.Figure `json:"p99"`
	P999           load.Figure `json:"p999"`
	Late           load.Figure `json:"late"`
	Retries        load.Figure `json:"retries"`
	FalseEjections load.Figure `json:"falseejections"`
}

// Summarize returns median and worst over runs.
func Summarize(runs []Result) Summary {
	column := func(get func(r Result) float64, highIsGood bool) load.Figure {
		values := make([]float64, len(runs))
		for i, r := range runs {
			values[i] = get(r)
		}
		return load.NewFigure(values, highIsGood)
	}
	return Summary{
		Detection:      column(func(r Result) float64 { return r.Detection }, false),
		Answered:       column(func(r Result) float64 { return r.Answered }, true),
		P50:            column(func(r Result) float64 { return r.P50 }, false),
		P99:            column(func(r Result) float64 { return r.P99 }, false),
		P999:           column(func(r Result) float64 { return r.P999 }, false),
		Late:           column(func(r Result) float64 { return r.Late }, false),
		Retries:        column(func(r Result) float64 { return r.Retries }, false),
		FalseEjections: column(func(r Result) float64 { return r.FalseEjections }, false),
	}
}

// samples collects how requests ended.
type samples struct {
	mu   sync.Mutex
	list []sample
}

type sample struct {
	intended time.Time
	took     time.Duration
	answered bool
}

func (s *samples) add(intended time.Time, took time.Duration, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, sample{intended, took, answered})
}

// into computes the figures of the requests after the fault.
func (s *samples) into(r *Result, fault time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var took []time.Duration
	all := 0
	for _, one := range s.list {
		hit := !one.answered || one.took > late
		if hit && one.intended.Add(one.took).After(fault) {
			r.Late++
			r.Detection = max(r.Detection, one.intended.Sub(fault).Seconds())
		}
		if one.intended.Before(fault) {
			continue
		}
		all++
		if one.answered {
			took = append(took, one.took)
		}
	}
	slices.Sort(took)
	r.Answered = float64(len(took)) / float64(max(1, all))
	r.P50, r.P99, r.P999 = quantile(took, 0.5), quantile(took, 0.99), quantile(took, 0.999)
}

func quantile(sorted []time.Duration, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return load.Milliseconds(sorted[min(len(sorted)-1, int(share*float64(len(sorted))))])
}
