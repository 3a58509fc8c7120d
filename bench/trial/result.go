package trial

import (
	"slices"
	"time"
)

// Result holds the figures of one run.
type Result struct {
	Detection  float64 // seconds, the whole fault when it was not detected
	Missed     int     // 1 when it was not detected
	False      float64
	Right      float64
	Answered   float64 // weighted share of the offered requests
	Share      float64 // Answered over what the capacity allows
	P50        float64 // ms
	P99        float64
	P999       float64
	Violations float64 // entries times ticks
	Retries    float64
	Bytes      float64 // between regions
	Control    float64 // bytes per second and entry on links to the leader
	Probes     float64
}

// Run plays a scene once.
func Run(scene Scene, seed uint64, naive bool) (Result, error) {
	w, err := newWorld(scene, seed, naive)
	if err != nil {
		return Result{}, err
	}
	w.run()
	m := &w.measure
	took, found := m.detection(w)
	ms := func(q float64) float64 { return float64(m.latency.ValueAtQuantile(q)) / 1000 }
	r := Result{
		Detection: took.Seconds(), False: float64(m.wrong), Right: float64(m.right),
		Answered: m.answered / max(1, m.offered), P50: ms(50), P99: ms(99), P999: ms(99.9),
		Violations: float64(m.violations), Retries: float64(m.retries), Bytes: float64(m.bytes), Probes: float64(m.probes),
		Control: float64(m.controlled) / scene.Length.Seconds() / float64(scene.Entries),
	}
	r.Share = r.Answered / scene.Allowed()
	if !found && len(w.scene.Faults) > len(w.links) {
		r.Missed = 1
	}
	return r, nil
}

// Figure is one measure over several runs.
type Figure struct {
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
}

func figure(values []float64, highIsGood bool) Figure {
	slices.Sort(values)
	n := len(values)
	f := Figure{Median: (values[(n-1)/2] + values[n/2]) / 2, Worst: values[n-1]}
	if highIsGood {
		f.Worst = values[0]
	}
	return f
}

// Summary holds the figures of all runs of one variant.
type Summary struct {
	Detection       Figure `json:"detection"` // seconds
	Missed          int    `json:"missed"`    // runs in which the fault was not detected
	FalseEjections  Figure `json:"falseejections"`
	Ejections       Figure `json:"ejections"` // of unhealthy targets
	Answered        Figure `json:"answered"`
	Share           Figure `json:"share"` // answered over what the capacity allows
	P50             Figure `json:"p50"`   // ms
	P99             Figure `json:"p99"`
	P999            Figure `json:"p999"`
	FloorViolations Figure `json:"floorviolations"` // entries times ticks of 50 ms
	Retries         Figure `json:"retries"`
	Bytes           Figure `json:"bytes"`   // between regions
	Control         Figure `json:"control"` // bytes per second and entry
	Probes          Figure `json:"probes"`  // requests sent to unhealthy targets in probation
}

func summarize(runs []Result) Summary {
	column := func(get func(r Result) float64, highIsGood bool) Figure {
		values := make([]float64, len(runs))
		for i, r := range runs {
			values[i] = get(r)
		}
		return figure(values, highIsGood)
	}
	missed := 0
	for _, r := range runs {
		missed += r.Missed
	}
	return Summary{
		Detection: column(func(r Result) float64 { return r.Detection }, false), Missed: missed,
		FalseEjections:  column(func(r Result) float64 { return r.False }, false),
		Ejections:       column(func(r Result) float64 { return r.Right }, false),
		Answered:        column(func(r Result) float64 { return r.Answered }, true),
		Share:           column(func(r Result) float64 { return r.Share }, true),
		P50:             column(func(r Result) float64 { return r.P50 }, false),
		P99:             column(func(r Result) float64 { return r.P99 }, false),
		P999:            column(func(r Result) float64 { return r.P999 }, false),
		FloorViolations: column(func(r Result) float64 { return r.Violations }, false),
		Retries:         column(func(r Result) float64 { return r.Retries }, false),
		Bytes:           column(func(r Result) float64 { return r.Bytes }, false),
		Control:         column(func(r Result) float64 { return r.Control }, false),
		Probes:          column(func(r Result) float64 { return r.Probes }, false),
	}
}

// Case is a scene with the figures of both variants.
type Case struct {
	Case    string        `json:"case"`
	User    string        `json:"user"`
	Policy  string        `json:"policy"`
	Seconds float64       `json:"seconds"` // measured virtual time
	Rate    float64       `json:"rate"`    // requests per second
	Naive   Summary       `json:"naive"`
	Real    Summary       `json:"real"`
	Took    time.Duration `json:"-"`
}
