package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/bench/procs"
	"github.com/galenalock/galenalock/bench/suite"
)

// applyFlags are the flags of the command apply.
type applyFlags struct {
	entries, changes, services int
	json                       bool
}

// applyReport is the result of the command apply. Times are in seconds since a
// change was submitted.
type applyReport struct {
	Cores     int           `json:"cores"`
	Replicas  int           `json:"replicas"`
	Entries   int           `json:"entries"`
	Changes   int           `json:"changes"`
	TextBytes int           `json:"text"`     // bytes of the service text
	Accepted  durationStats `json:"accepted"` // until the answer arrived
	Applied   durationStats `json:"applied"`  // until the revision was in force on the last entry
	MaxMemory int64         `json:"memory"`   // largest resident memory of an entry in bytes
	CoreShare float64       `json:"core"`     // mean processor time of an entry as a share of one core, over its lifetime with start and stop
}

// durationStats holds the median and the worst duration over all changes, in
// seconds.
type durationStats struct {
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
}

func newDurationStats(times []time.Duration) durationStats {
	slices.Sort(times)
	return durationStats{Median: times[len(times)/2].Seconds(), Worst: times[len(times)-1].Seconds()}
}

func init() {
	flags := applyFlags{entries: 48, changes: 20, services: 50}
	commands.Register(suite.Command{
		Name: "apply",
		Help: "Measures how long a change takes to be in force on every entry, as processes",
		Flags: func(sub *flaggy.Subcommand) {
			sub.Int(&flags.entries, "", "entries", "Entries, each a process")
			sub.Int(&flags.changes, "", "changes", "Changes, one after another")
			sub.Int(&flags.services, "", "services", "Services in the text")
			sub.Bool(&flags.json, "", "json", "Print JSON")
		},
		Run: func(out io.Writer) error { return runApply(flags, out) },
	})
}

const (
	applyReplicas     = 3
	applyTimeout      = 30 * time.Second
	applyPollInterval = 5 * time.Millisecond
)

// applyFleet is the fleet of processes that the command apply runs.
type applyFleet struct {
	procs.Fleet
	adminAddresses map[int]netip.AddrPort
	entries        []*procs.Process
	processes      []*procs.Process
}

func runApply(flags applyFlags, out io.Writer) error {
	folder, err := os.MkdirTemp("", "galenalock-apply-")
	if err != nil {
		return eris.Wrap(err, "create temporary folder")
	}
	defer func() { _ = os.RemoveAll(folder) }() // best effort
	f := &applyFleet{}
	defer f.killAll()
	if err := f.startProcesses(folder, flags); err != nil {
		return err
	}
	report, err := f.measureChanges(flags)
	if err != nil {
		return err
	}
	for _, e := range f.entries {
		if err := e.Stop(); err != nil {
			return err
		}
		cpuTime, memory := e.ResourceUsage()
		report.CoreShare += cpuTime.Seconds() / e.Lifetime().Seconds() / float64(len(f.entries))
		report.MaxMemory = max(report.MaxMemory, memory)
	}
	if flags.json {
		return writeJSON(out, report)
	}
	_, err = fmt.Fprintf(out, "%d entries: accepted after %.3f s (worst %.3f), in force everywhere after %.3f s (worst %.3f)\n",
		report.Entries, report.Accepted.Median, report.Accepted.Worst, report.Applied.Median, report.Applied.Worst)
	return eris.Wrap(err, "write output")
}

// startProcesses starts the control replicas and the entries of the fleet.
func (f *applyFleet) startProcesses(folder string, flags applyFlags) error {
	programs, err := procs.Build(folder, "control", "entry")
	if err != nil {
		return err
	}
	f.Fleet = procs.Fleet{Name: "apply", Folder: folder, Programs: programs}
	controlLocation := procs.Place{Region: "salish", DataCentre: "salish-1"}
	addresses, err := procs.FreeAddresses(2 * applyReplicas)
	if err != nil {
		return err
	}
	peers := map[int]netip.AddrPort{}
	f.adminAddresses = map[int]netip.AddrPort{}
	for id := 1; id <= applyReplicas; id++ {
		peers[id], f.adminAddresses[id] = addresses[2*id-2], addresses[2*id-1]
	}
	for id := 1; id <= applyReplicas; id++ {
		p, err := f.StartControl(id, controlLocation, peers, f.adminAddresses[id])
		if err != nil {
			return err
		}
		f.processes = append(f.processes, p)
	}
	var seeds []netip.AddrPort
	for i := range flags.entries {
		entryLocation := procs.Place{Region: []string{"salish", "okanagan", "haida"}[i%3], DataCentre: fmt.Sprintf("centre-%d", i%6)}
		p, err := f.StartEntry(fmt.Sprintf("entry-%d", i+1), entryLocation, seeds...)
		if err != nil {
			return err
		}
		f.processes, f.entries = append(f.processes, p), append(f.entries, p)
		if len(seeds) < 3 {
			seeds = append(seeds, p.Address("peer"))
		}
	}
	return nil
}

func (f *applyFleet) killAll() {
	for _, p := range f.processes {
		p.Kill()
	}
}

// measureChanges submits the changes one after another and waits until each is in
// force on all entries.
func (f *applyFleet) measureChanges(flags applyFlags) (*applyReport, error) {
	var text strings.Builder
	for i := range flags.services {
		fmt.Fprintf(&text, "[[service]]\nname = \"service-%d\"\nfloor = \"80%%\"\n[[route]]\nprefix = \"/service-%d\"\nservice = \"service-%d\"\n", i, i, i)
	}
	report := &applyReport{
		Cores: runtime.NumCPU(), Replicas: applyReplicas, Entries: flags.entries, Changes: flags.changes, TextBytes: text.Len(),
	}
	var acceptedTimes, appliedTimes []time.Duration
	for n := range uint64(flags.changes) {
		started := time.Now()
		if err := f.submitChange(n, fmt.Sprintf("%s# change %d\n", text.String(), n+1), started); err != nil {
			return nil, err
		}
		acceptedTimes = append(acceptedTimes, time.Since(started))
		if err := f.waitApplied(n+1, started); err != nil {
			return nil, err
		}
		appliedTimes = append(appliedTimes, time.Since(started))
	}
	report.Accepted, report.Applied = newDurationStats(acceptedTimes), newDurationStats(appliedTimes)
	return report, nil
}

func (f *applyFleet) submitChange(base uint64, text string, started time.Time) error {
	body, err := json.Marshal(map[string]any{"base": base, "change": fmt.Sprint("change-", base+1), "text": text})
	if err != nil {
		return eris.Wrap(err, "encode change")
	}
	for time.Since(started) < applyTimeout {
		for id := 1; id <= applyReplicas; id++ {
			resp, err := http.Post(fmt.Sprintf("http://%s/v1/submit", f.adminAddresses[id]), "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			answer, _ := io.ReadAll(resp.Body) // only used in the error for an unexpected status
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			if resp.StatusCode < http.StatusInternalServerError {
				return eris.Errorf("submit change: unexpected status %d: %s", resp.StatusCode, answer)
			}
		}
		time.Sleep(applyPollInterval)
	}
	return eris.Errorf("no replica accepted the change in %s", applyTimeout)
}

// waitApplied polls the entries until the revision is in force on all of them.
func (f *applyFleet) waitApplied(revision uint64, started time.Time) error {
	for _, e := range f.entries {
		for {
			var status struct{ Revision uint64 }
			resp, err := http.Get(fmt.Sprintf("http://%s/v1/status", e.Address("admin")))
			if err == nil {
				err = json.NewDecoder(resp.Body).Decode(&status)
				_ = resp.Body.Close()
			}
			if err == nil && status.Revision >= revision {
				break
			}
			if time.Since(started) > applyTimeout {
				return eris.Errorf("%s has revision %d in force instead of %d after %s", e.Name, status.Revision, revision, applyTimeout)
			}
			time.Sleep(applyPollInterval)
		}
	}
	return nil
}
