package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/bench/load"
	"github.com/galenalock/galenalock/bench/procs"
	"github.com/galenalock/galenalock/bench/stub"
	"github.com/galenalock/galenalock/bench/suite"
)

// costServiceText is the service text of the measured fleet, with one service of
// repeatable lookups.
const costServiceText = `
[[service]]
name = "tables"
floor = "50%"
[[service.kind]]
name = "lookup"
repeat = true
[[route]]
prefix = "/tables"
service = "tables"
strip = true
`

// costFlags are the flags of the command cost.
type costFlags struct {
	seed                uint64
	json                bool
	entry, peer         string
	prefix, host        string
	service, otherEntry string
	rate                float64
	round, latency      time.Duration
	rounds              int
}

// costReport is the result of the command cost. Times are in milliseconds.
type costReport struct {
	Seed        uint64                              `json:"seed"`
	Cores       int                                 `json:"cores"`
	LoadAverage float64                             `json:"load"` // load average of the last minute at the end
	Rounds      int                                 `json:"rounds"`
	Rate        float64                             `json:"rate"`
	Direct      load.Quantiles                      `json:"direct"`
	Through     load.Quantiles                      `json:"through"`
	Added       load.Quantiles                      `json:"added"`
	Noise       load.Quantiles                      `json:"noise"`           // difference between two direct paths
	Naive       *load.Quantiles                     `json:"naive,omitempty"` // added by the naive proxy
	Other       *load.Quantiles                     `json:"other,omitempty"` // added by the other entry program
	Counts      map[string]map[load.Kind]load.Count `json:"counts"`
}

func init() {
	flags := costFlags{seed: 1, prefix: "/tables", service: "tables", rate: 400, round: 2 * time.Second, rounds: 12, latency: 2 * time.Millisecond}
	commands.Register(suite.Command{
		Name: "cost",
		Help: "Measures the added latency: direct against through an entry, in one run",
		Flags: func(sub *flaggy.Subcommand) {
			sub.UInt64(&flags.seed, "", "seed", "Seed of the schedule")
			sub.Bool(&flags.json, "", "json", "Print JSON")
			sub.String(&flags.entry, "", "entry", "Traffic address of a running entry; without it a fleet is started")
			sub.String(&flags.peer, "", "peer", "Peer address of the entry, where the target announces itself")
			sub.String(&flags.prefix, "", "prefix", "Prefix of the route at the entry")
			sub.String(&flags.host, "", "host", "Host of the route at the entry")
			sub.String(&flags.service, "", "service", "Service that the target announces")
			sub.String(&flags.otherEntry, "", "other", "Another entry program, measured in the same run with a fleet of its own")
			sub.Float64(&flags.rate, "", "rate", "Requests per second")
			sub.Duration(&flags.round, "", "round", "Length of one round")
			sub.Int(&flags.rounds, "", "rounds", "Rounds of each path")
			sub.Duration(&flags.latency, "", "latency", "Time that the target takes")
		},
		Run: func(out io.Writer) error { return runCost(flags, out) },
	})
}

func runCost(flags costFlags, out io.Writer) error {
	measure := measureFleetCost
	if flags.entry != "" {
		measure = measureEntryCost
	}
	report, err := measure(context.Background(), flags)
	if err != nil {
		return err
	}
	if flags.json {
		return writeJSON(out, report)
	}
	printQuantiles := func(name string, q load.Quantiles) {
		fmt.Fprintf(out, "%s: p50 %.3f/%.3f, p99 %.3f/%.3f, p999 %.3f/%.3f\n", name,
			q.P50.Median, q.P50.Worst, q.P99.Median, q.P99.Worst, q.P999.Median, q.P999.Worst)
	}
	fmt.Fprintf(out, "latency in ms, median/worst of %d rounds at %.0f requests/s (seed %d, %d cores, load average %.1f)\n",
		report.Rounds, report.Rate, report.Seed, report.Cores, report.LoadAverage)
	printQuantiles("direct", report.Direct)
	printQuantiles("through", report.Through)
	printQuantiles("added", report.Added)
	printQuantiles("noise of two direct paths", report.Noise)
	if report.Naive != nil {
		printQuantiles("added by the naive proxy", *report.Naive)
	}
	if report.Other != nil {
		printQuantiles("added by the other entry", *report.Other)
	}
	return nil
}

func (f costFlags) targetSettings() stub.Settings {
	settings := stub.Defaults()
	settings.Service, settings.Latency, settings.Seed = f.service, stub.Duration(f.latency), f.seed
	// An entry opens at most 8 connections to a target and refuses further
	// requests. With as many slots it queues these requests instead.
	settings.Slots, settings.Queue, settings.Grace = 8, 4096, 0
	return settings
}

// measureFleetCost starts a fleet of processes and measures its cost.
func measureFleetCost(ctx context.Context, flags costFlags) (*costReport, error) {
	flags.service, flags.prefix, flags.host = "tables", "/tables", ""
	layout := procs.Layout{ServiceText: costServiceText, LookupPath: flags.prefix + "/lookups", Targets: 1, Target: flags.targetSettings()}
	fleet, err := procs.StartSingleEntryFleet(ctx, layout)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	naive, err := fleet.StartNaiveProxy(flags.prefix)
	if err != nil {
		return nil, err
	}
	proxies := []netip.AddrPort{fleet.Entry.Address("traffic"), naive.Address("address")}
	if flags.otherEntry != "" {
		layout.EntryProgram = flags.otherEntry
		second, err := procs.StartSingleEntryFleet(ctx, layout)
		if err != nil {
			return nil, err
		}
		defer second.Close()
		proxies = append(proxies, second.Entry.Address("traffic"))
	}
	return comparePaths(ctx, flags, fleet.Targets[0].Address("address"), proxies...)
}

// measureEntryCost measures a running entry with a target in this process.
func measureEntryCost(ctx context.Context, flags costFlags) (*costReport, error) {
	entry, err := netip.ParseAddrPort(flags.entry)
	if err != nil {
		return nil, eris.Wrap(err, "parse address of the entry")
	}
	settings := flags.targetSettings()
	if flags.peer != "" {
		peer, err := netip.ParseAddrPort(flags.peer)
		if err != nil {
			return nil, eris.Wrap(err, "parse peer address of the entry")
		}
		settings.Entries = []netip.AddrPort{peer}
	}
	target, err := stub.New(stub.WithSettings(settings))
	if err != nil {
		return nil, err
	}
	running, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- target.Run(running) }()
	var report *costReport
	err = procs.WaitUntil(ctx, "entry serves", func() bool { return procs.Serves(entry, flags.host, flags.prefix+"/lookups") })
	if err == nil {
		report, err = comparePaths(ctx, flags, target.Address(), entry)
	}
	cancel()
	return report, errors.Join(err, <-done)
}

// comparePaths measures the direct path twice and the path through each proxy:
// the entry, the naive proxy and the other entry, in this order.
func comparePaths(ctx context.Context, flags costFlags, target netip.AddrPort, proxies ...netip.AddrPort) (*costReport, error) {
	direct := load.Plan{Address: target, Rate: flags.rate, Duration: flags.round, Seed: flags.seed, Label: "cost"}
	plans := []load.Plan{direct, direct}
	names := []string{"direct", "again", "through", "naive", "other"}
	for _, proxy := range proxies {
		through := direct
		through.Address, through.Host, through.Prefix = proxy, flags.host, flags.prefix
		plans = append(plans, through)
	}
	paths, err := load.RunRounds(ctx, plans, flags.rounds)
	if err != nil {
		return nil, err
	}
	report := &costReport{
		Seed: flags.seed, Cores: runtime.NumCPU(), LoadAverage: loadAverage(), Rounds: flags.rounds, Rate: flags.rate,
		Direct: load.LatencyQuantiles(paths[0]), Noise: load.AddedLatency(paths[0], paths[1]),
		Through: load.LatencyQuantiles(paths[2]), Added: load.AddedLatency(paths[0], paths[2]),
		Counts: map[string]map[load.Kind]load.Count{},
	}
	for i, path := range paths {
		report.Counts[names[i]] = load.TotalCounts(path)
	}
	for i, destination := range []**load.Quantiles{&report.Naive, &report.Other} {
		if pathIndex := 3 + i; pathIndex < len(paths) {
			added := load.AddedLatency(paths[0], paths[pathIndex])
			*destination = &added
		}
	}
	return report, nil
}

// loadAverage returns the load average of the last minute, or 0 on systems that
// do not provide it.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	average, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return average
}
