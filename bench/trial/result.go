package trial

import (
	"slices"
	"time"
)

// Result holds the statistics of one run.
type Result struct {
	DetectionTime         float64 // seconds; the duration of the fault if it was not detected
	Undetected            int     // 1 if the fault was not detected
	FalseEjectionCount    float64
	TrueEjectionCount     float64
	AnsweredShare         float64 // weighted share of the offered requests
	ShareOfMax            float64 // AnsweredShare divided by Scenario.MaxAnsweredShare
	P50                   float64 // ms
	P99                   float64
	P999                  float64
	FloorViolationCount   float64 // entries times ticks of 50 ms
	Retries               float64
	InterRegionBytes      float64
	ControlBytesPerSecond float64 // per entry, on links to the leader
	Probes                float64
}

// Run simulates a scenario once, with the naive or the real variant.
func Run(scenario Scenario, seed uint64, naive bool) (Result, error) {
	sim, err := newSimulation(scenario, seed, naive)
	if err != nil {
		return Result{}, err
	}
	sim.run()
	m := &sim.metrics
	detectedAfter, detected := m.detectionTime(sim)
	latencyMillis := func(q float64) float64 { return float64(m.latency.ValueAtQuantile(q)) / 1000 }
	r := Result{
		DetectionTime: detectedAfter.Seconds(), FalseEjectionCount: float64(m.falseEjections), TrueEjectionCount: float64(m.trueEjections),
		AnsweredShare: m.answeredWeight / max(1, m.offeredWeight), P50: latencyMillis(50), P99: latencyMillis(99), P999: latencyMillis(99.9),
		FloorViolationCount: float64(m.floorViolations), Retries: float64(m.retries), InterRegionBytes: float64(m.interRegionBytes), Probes: float64(m.probes),
		ControlBytesPerSecond: float64(m.controlBytes) / scenario.Length.Seconds() / float64(scenario.Entries),
	}
	r.ShareOfMax = r.AnsweredShare / scenario.MaxAnsweredShare()
	if !detected && len(sim.scenario.Faults) > len(sim.linkFaults) {
		r.Undetected = 1
	}
	return r, nil
}

// Statistic is the median and the worst value over several runs.
type Statistic struct {
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
}

func newStatistic(values []float64, higherIsBetter bool) Statistic {
	slices.Sort(values)
	n := len(values)
	f := Statistic{Median: (values[(n-1)/2] + values[n/2]) / 2, Worst: values[n-1]}
	if higherIsBetter {
		f.Worst = values[0]
	}
	return f
}

// Summary holds the statistics over all runs of one variant.
type Summary struct {
	DetectionTime         Statistic `json:"detection"` // seconds
	Undetected            int       `json:"missed"`    // runs in which the fault was not detected
	FalseEjections        Statistic `json:"falseejections"`
	Ejections             Statistic `json:"ejections"` // of unhealthy targets
	AnsweredShare         Statistic `json:"answered"`
	ShareOfMax            Statistic `json:"share"` // answered, relative to what the capacity allows
	P50                   Statistic `json:"p50"`   // ms
	P99                   Statistic `json:"p99"`
	P999                  Statistic `json:"p999"`
	FloorViolations       Statistic `json:"floorviolations"` // entries times ticks of 50 ms
	Retries               Statistic `json:"retries"`
	InterRegionBytes      Statistic `json:"bytes"`   // between regions
	ControlBytesPerSecond Statistic `json:"control"` // bytes per second and entry
	Probes                Statistic `json:"probes"`  // requests sent to unhealthy targets in probation
}

func summarize(runs []Result) Summary {
	statistic := func(get func(r Result) float64, higherIsBetter bool) Statistic {
		values := make([]float64, len(runs))
		for i, r := range runs {
			values[i] = get(r)
		}
		return newStatistic(values, higherIsBetter)
	}
	undetected := 0
	for _, r := range runs {
		undetected += r.Undetected
	}
	return Summary{
		DetectionTime: statistic(func(r Result) float64 { return r.DetectionTime }, false), Undetected: undetected,
		FalseEjections:        statistic(func(r Result) float64 { return r.FalseEjectionCount }, false),
		Ejections:             statistic(func(r Result) float64 { return r.TrueEjectionCount }, false),
		AnsweredShare:         statistic(func(r Result) float64 { return r.AnsweredShare }, true),
		ShareOfMax:            statistic(func(r Result) float64 { return r.ShareOfMax }, true),
		P50:                   statistic(func(r Result) float64 { return r.P50 }, false),
		P99:                   statistic(func(r Result) float64 { return r.P99 }, false),
		P999:                  statistic(func(r Result) float64 { return r.P999 }, false),
		FloorViolations:       statistic(func(r Result) float64 { return r.FloorViolationCount }, false),
		Retries:               statistic(func(r Result) float64 { return r.Retries }, false),
		InterRegionBytes:      statistic(func(r Result) float64 { return r.InterRegionBytes }, false),
		ControlBytesPerSecond: statistic(func(r Result) float64 { return r.ControlBytesPerSecond }, false),
		Probes:                statistic(func(r Result) float64 { return r.Probes }, false),
	}
}

// Comparison holds the statistics of both variants in one scenario.
type Comparison struct {
	ScenarioName string        `json:"case"`
	User         string        `json:"user"`
	Policy       string        `json:"policy"`
	Seconds      float64       `json:"seconds"` // measured virtual time
	Rate         float64       `json:"rate"`    // requests per second
	Naive        Summary       `json:"naive"`
	Real         Summary       `json:"real"`
	Elapsed      time.Duration `json:"-"`
}
