package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/bench/load"
	"github.com/galenalock/galenalock/bench/stub"
	"github.com/galenalock/galenalock/bench/suite"
)

// costFlags describe the entry that requests go through.
type costFlags struct {
	seed           uint64
	json           bool
	entry, peer    string
	prefix, host   string
	service        string
	rate           float64
	round, latency time.Duration
	settle         time.Duration
	rounds         int
}

// costReport is the result of the command cost.
type costReport struct {
	Seed    uint64  `json:"seed"`
	Cores   int     `json:"cores"`
	Rounds  int     `json:"rounds"`
	Rate    float64 `json:"rate"`
	Control bool    `json:"control"` // no entry: both paths are direct, the difference is noise
	*load.Comparison
}

func init() {
	flags := costFlags{seed: 1, service: "tables", rate: 500, round: time.Second, rounds: 10, latency: 5 * time.Millisecond, settle: 8 * time.Second}
	commands.Register(suite.Command{
		Name: "cost",
		Help: "Measures the added latency: direct against through an entry, in one run",
		Flags: func(sub *flaggy.Subcommand) {
			sub.UInt64(&flags.seed, "", "seed", "Seed of the schedule")
			sub.Bool(&flags.json, "", "json", "Print JSON")
			sub.String(&flags.entry, "", "entry", "Traffic address of the entry; without it both paths are direct")
			sub.String(&flags.peer, "", "peer", "Peer address of the entry, where the target announces itself")
			sub.String(&flags.prefix, "", "prefix", "Prefix of the route at the entry")
			sub.String(&flags.host, "", "host", "Host of the route at the entry")
			sub.String(&flags.service, "", "service", "Service that the target announces")
			sub.Float64(&flags.rate, "", "rate", "Requests per second")
			sub.Duration(&flags.round, "", "round", "Length of one round")
			sub.Int(&flags.rounds, "", "rounds", "Rounds of each path")
			sub.Duration(&flags.latency, "", "latency", "Time that the target takes")
			sub.Duration(&flags.settle, "", "settle", "Wait for the entry to learn of the target")
		},
		Run: func(out io.Writer) error { return runCost(flags, out) },
	})
}

func runCost(flags costFlags, out io.Writer) error {
	opts := []stub.Option{stub.WithLatency(flags.latency, 0), stub.WithSlots(4096, 4096), stub.WithGrace(0), stub.WithService(flags.service)}
	if flags.peer != "" {
		peer, err := netip.ParseAddrPort(flags.peer)
		if err != nil {
			return eris.Wrap(err, "peer")
		}
		opts = append(opts, stub.WithEntries(peer))
	}
	target, err := stub.New(opts...)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- target.Run(ctx) }()
	report, err := compare(ctx, flags, target)
	cancel()
	if err := errors.Join(err, <-done); err != nil {
		return err
	}
	if flags.json {
		return writeJSON(out, report)
	}
	_, err = fmt.Fprintf(out, "added latency in ms: p50 %.3f, p99 %.3f, p999 %.3f (%d cores, control run: %v)\n",
		report.Added["p50"], report.Added["p99"], report.Added["p999"], report.Cores, report.Control)
	return eris.Wrap(err, "output")
}

func compare(ctx context.Context, flags costFlags, target *stub.Stub) (*costReport, error) {
	direct := load.Plan{Address: target.Address(), Rate: flags.rate, Duration: flags.round, Seed: flags.seed, Label: "cost"}
	through := direct
	if flags.entry != "" {
		entry, err := netip.ParseAddrPort(flags.entry)
		if err != nil {
			return nil, eris.Wrap(err, "entry")
		}
		through.Address, through.Host, through.Prefix = entry, flags.host, flags.prefix
		timer := time.NewTimer(flags.settle) // the entry has no event that tells the bench of a new target
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	comparison, err := load.Compare(ctx, direct, through, flags.rounds)
	if err != nil {
		return nil, err
	}
	return &costReport{
		Seed: flags.seed, Cores: runtime.NumCPU(), Rounds: flags.rounds, Rate: flags.rate,
		Control: flags.entry == "", Comparison: comparison,
	}, nil
}
