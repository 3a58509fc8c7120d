package procs_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/galenalock/galenalock/bench/procs"
	"github.com/galenalock/galenalock/bench/stub"
)

// stateTimeout bounds the wait for a state of other processes.
const stateTimeout = 30 * time.Second

const serviceText = `
[[service]]
name = "tables"
floor = "50%"
policy = "fast"
[[service.kind]]
name = "lookup"
repeat = true
[[service]]
name = "ledger"
floor = "50%"
[[service.kind]]
name = "order"
methods = ["POST"]
repeat = false
key = "required"
timeout = "5s"
[[service]]
name = "intake"
floor = "50%"
[[service.kind]]
name = "upload"
methods = ["POST"]
repeat = false
upload = true
timeout = "5m"
[[route]]
prefix = "/tables"
service = "tables"
strip = true
[[route]]
prefix = "/ledger"
service = "ledger"
strip = true
[[route]]
prefix = "/uploads"
service = "intake"
`

var programs procs.Programs

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "galenalock-procs-")
	if err == nil {
		programs, err = procs.Build(folder, "control", "entry", "bench")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// fleet is a running fleet with the test that started it.
type fleet struct {
	*testing.T
	procs.Fleet
	place    procs.Place
	replicas map[int]netip.AddrPort
	admins   map[int]netip.AddrPort
	control  map[int]*procs.Process
	entries  []*procs.Process
	targets  []*procs.Process
}

// fleetSize holds the numbers of processes of a fleet.
type fleetSize struct{ replicas, entries, targets int } // targets is per service

func startFleet(t *testing.T, size fleetSize) *fleet {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes, which the race detector does not see")
	}
	return launchFleet(t, size)
}

// launchFleet starts a fleet, in short mode too. The settings are further lines in the
// settings files of control replicas and entries.
func launchFleet(t *testing.T, size fleetSize, settings ...string) *fleet {
	t.Helper()
	f := &fleet{
		T: t, Fleet: procs.Fleet{Name: "test", Folder: t.TempDir(), Programs: programs, Settings: settings},
		place: procs.Place{Region: "salish", DataCentre: "salish-1"},
	}
	free, err := procs.FreeAddresses(2 * size.replicas)
	f.noError(err)
	f.replicas, f.admins, f.control = map[int]netip.AddrPort{}, map[int]netip.AddrPort{}, map[int]*procs.Process{}
	for id := 1; id <= size.replicas; id++ {
		f.replicas[id], f.admins[id] = free[2*id-2], free[2*id-1]
	}
	for id := 1; id <= size.replicas; id++ {
		f.startControl(id)
	}
	f.submit(0, "first", serviceText, 1)
	var peers []netip.AddrPort
	for i := range size.entries {
		p, err := f.StartEntry(fmt.Sprintf("entry-%d", i+1), f.place, peers...)
		f.noError(err)
		f.entries = append(f.entries, p)
		peers = append(peers, p.Address("peer"))
		f.killAtEnd(p)
	}
	for _, service := range []string{"tables", "ledger", "intake"} {
		for range size.targets {
			p, err := f.StartTarget(service, f.place, peers...)
			f.noError(err)
			f.targets = append(f.targets, p)
			f.killAtEnd(p)
		}
	}
	for i := range f.entries {
		f.waitUntil("entry serves", func() bool {
			return (size.targets == 0 || f.lookupStatus(i) == http.StatusOK) && f.knownTargets(i) == len(f.targets)
		})
	}
	return f
}

// killAtEnd kills a process at the end of the test. A test that needs a graceful
// shutdown calls Stop itself.
func (f *fleet) killAtEnd(p *procs.Process) { f.Cleanup(p.Kill) }

func (f *fleet) noError(err error) {
	f.Helper()
	if err != nil {
		f.Fatal(err)
	}
}

// startControl starts or restarts a control replica.
func (f *fleet) startControl(id int) {
	f.Helper()
	p, err := f.StartControl(id, f.place, f.replicas, f.admins[id])
	f.noError(err)
	f.control[id] = p
	f.killAtEnd(p)
}

// readAdmin reads a document from the admin address of the first control replica
// that answers.
func (f *fleet) readAdmin(path string, into any) {
	for id := 1; id <= len(f.admins); id++ {
		if f.readJSON(f.admins[id], path, into) {
			return
		}
	}
}

// leader waits for a leader and returns the number of its replica.
func (f *fleet) leader() int {
	var doc struct{ Leader int }
	f.waitUntil("a leader", func() bool {
		f.readAdmin("/v1/replicas", &doc)
		return doc.Leader != 0
	})
	return doc.Leader
}

// waitUntil polls reached until it reports true, and fails the test with the log
// of control after stateTimeout.
func (f *fleet) waitUntil(what string, reached func() bool) {
	f.Helper()
	for end := time.Now().Add(stateTimeout); !reached(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			for _, p := range f.control {
				for _, line := range p.Lines() {
					f.Log(line)
				}
			}
			f.Fatalf("not reached in %s: %s", stateTimeout, what)
		}
	}
}

func (f *fleet) lookupStatus(entry int) int {
	status, _ := f.send(http.MethodGet, entry, "/tables/x", nil, "")
	return status
}

func (f *fleet) knownTargets(entry int) int {
	var s struct{ Targets int }
	f.readJSON(f.entries[entry].Address("admin"), "/v1/status", &s)
	return s.Targets
}

// readJSON reads a document and reports whether the status was 200 and the
// document could be decoded.
func (f *fleet) readJSON(at netip.AddrPort, path string, into any) bool {
	resp, err := http.Get(fmt.Sprintf("http://%s%s", at, path))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(into) == nil
}

func (f *fleet) submit(base uint64, change, text string, want float64) {
	f.Helper()
	body, err := json.Marshal(map[string]any{"base": base, "change": change, "text": text})
	f.noError(err)
	var answer map[string]any
	f.waitUntil("change accepted", func() bool {
		for _, admin := range f.admins {
			resp, err := http.Post(fmt.Sprintf("http://%s/v1/submit", admin), "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			err = json.NewDecoder(resp.Body).Decode(&answer)
			_ = resp.Body.Close()
			if err == nil && resp.StatusCode == http.StatusOK {
				return true
			}
		}
		return false
	})
	if answer["revision"] != want {
		f.Fatalf("change %s became revision %v, want %v", change, answer["revision"], want)
	}
}

func (f *fleet) send(method string, entry int, path string, body io.Reader, key string) (int, []byte) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", f.entries[entry].Address("traffic"), path), body)
	f.noError(err)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// executions returns how often each key was executed, over all targets.
func (f *fleet) executions() map[string]int {
	out := map[string]int{}
	for _, p := range f.targets {
		var c stub.Counts
		f.readJSON(p.Address("address"), "/stub/counts", &c)
		for key, run := range c.Keys {
			out[key] += run.Times
		}
	}
	return out
}

// sendOrder sends an order with a key until it succeeds, and returns the answer.
func (f *fleet) sendOrder(entry int, key string) []byte {
	f.Helper()
	var answer []byte
	f.waitUntil("order "+key, func() bool {
		status, body := f.send(http.MethodPost, entry, "/ledger/orders", bytes.NewReader([]byte(key)), key)
		answer = body
		return status == http.StatusOK
	})
	return answer
}
