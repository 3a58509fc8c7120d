package quiet

import (
	"slices"
	"sync"
	"time"

	"github.com/galenalock/galenalock/bench/load"
)

// Result holds the measured values of one variant in one run. Answered and the
// quantiles cover the requests whose intended start was after the fault. Late and
// Detection also cover requests in flight at the fault.
type Result struct {
	// Detection is the time in seconds from the fault to the intended start of the
	// last request that was answered late or not at all.
	Detection      float64
	Answered       float64 // share of requests
	P50, P99, P999 float64 // ms, of the answered requests
	Late           float64 // requests answered late or not at all
	Retries        float64 // in the whole run
	FalseEjections float64 // every ejection is false, because new connections to all targets work
}

// Summary holds the statistics of one variant over all runs.
type Summary struct {
	Detection      load.Statistic `json:"detection"`
	Answered       load.Statistic `json:"answered"`
	P50            load.Statistic `json:"p50"`
	P99            load.Statistic `json:"p99"`
	P999           load.Statistic `json:"p999"`
	Late           load.Statistic `json:"late"`
	Retries        load.Statistic `json:"retries"`
	FalseEjections load.Statistic `json:"falseejections"`
}

// Summarize returns the median and the worst of each value over the runs.
func Summarize(runs []Result) Summary {
	column := func(get func(r Result) float64, higherIsBetter bool) load.Statistic {
		values := make([]float64, len(runs))
		for i, r := range runs {
			values[i] = get(r)
		}
		return load.NewStatistic(values, higherIsBetter)
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

// samples collects the outcomes of requests. It is safe for concurrent use.
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

// summarize sets the fields of r that come from requests, for a fault at the given
// time.
func (s *samples) summarize(r *Result, fault time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var took []time.Duration
	total := 0
	for _, request := range s.list {
		late := !request.answered || request.took > lateThreshold
		if late && request.intended.Add(request.took).After(fault) {
			r.Late++
			r.Detection = max(r.Detection, request.intended.Sub(fault).Seconds())
		}
		if request.intended.Before(fault) {
			continue
		}
		total++
		if request.answered {
			took = append(took, request.took)
		}
	}
	slices.Sort(took)
	r.Answered = float64(len(took)) / float64(max(1, total))
	r.P50, r.P99, r.P999 = quantile(took, 0.5), quantile(took, 0.99), quantile(took, 0.999)
}

func quantile(sorted []time.Duration, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return load.Milliseconds(sorted[min(len(sorted)-1, int(share*float64(len(sorted))))])
}
