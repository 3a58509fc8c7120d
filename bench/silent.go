package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/integrii/flaggy"

	"github.com/galenalock/galenalock/bench/load"
	"github.com/galenalock/galenalock/bench/quiet"
	"github.com/galenalock/galenalock/bench/suite"
)

// silentReport is the result of the command silent.
type silentReport struct {
	Command     string        `json:"command"`
	Seed        uint64        `json:"seed"`
	Runs        int           `json:"runs"`
	Cores       int           `json:"cores"`
	LoadAverage float64       `json:"load"` // load average of the last minute at the end
	Rate        float64       `json:"rate"` // requests per second and variant
	Naive       quiet.Summary `json:"naive"`
	Real        quiet.Summary `json:"real"`
}

func init() {
	scenario := quiet.Scenario{Seed: 1, Rate: 200, Warmup: 2 * time.Second, Observation: 5 * time.Second}
	runs, asJSON := 10, false
	commands.Register(suite.Command{
		Name: "silent",
		Help: "Open connections of half of the targets go silent while new ones work: entry process against naive proxy",
		Flags: func(sub *flaggy.Subcommand) {
			sub.UInt64(&scenario.Seed, "", "seed", "First seed; run i uses seed+i")
			sub.Int(&runs, "", "runs", "Number of runs, each with a fleet of its own")
			sub.Float64(&scenario.Rate, "", "rate", "Requests per second and variant")
			sub.Duration(&scenario.Warmup, "", "warm", "Load before the fault")
			sub.Duration(&scenario.Observation, "", "after", "Load after the fault")
			sub.Bool(&asJSON, "", "json", "Print one JSON object")
		},
		Run: func(out io.Writer) error { return runSilent(scenario, runs, asJSON, out) },
	})
}

func runSilent(scenario quiet.Scenario, runs int, asJSON bool, out io.Writer) error {
	report := silentReport{Command: "silent", Seed: scenario.Seed, Runs: runs, Cores: runtime.NumCPU(), Rate: scenario.Rate}
	var all [2][]quiet.Result
	for range runs {
		naiveResult, realResult, err := quiet.Run(context.Background(), scenario)
		if err != nil {
			return err
		}
		all[0], all[1] = append(all[0], naiveResult), append(all[1], realResult)
		scenario.Seed++
	}
	report.LoadAverage, report.Naive, report.Real = loadAverage(), quiet.Summarize(all[0]), quiet.Summarize(all[1])
	if asJSON {
		return writeJSON(out, report)
	}
	fmt.Fprintf(out, "silent, seeds %d to %d, %d cores, median/worst\n", report.Seed, scenario.Seed-1, report.Cores)
	printSummary := func(name string, s quiet.Summary) {
		pair := func(f load.Statistic) string { return fmt.Sprintf("%.4g/%.4g", f.Median, f.Worst) }
		fmt.Fprintf(out, "%s: detection s %s, answered %s, late %s, p50 %s, p99 %s, p999 %s ms, retries %s, false ejections %s\n", name,
			pair(s.Detection), pair(s.Answered), pair(s.Late), pair(s.P50), pair(s.P99), pair(s.P999), pair(s.Retries), pair(s.FalseEjections))
	}
	printSummary("naive", report.Naive)
	printSummary("real", report.Real)
	return nil
}
