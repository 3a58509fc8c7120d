package main

import (
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/bench/load"
	"github.com/galenalock/galenalock/bench/suite"
)

func init() {
	plan := load.Plan{Rate: 100, Duration: 10 * time.Second, UploadBytes: 64 << 10, Seed: 1}
	var address string
	commands.Register(suite.Command{
		Name: "load",
		Help: "Sends open-loop load and prints counts and latencies from the intended starts",
		Flags: func(sub *flaggy.Subcommand) {
			sub.String(&address, "", "address", "Address that requests go to")
			sub.String(&plan.Host, "", "host", "Host header")
			sub.String(&plan.Prefix, "", "prefix", "Path before /lookups, /orders and /uploads")
			sub.Float64(&plan.Rate, "", "rate", "Requests per second")
			sub.Duration(&plan.Duration, "", "duration", "Length of the run")
			sub.Float64(&plan.OrderShare, "", "orders", "Share of orders")
			sub.Float64(&plan.UploadShare, "", "uploads", "Share of uploads")
			sub.Int(&plan.UploadBytes, "", "size", "Bytes of an upload")
			sub.UInt64(&plan.Seed, "", "seed", "Seed of the schedule")
		},
		Run: func(out io.Writer) error {
			parsed, err := netip.ParseAddrPort(address)
			if err != nil {
				return eris.Wrap(err, "parse address")
			}
			plan.Address = parsed
			result, err := load.Run(context.Background(), plan)
			if err != nil {
				return err
			}
			return writeJSON(out, result.Summary())
		},
	})
}

func writeJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(v), "write output")
}
