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

// applyFlags describe the fleet whose configuration changes.
type applyFlags struct {
	entries, changes, services int
	json                       bool
}

// applyReport is the result of the command apply. Times are in seconds from
// the moment at which a change is submitted.
type applyReport struct {
	Cores    int     `json:"cores"`
	Replicas int     `json:"replicas"`
	Entries  int     `json:"entries"`
	Changes  int     `json:"changes"`
	Text     int     `json:"text"`     // bytes of the service text
	Accepted spread  `json:"accepted"` // until the answer arrived
	Applied  spread  `json:"applied"`  // until the last entry had the revision in force
	Memory   int64   `json:"memory"`   // largest resident memory of an entry in bytes
	Core     float64 `json:"core"`     // processor time of an entry as a share of one core over its life, start and stop included, mean
}

// spread is the median and the worst of the changes.
type spread struct {
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
}

func spreadOf(times []time.Duration) spread {
	slices.Sort(times)
	return spread{Median: times[len(times)/2].Seconds(), Worst: times[len(times)-1].Seconds()}
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
	applyReplicas = 3
	applyTimeout  = 30 * time.Second
	applyPoll     = 5 * time.Millisecond
)

// applied is the running fleet of the command.
type applied struct {
	procs.Fleet
	admins  map[int]netip.AddrPort
	entries []*procs.Process
	running []*procs.Process
}

func runApply(flags applyFlags, out io.Writer) error {
	folder, err := os.MkdirTemp("", "galenalock-apply-")
	if err != nil {
		return eris.Wrap(err, "folder")
	}
	defer func() { _ = os.RemoveAll(folder) }() // a temporary folder
	f := &applied{}
	defer f.kill()
	if err := f.start(folder, flags); err != nil {
		return err
	}
	report, err := f.change(flags)
	if err != nil {
		return err
	}
	for _, e := range f.entries {
		if err := e.Stop(); err != nil {
			return err
		}
		used, memory := e.ResourceUsage()
		report.Core += used.Seconds() / e.Lifetime().Seconds() / float64(len(f.entries))
		report.Memory = max(report.Memory, memory)
	}
	if flags.json {
		return writeJSON(out, report)
	}
	_, err = fmt.Fprintf(out, "%d entries: accepted after %.3f s (worst %.3f), in force everywhere after %.3f s (worst %.3f)\n",
		report.Entries, report.Accepted.Median, report.Accepted.Worst, report.Applied.Median, report.Applied.Worst)
	return eris.Wrap(err, "output")
}

// start runs the replicas and the entries of the fleet.
func (f *applied) start(folder string, flags applyFlags) error {
	programs, err := procs.Build(folder, "control", "entry")
	if err != nil {
		return err
	}
	f.Fleet = procs.Fleet{Name: "apply", Folder: folder, Programs: programs}
	at := procs.Place{Region: "salish", DataCentre: "salish-1"}
	free, err := procs.FreeAddresses(2 * applyReplicas)
	if err != nil {
		return err
	}
	peers := map[int]netip.AddrPort{}
	f.admins = map[int]netip.AddrPort{}
	for id := 1; id <= applyReplicas; id++ {
		peers[id], f.admins[id] = free[2*id-2], free[2*id-1]
	}
	for id := 1; id <= applyReplicas; id++ {
		p, err := f.StartControl(id, at, peers, f.admins[id])
		if err != nil {
			return err
		}
		f.running = append(f.running, p)
	}
	var seeds []netip.AddrPort
	for i := range flags.entries {
		place := procs.Place{Region: []string{"salish", "okanagan", "haida"}[i%3], DataCentre: fmt.Sprintf("centre-%d", i%6)}
		p, err := f.StartEntry(fmt.Sprintf("entry-%d", i+1), place, seeds...)
		if err != nil {
			return err
		}
		f.running, f.entries = append(f.running, p), append(f.entries, p)
		if len(seeds) < 3 {
			seeds = append(seeds, p.Address("peer"))
		}
	}
	return nil
}

func (f *applied) kill() {
	for _, p := range f.running {
		p.Kill()
	}
}

// change submits the changes one after another and waits for each.
func (f *applied) change(flags applyFlags) (*applyReport, error) {
	var text strings.Builder
	for i := range flags.services {
		fmt.Fprintf(&text, "[[service]]\nname = \"service-%d\"\nfloor = \"80%%\"\n[[route]]\nprefix = \"/service-%d\"\nservice = \"service-%d\"\n", i, i, i)
	}
	report := &applyReport{
		Cores: runtime.NumCPU(), Replicas: applyReplicas, Entries: flags.entries, Changes: flags.changes, Text: text.Len(),
	}
	var accepted, everywhere []time.Duration
	for n := range uint64(flags.changes) {
		began := time.Now()
		if err := f.submit(n, fmt.Sprintf("%s# change %d\n", text.String(), n+1), began); err != nil {
			return nil, err
		}
		accepted = append(accepted, time.Since(began))
		if err := f.await(n+1, began); err != nil {
			return nil, err
		}
		everywhere = append(everywhere, time.Since(began))
	}
	report.Accepted, report.Applied = spreadOf(accepted), spreadOf(everywhere)
	return report, nil
}

func (f *applied) submit(base uint64, text string, began time.Time) error {
	body, err := json.Marshal(map[string]any{"base": base, "change": fmt.Sprint("change-", base+1), "text": text})
	if err != nil {
		return eris.Wrap(err, "submit")
	}
	for time.Since(began) < applyTimeout {
		for id := 1; id <= applyReplicas; id++ {
			resp, err := http.Post(fmt.Sprintf("http://%s/v1/submit", f.admins[id]), "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			answer, _ := io.ReadAll(resp.Body) // shown only when the status is unexpected
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			if resp.StatusCode < http.StatusInternalServerError {
				return eris.Errorf("submit: status %d: %s", resp.StatusCode, answer)
			}
		}
		time.Sleep(applyPoll)
	}
	return eris.Errorf("no replica accepted the change in %s", applyTimeout)
}

// await polls every entry until the last one has the revision in force.
func (f *applied) await(number uint64, began time.Time) error {
	for _, e := range f.entries {
		for {
			var s struct{ Revision uint64 }
			resp, err := http.Get(fmt.Sprintf("http://%s/v1/status", e.Address("admin")))
			if err == nil {
				err = json.NewDecoder(resp.Body).Decode(&s)
				_ = resp.Body.Close()
			}
			if err == nil && s.Revision >= number {
				break
			}
			if time.Since(began) > applyTimeout {
				return eris.Errorf("%s has revision %d and not %d after %s", e.Name, s.Revision, number, applyTimeout)
			}
			time.Sleep(applyPoll)
		}
	}
	return nil
}
