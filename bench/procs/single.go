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
	pollEvery = 5 * time.Millisecond
	// readyBound bounds the wait for a state; a loaded machine takes seconds.
	readyBound = 30 * time.Second
	askTimeout = 2 * time.Second
)

// Single is one control replica, one entry and some targets of one service,
// as processes with a folder of their own.
type Single struct {
	Entry   *Process
	Targets []*Process
	Admin   netip.AddrPort // of the control replica

	fleet   Fleet
	started []*Process
}

// Layout describes a Single.
type Layout struct {
	Text    string // service text
	Path    string // of a lookup that the entry serves when it is ready
	Targets int
	Target  stub.Settings // of each target, without its entries
	Entry   string        // program to run in place of the entry of this source, may be empty
}

// StartSingle builds the programs, starts the processes, submits the text and
// waits until the entry knows all targets and serves.
func StartSingle(ctx context.Context, l Layout) (*Single, error) {
	folder, err := os.MkdirTemp("", "galenalock-bench-")
	if err != nil {
		return nil, eris.Wrap(err, "folder of the fleet")
	}
	s := &Single{fleet: Fleet{Name: "bench", Folder: folder}}
	if err := s.start(ctx, l); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Single) start(ctx context.Context, l Layout) error {
	settings := l.Target
	var err error
	if s.fleet.Programs, err = Build(s.fleet.Folder, "control", "entry", "bench"); err != nil {
		return err
	}
	if l.Entry != "" {
		s.fleet.Programs["entry"] = l.Entry
	}
	free, err := Free(2)
	if err != nil {
		return err
	}
	s.Admin = free[1]
	at := Place{Region: settings.Region, DataCentre: settings.DataCentre}
	control, err := s.fleet.Control(1, at, map[int]netip.AddrPort{1: free[0]}, free[1])
	if err != nil {
		return err
	}
	s.started = append(s.started, control)
	if err := Until(ctx, "text accepted", func() bool { return submit(free[1], l.Text) }); err != nil {
		return err
	}
	if s.Entry, err = s.fleet.Entry("entry-1", at); err != nil {
		return err
	}
	s.started = append(s.started, s.Entry)
	settings.Entries = []netip.AddrPort{s.Entry.Address("peer")}
	for i := range l.Targets {
		settings.Seed++
		target, err := s.fleet.TargetWith(fmt.Sprintf("target-%d", i+1), settings)
		if err != nil {
			return err
		}
		s.started = append(s.started, target)
		s.Targets = append(s.Targets, target)
	}
	return Until(ctx, "entry serves", func() bool {
		var status struct{ Targets int }
		return Read(s.Entry.Address("admin"), "/v1/status", &status) && status.Targets == l.Targets &&
			Serves(s.Entry.Address("traffic"), "", l.Path)
	})
}

// Plain starts the naive proxy in front of the same targets.
func (s *Single) Plain(prefix string) (*Process, error) {
	var targets []string
	for _, t := range s.Targets {
		targets = append(targets, t.Address("address").String())
	}
	p, err := Start("plain", s.fleet.Programs["bench"], "plain", "--targets", strings.Join(targets, ","), "--prefix", prefix)
	if err == nil {
		s.started = append(s.started, p)
	}
	return p, err
}

// Close ends all processes of the fleet and removes its folder.
func (s *Single) Close() {
	for _, p := range s.started {
		p.Kill()
	}
	_ = os.RemoveAll(s.fleet.Folder) // in the folder for temporary files
}

// client opens a connection for each request, so that a fault of the open
// connections of a target does not hit the questions of the bench.
var client = &http.Client{Timeout: askTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// Until polls until a state of other processes is reached.
func Until(ctx context.Context, what string, reached func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !reached() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.Errorf("not reached in %s: %s", readyBound, what)
		}
	}
	return nil
}

// Serves reports whether a lookup is answered.
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

// Read reads a JSON document and reports whether there was one.
func Read(at netip.AddrPort, path string, into any) bool {
	resp, err := client.Get(fmt.Sprintf("http://%s%s", at, path))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(into) == nil
}

func submit(admin netip.AddrPort, text string) bool {
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
