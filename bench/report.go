package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/bench/plots"
	"github.com/galenalock/galenalock/bench/suite"
	"github.com/galenalock/galenalock/bench/trial"
	"github.com/galenalock/galenalock/core/eject"
)

// reportCommand runs all experiments and writes the page of measurements.
type reportCommand struct {
	experiment
	noise  time.Duration
	folder string
	render bool
}

// figuresFile is the name of the JSON file with the results behind the page.
const figuresFile = "decisions.json"

func init() {
	r := &reportCommand{
		experiment: experiment{seed: 1, runs: 10, workers: max(1, runtime.NumCPU()/2)},
		noise:      time.Hour, folder: "docs/measurements",
	}
	commands.Register(suite.Command{
		Name: "report",
		Help: "Runs detect, flap, floor, shed and link, and writes docs/measurements/decisions.md",
		Flags: func(sub *flaggy.Subcommand) {
			sub.UInt64(&r.seed, "", "seed", "First seed; run i uses seed+i")
			sub.Int(&r.runs, "", "runs", "Number of runs")
			sub.Int(&r.workers, "", "workers", "Runs at a time")
			sub.Duration(&r.noise, "", "noise", "Virtual time of the healthy noise")
			sub.Bool(&r.render, "", "render", "Write the page again from the figures of the last run")
			sub.String(&r.folder, "", "folder", "Where to write")
		},
		Run: r.writeReport,
	})
}

func (r *reportCommand) writeReport(out io.Writer) error {
	if err := os.MkdirAll(r.folder, 0o755); err != nil {
		return eris.Wrap(err, "create folder of the report")
	}
	all, err := r.loadFigures(out)
	if err != nil {
		return err
	}
	page, err := r.renderPage(all)
	if err != nil {
		return err
	}
	path := filepath.Join(r.folder, "decisions.md")
	if err := os.WriteFile(path, []byte(page), 0o644); err != nil {
		return eris.Wrap(err, "write page of measurements")
	}
	fmt.Fprintln(out, path)
	return r.drawCharts(all)
}

// loadFigures runs the experiments and saves their results, or reads those of the
// last run if render is set.
func (r *reportCommand) loadFigures(out io.Writer) ([]experimentOutput, error) {
	path := filepath.Join(r.folder, figuresFile)
	var all []experimentOutput
	if r.render {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "read results of the last run")
		}
		return all, eris.Wrapf(json.Unmarshal(data, &all), "decode results in %s", path)
	}
	for _, e := range []struct {
		name   string
		scenes []trial.Scenario
	}{
		{"detect", trial.DetectScenarios()}, {"floor", trial.FloorScenarios()}, {"shed", trial.ShedScenarios()},
		{"link", trial.LinkScenarios()}, {"flap", trial.FlapScenarios(r.noise)},
	} {
		started := time.Now()
		o, err := r.compare(e.name, e.scenes)
		if err != nil {
			return nil, err
		}
		all = append(all, o)
		fmt.Fprintln(out, e.name, time.Since(started).Round(time.Second))
	}
	data, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return nil, eris.Wrap(err, "encode results")
	}
	return all, eris.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write results")
}

// renderPage returns the Markdown text of the page.
func (r *reportCommand) renderPage(all []experimentOutput) (string, error) {
	lifeCycle, err := eject.LifeCycle()
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# Decisions under load and gray failures\n\n"+
		"Written by `go run ./bench report --seed %d --runs %d --noise %v`; do not edit.\n\n", r.seed, r.runs, r.noise)
	b.WriteString(pagePreface)
	fmt.Fprintf(&b, "The figures were taken with %d seeds from %d, as median (worst). Times are virtual; the machine (%d cores) does not enter them.\n\n", r.runs, r.seed, runtime.NumCPU())
	b.WriteString("## Goals\n\n| goal | figure | met |\n|---|---|---|\n")
	for _, g := range evaluateGoals(all) {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", g.description, g.measured, map[bool]string{true: "yes", false: "**no**"}[g.met])
	}
	b.WriteString(pageRemarks)
	for _, o := range all {
		fmt.Fprintf(&b, "\n## %s\n\n`go run ./bench %s --seed %d --runs %d`\n\n![%s](%s.png)\n\n", o.Command, o.Command, r.seed, r.runs, o.Command, o.Command)
		b.WriteString("| case | user | variant | detection s | missed | false ejections | answered | of what capacity allows | p50 ms | p99 ms | p999 ms | floor violations | retries | MB between regions | control B/s | probes |\n|" + strings.Repeat("---|", 16) + "\n")
		for _, c := range o.Cases {
			writeMarkdownRow(&b, c, "naive", c.Naive)
			writeMarkdownRow(&b, c, "real", c.Real)
		}
	}
	fmt.Fprintf(&b, "\n## Life cycle of a target\n\nDrawn from `core/eject/life.chart`.\n\n```mermaid\n%s```\n", lifeCycle.Mermaid())
	return b.String(), nil
}

func writeMarkdownRow(b *strings.Builder, c trial.Comparison, variant string, s trial.Summary) {
	pair := func(verb string, f trial.Statistic) string {
		return fmt.Sprintf(verb+" ("+verb+")", f.Median, f.Worst)
	}
	s.InterRegionBytes.Median, s.InterRegionBytes.Worst = s.InterRegionBytes.Median/1e6, s.InterRegionBytes.Worst/1e6
	fmt.Fprintf(b, "| %s | %s | %s | %s | %d | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", c.ScenarioName, c.User, variant,
		pair("%.2f", s.DetectionTime), s.Undetected, pair("%.0f", s.FalseEjections), pair("%.4f", s.AnsweredShare), pair("%.3f", s.ShareOfMax),
		pair("%.1f", s.P50), pair("%.1f", s.P99), pair("%.1f", s.P999), pair("%.0f", s.FloorViolations),
		pair("%.0f", s.Retries), pair("%.0f", s.InterRegionBytes), pair("%.0f", s.ControlBytesPerSecond), pair("%.0f", s.Probes))
}

// drawCharts writes one chart per experiment.
func (r *reportCommand) drawCharts(all []experimentOutput) error {
	for _, o := range all {
		chart := plots.BarChart{Title: o.Command, Series: []plots.Series{{Name: "naive"}, {Name: "real"}}}
		for _, c := range o.Cases {
			chart.Labels = append(chart.Labels, c.ScenarioName+" "+c.User)
			for i, s := range []trial.Summary{c.Naive, c.Real} {
				value := s.P99.Median
				chart.YLabel = "p99 ms"
				switch o.Command {
				case "detect":
					chart.YLabel, value = "detection s, median", s.DetectionTime.Median
				case "floor":
					chart.YLabel, value = "floor violations, entries x ticks", s.FloorViolations.Worst
				case "shed":
					chart.YLabel, value = "answered / allowed by capacity", s.ShareOfMax.Median
				}
				chart.Series[i].Values = append(chart.Series[i].Values, value)
			}
		}
		if err := chart.Save(filepath.Join(r.folder, o.Command+".png")); err != nil {
			return err
		}
	}
	return nil
}
