package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/bench/procs"
	"github.com/galenalock/galenalock/bench/roll"
	"github.com/galenalock/galenalock/bench/suite"
)

// rolloutFlags are the flags of the command rollout.
type rolloutFlags struct {
	entries, routes, seeds int
	first                  uint64
	duration               time.Duration
	former, present        string
	calm                   bool
}

func init() {
	flags := rolloutFlags{entries: 60, routes: 1400, seeds: 1, first: 1, duration: time.Minute}
	commands.Register(suite.Command{
		Name: "rollout",
		Help: "Checks that changes are in force on all entries in time while processes are replaced",
		Flags: func(sub *flaggy.Subcommand) {
			sub.Int(&flags.entries, "", "entries", "Entries, each a process")
			sub.Int(&flags.routes, "", "routes", "Routes in the text")
			sub.Int(&flags.seeds, "", "seeds", "Runs, one after another")
			sub.UInt64(&flags.first, "", "seed", "Seed of the first run")
			sub.Duration(&flags.duration, "", "duration", "Time during which changes are made")
			sub.String(&flags.former, "", "former", "Commit that the processes of the first start are built from")
			sub.String(&flags.present, "", "present", "Commit that replaces it, the working tree if empty")
			sub.Bool(&flags.calm, "", "calm", "Replace no processes")
		},
		Run: func(out io.Writer) error { return runRollouts(flags, out) },
	})
}

func runRollouts(flags rolloutFlags, out io.Writer) error {
	folder, err := os.MkdirTemp("", "galenalock-rollout-")
	if err != nil {
		return eris.Wrap(err, "create temporary folder")
	}
	defer func() { _ = os.RemoveAll(folder) }() // best effort
	present, err := buildFor(filepath.Join(folder, "present"), flags.present)
	if err != nil {
		return err
	}
	var former procs.Programs
	if flags.former != "" {
		if former, err = buildFor(filepath.Join(folder, "former"), flags.former); err != nil {
			return err
		}
	}
	total := 0
	for n := range flags.seeds {
		seed := flags.first + uint64(n)
		data := filepath.Join(folder, fmt.Sprint("run-", seed))
		if err := os.Mkdir(data, 0o700); err != nil {
			return eris.Wrap(err, "create folder")
		}
		late, err := runRollout(roll.New(roll.Options{
			Folder: data, Entries: flags.entries, Routes: flags.routes, Duration: flags.duration, Seed: seed,
			Present: present, Former: former, Calm: flags.calm,
		}), out)
		if err != nil {
			return err
		}
		total += late
	}
	if total > 0 {
		return eris.Errorf("%d changes were late", total)
	}
	return nil
}

func buildFor(folder, commit string) (procs.Programs, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, eris.Wrap(err, "create folder")
	}
	if commit == "" {
		return procs.Build(folder, "control", "entry")
	}
	return procs.BuildCommit(folder, commit, "control", "entry")
}

// runRollout runs one fleet and returns the number of late changes.
func runRollout(f *roll.Fleet, out io.Writer) (int, error) {
	defer f.Stop()
	if err := f.Start(); err != nil {
		return 0, err
	}
	if err := f.Run(); err != nil {
		return 0, err
	}
	late, delays := f.Record.Check(time.Now())
	if len(delays) == 0 {
		return 0, eris.New("no change counts")
	}
	_, err := fmt.Fprintf(out, "seed %d: %d changes on entries, in force after %.3f s (median), %.3f s (99 in 100), %.3f s (worst), %d late\n",
		f.Seed, len(delays), delays[len(delays)/2].Seconds(), delays[len(delays)*99/100].Seconds(), delays[len(delays)-1].Seconds(), len(late))
	if err != nil {
		return 0, eris.Wrap(err, "write output")
	}
	for _, l := range late[:min(len(late), 20)] {
		if _, err := fmt.Fprintf(out, "  late: revision %d on %s, %.3f s, in force: %v\n", l.Revision, l.Entry, l.Delay.Seconds(), l.Applied); err != nil {
			return 0, eris.Wrap(err, "write output")
		}
	}
	return len(late), nil
}
