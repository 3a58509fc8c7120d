package main

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"github.com/galenalock/galenalock/bench/suite"
	"github.com/galenalock/galenalock/bench/trial"
)

// experiment holds the flags that the experiments share.
type experiment struct {
	seed    uint64
	runs    int
	workers int
	json    bool
}

// experimentOutput is the JSON object that an experiment prints.
type experimentOutput struct {
	Command string             `json:"command"`
	Seed    uint64             `json:"seed"`
	Runs    int                `json:"runs"`
	Cores   int                `json:"cores"`
	Cases   []trial.Comparison `json:"cases"`
}

// newExperiment returns a command that compares both variants in the scenarios.
func newExperiment(name, help string, scenarios func() []trial.Scenario, addFlags func(sub *flaggy.Subcommand)) suite.Command {
	// Half of the cores, to leave room for other programs on a shared machine.
	x := &experiment{seed: 1, runs: 10, workers: max(1, runtime.NumCPU()/2)}
	return suite.Command{
		Name: name,
		Help: help,
		Flags: func(sub *flaggy.Subcommand) {
			sub.UInt64(&x.seed, "", "seed", "First seed; run i uses seed+i")
			sub.Int(&x.runs, "", "runs", "Number of runs")
			sub.Int(&x.workers, "", "workers", "Runs at a time")
			sub.Bool(&x.json, "", "json", "Print one JSON object")
			if addFlags != nil {
				addFlags(sub)
			}
		},
		Run: func(out io.Writer) error { return x.run(name, scenarios(), out) },
	}
}

func (x *experiment) run(name string, scenarios []trial.Scenario, out io.Writer) error {
	result, err := x.compare(name, scenarios)
	if err != nil {
		return err
	}
	if x.json {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	return printTable(result, out)
}

func (x *experiment) compare(name string, scenarios []trial.Scenario) (experimentOutput, error) {
	result := experimentOutput{Command: name, Seed: x.seed, Runs: x.runs, Cores: runtime.NumCPU()}
	for _, s := range scenarios {
		c, err := trial.Compare(s, x.seed, x.runs, x.workers)
		if err != nil {
			return result, err
		}
		result.Cases = append(result.Cases, c)
	}
	return result, nil
}

// printTable prints the median and the worst value of each statistic.
func printTable(o experimentOutput, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s, seeds %d to %d, %d cores, median/worst\n", o.Command, o.Seed, o.Seed+uint64(o.Runs)-1, o.Cores)
	fmt.Fprintln(w, "case\tuser\tvariant\tdetection s\tmissed\tfalse\tejected\tanswered\tshare\tp50 ms\tp99 ms\tp999 ms\tviolations\tretries\tMB between regions\tcontrol B/s\tprobes\ttook")
	for _, c := range o.Cases {
		printRow(w, c, "naive", c.Naive)
		printRow(w, c, "real", c.Real)
	}
	return w.Flush()
}

func printRow(w io.Writer, c trial.Comparison, variant string, s trial.Summary) {
	pair := func(verb string, f trial.Statistic) string { return fmt.Sprintf(verb+"/"+verb, f.Median, f.Worst) }
	s.InterRegionBytes.Median, s.InterRegionBytes.Worst = s.InterRegionBytes.Median/1e6, s.InterRegionBytes.Worst/1e6
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%v\n", c.ScenarioName, c.User, variant,
		pair("%.2f", s.DetectionTime), s.Undetected, pair("%.0f", s.FalseEjections), pair("%.0f", s.Ejections), pair("%.4f", s.AnsweredShare), pair("%.4f", s.ShareOfMax),
		pair("%.1f", s.P50), pair("%.1f", s.P99), pair("%.1f", s.P999), pair("%.0f", s.FloorViolations),
		pair("%.0f", s.Retries), pair("%.0f", s.InterRegionBytes), pair("%.0f", s.ControlBytesPerSecond), pair("%.0f", s.Probes), c.Elapsed.Round(time.Millisecond))
}
