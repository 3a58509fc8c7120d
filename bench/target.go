package main

import (
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/bench/stub"
	"github.com/galenalock/galenalock/bench/suite"
	"github.com/galenalock/galenalock/core/logs"
)

// targetFlags are the flags of the command target. They override the settings
// file.
type targetFlags struct {
	settings, address, service, region, dataCentre, entries, fault string
	latency                                                        time.Duration
}

func init() {
	var flags targetFlags
	commands.Register(suite.Command{
		Name: "target",
		Help: "Serves as a stand-in target until SIGTERM, then leaves and drains",
		Flags: func(sub *flaggy.Subcommand) {
			sub.String(&flags.settings, "", "settings", "Settings file (TOML)")
			sub.String(&flags.address, "", "address", "Listening address")
			sub.String(&flags.service, "", "service", "Announced service")
			sub.String(&flags.region, "", "region", "Announced region")
			sub.String(&flags.dataCentre, "", "datacentre", "Announced data centre")
			sub.String(&flags.entries, "", "entries", "Peer addresses of entries, separated by commas")
			sub.String(&flags.fault, "", "fault", `Fault in force from the start, such as {"factor":10}`)
			sub.Duration(&flags.latency, "", "latency", "Median time to serve a request")
		},
		Run: func(out io.Writer) error { return runTarget(flags, out) },
	})
}

// readSettings reads the settings file and applies the flags that are set.
func (f targetFlags) readSettings() (stub.Settings, error) {
	settings := stub.Defaults()
	var err error
	if f.settings != "" {
		if settings, err = stub.LoadSettings(f.settings); err != nil {
			return settings, err
		}
	}
	if f.address != "" {
		if settings.Address, err = netip.ParseAddrPort(f.address); err != nil {
			return settings, eris.Wrap(err, "parse listening address")
		}
	}
	for _, override := range []struct {
		flag    string
		setting *string
	}{{f.service, &settings.Service}, {f.region, &settings.Region}, {f.dataCentre, &settings.DataCentre}} {
		if override.flag != "" {
			*override.setting = override.flag
		}
	}
	if f.latency > 0 {
		settings.Latency = stub.Duration(f.latency)
	}
	if f.entries != "" {
		settings.Entries = nil
		for part := range strings.SplitSeq(f.entries, ",") {
			entry, err := netip.ParseAddrPort(strings.TrimSpace(part))
			if err != nil {
				return settings, eris.Wrap(err, "parse addresses of entries")
			}
			settings.Entries = append(settings.Entries, entry)
		}
	}
	if f.fault != "" {
		if err := json.Unmarshal([]byte(f.fault), &settings.Fault); err != nil {
			return settings, eris.Wrap(err, "decode fault")
		}
	}
	return settings, nil
}

func runTarget(flags targetFlags, out io.Writer) error {
	settings, err := flags.readSettings()
	if err != nil {
		return err
	}
	log, err := logs.New(out, "info", map[string]string{"service": settings.Service, logs.FieldDataCentre: settings.DataCentre})
	if err != nil {
		return err
	}
	target, err := stub.New(stub.WithSettings(settings))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log.WithField("address", target.Address().String()).Info("ready")
	err = target.Run(ctx)
	counts := target.Counts()
	log.WithField("ran", counts.Ran).WithField("shed", counts.Shed).WithField("last", time.Duration(counts.LastArrival).String()).Info("target stopped")
	return err
}
