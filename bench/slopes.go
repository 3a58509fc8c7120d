package main

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/bench/scale"
	"github.com/galenalock/galenalock/bench/suite"
)

// slopesReport is the result of the command slopes.
type slopesReport struct {
	Seed  uint64             `json:"seed"`
	Cores int                `json:"cores"`
	Fleet []scale.FleetCost  `json:"fleet"`
	Heap  scale.HeapSizes    `json:"heap"`
	Wire  scale.MessageSizes `json:"wire"`
}

func init() {
	seed, maxNodes, asJSON := uint64(1), 200, false
	commands.Register(suite.Command{
		Name: "slopes",
		Help: "Measures how memory, processor time and bytes grow with nodes and targets",
		Flags: func(sub *flaggy.Subcommand) {
			sub.UInt64(&seed, "", "seed", "Seed of the fleets")
			sub.Int(&maxNodes, "", "nodes", "Most nodes of a fleet; 670 takes about 4 GB and some minutes")
			sub.Bool(&asJSON, "", "json", "Print JSON")
		},
		Run: func(out io.Writer) error { return runSlopes(seed, maxNodes, asJSON, out) },
	})
}

func runSlopes(seed uint64, maxNodes int, asJSON bool, out io.Writer) error {
	const heapItems = 5900
	report := slopesReport{Seed: seed, Cores: runtime.NumCPU()}
	var err error
	if report.Heap, err = scale.MeasureHeap(heapItems); err != nil {
		return err
	}
	if report.Wire, err = scale.MeasureMessages(); err != nil {
		return err
	}
	for _, nodes := range []int{8, 48, 200, 670} {
		for _, targets := range []int{100, 1000, 5900} {
			if nodes > maxNodes {
				continue
			}
			row, err := scale.MeasureFleet(seed, scale.FleetSize{Nodes: nodes, Targets: targets}, time.Now)
			if err != nil {
				return err
			}
			report.Fleet = append(report.Fleet, row)
		}
	}
	if asJSON {
		return writeJSON(out, report)
	}
	return printSlopes(report, out)
}

func printSlopes(report slopesReport, out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "nodes\ttargets\tlinks\tsteady B/s\tworst B/s\tannounce B/s\tmessages/s\tcore %\tB/change\tB/restart\tequal\t")
	for _, f := range report.Fleet {
		fmt.Fprintf(table, "%d\t%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.1f\t%.3f\t%.0f\t%.0f\t%v\t\n",
			f.Nodes, f.Targets, f.Links, f.SteadyBytes, f.WorstNodeBytes, f.AnnounceBytes, f.Messages, f.CorePercent, f.ChangeBytes, f.RestartBytes, f.Converged)
	}
	if err := table.Flush(); err != nil {
		return eris.Wrap(err, "write output")
	}
	fmt.Fprintf(out, "heap bytes: %+v\nmessage bytes: %+v\ncores: %d, seed: %d\n", report.Heap, report.Wire, report.Cores, report.Seed)
	return nil
}
