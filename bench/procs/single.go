package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/bench/stub"
)

const (
	pollInterval = 5 * time.Millisecond
	// stateTimeout bounds the wait for a state of other processes, which takes
	// seconds on a loaded machine.
	stateTimeout   = 30 * time.Second
	requestTimeout = 2 * time.Second
)

// SingleEntryFleet runs one control replica, one entry and the targets of one
// service, as processes with a folder of their own.
type SingleEntryFleet struct {
	Entry   *Process
	Targets []*Process
	Admin   netip.AddrPort // admin address of the control replica

	fleet     Fleet
	processes []*Process
}

// Layout describes a SingleEntryFleet.
type Layout struct {
	ServiceText  string        // service text
	LookupPath   string        // path of a lookup that the entry answers once it is ready
	Targets      int           // number of targets
	Target       stub.Settings // settings of each target, but Entries is replaced and Seed counts up
	EntryProgram string        // path of another entry program to run; empty: the one built from this source
}

// StartSingleEntryFleet builds the programs, starts the processes, submits the
// service text and waits until the entry knows all targets and answers lookups.
func StartSingleEntryFleet(ctx context.Context, l Layout) (*SingleEntryFleet, error) {
	folder, err := os.MkdirTemp("", "galenalock-bench-")
	if err != nil {
		return nil, eris.Wrap(err, "create folder of the fleet")
	}
	s := &SingleEntryFleet{fleet: Fleet{Name: "bench", Folder: folder}}
	if err := s.start(ctx, l); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *SingleEntryFleet) start(ctx context.Context, l Layout) error {
	settings := l.Target
	var err error
	if s.fleet.Programs, err = Build(s.fleet.Folder, "control", "entry", "bench"); err != nil {
		return err
	}
	if l.EntryProgram != "" {
		s.fleet.Programs["entry"] = l.EntryProgram
	}
	free, err := FreeAddresses(2)
	if err != nil {
		return err
	}
	s.Admin = free[1]
	at := Place{Region: settings.Region, DataCentre: settings.DataCentre}
	control, err := s.fleet.StartControl(1, at, map[int]netip.AddrPort{1: free[0]}, free[1])
	if err != nil {
		return err
	}
	s.processes = append(s.processes, control)
	if err := WaitUntil(ctx, "text accepted", func() bool { return submitText(free[1], l.ServiceText) }); err != nil {
		return err
	}
	if s.Entry, err = s.fleet.StartEntry("entry-1", at); err != nil {
		return err
	}
	s.processes = append(s.processes, s.Entry)
	settings.Entries = []netip.AddrPort{s.Entry.Address("peer")}
	for i := range l.Targets {
		settings.Seed++
		target, err := s.fleet.StartTargetWith(fmt.Sprintf("target-%d", i+1), settings)
		if err != nil {
			return err
		}
		s.processes = append(s.processes, target)
		s.Targets = append(s.Targets, target)
	}
	return WaitUntil(ctx, "entry serves", func() bool {
		var status struct{ Targets int }
		return ReadJSON(s.Entry.Address("admin"), "/v1/status", &status) && status.Targets == l.Targets &&
			Serves(s.Entry.Address("traffic"), "", l.LookupPath)
	})
}

// StartNaiveProxy starts the naive proxy in front of the same targets.
func (s *SingleEntryFleet) StartNaiveProxy(prefix string) (*Process, error) {
	var targets []string
	for _, t := range s.Targets {
		targets = append(targets, t.Address("address").String())
	}
	p, err := Start("plain", s.fleet.Programs["bench"], "plain", "--targets", strings.Join(targets, ","), "--prefix", prefix)
	if err == nil {
		s.processes = append(s.processes, p)
	}
	return p, err
}

// Close kills all processes of the fleet and removes its folder.
func (s *SingleEntryFleet) Close() {
	for _, p := range s.processes {
		p.Kill()
	}
	_ = os.RemoveAll(s.fleet.Folder) // what is left lies in the system's temporary folder
}

// client opens a new connection for each request, so that a fault on the open
// connections of a target does not affect the requests of this package.
var client = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// WaitUntil polls reached until it reports true. It fails after 30 s or when ctx
// ends.
func WaitUntil(ctx context.Context, what string, reached func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !reached() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.Errorf("not reached in %s: %s", stateTimeout, what)
		}
	}
	return nil
}

// Serves reports whether a lookup is answered completely with status 200.
func Serves(at netip.AddrPort, host, path string) bool {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s%s", at, path), nil)
	if err != nil {
		return false
	}
	if host != "" {
		r.Host = host
	}
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// ReadJSON reads a JSON document and reports whether the status was 200 and the
// document could be decoded.
func ReadJSON(at netip.AddrPort, path string, into any) bool {
	resp, err := client.Get(fmt.Sprintf("http://%s%s", at, path))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(into) == nil
}

func submitText(admin netip.AddrPort, text string) bool {
	body, err := json.Marshal(map[string]any{"base": 0, "change": "first", "text": text})
	if err != nil {
		return false
	}
	resp, err := client.Post(fmt.Sprintf("http://%s/v1/submit", admin), "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
