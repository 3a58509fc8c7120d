package procs_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
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

// bound is how long the tests wait for a state of other processes.
const bound = 30 * time.Second

const serviceText = `
[[service]]
name = "tables"
floor = "50%"
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

// fleet is a running fleet with one replica.
type fleet struct {
	*testing.T
	procs.Fleet
	at       procs.Place
	replicas map[int]netip.AddrPort
	admin    netip.AddrPort
	control  *procs.Process
	entries  []*procs.Process
	targets  []*procs.Process
}

func start(t *testing.T, entries, pairs int) *fleet {
	t.Helper()
	f := &fleet{
		T: t, Fleet: procs.Fleet{Name: "test", Folder: t.TempDir(), Programs: programs},
		at: procs.Place{Region: "salish", DataCentre: "salish-1"},
	}
	free, err := procs.Free(2)
	f.check(err)
	f.replicas, f.admin = map[int]netip.AddrPort{1: free[0]}, free[1]
	f.startControl()
	f.submit(0, "first", serviceText, 1)
	var peers []netip.AddrPort
	for i := range entries {
		p, err := f.Entry(fmt.Sprintf("entry-%d", i+1), f.at, peers...)
		f.check(err)
		f.entries = append(f.entries, p)
		peers = append(peers, p.Address("peer"))
		f.stopLater(p)
	}
	for _, service := range []string{"tables", "ledger", "intake"} {
		for range pairs {
			p, err := f.Target(service, f.at, peers...)
			f.check(err)
			f.targets = append(f.targets, p)
			f.stopLater(p)
		}
	}
	for i := range f.entries {
		f.until("entry serves", func() bool {
			return f.status(i) == http.StatusOK && f.targetsKnown(i) == len(f.targets)
		})
	}
	return f
}

// stopLater kills a process at the end of the test; graceful stops are what
// some tests are about.
func (f *fleet) stopLater(p *procs.Process) { f.Cleanup(p.Kill) }

func (f *fleet) check(err error) {
	f.Helper()
	if err != nil {
		f.Fatal(err)
	}
}

func (f *fleet) startControl() {
	f.Helper()
	p, err := f.Control(1, f.at, f.replicas, f.admin)
	f.check(err)
	f.control = p
	f.stopLater(p)
}

// until waits for a state of other processes.
func (f *fleet) until(what string, reached func() bool) {
	f.Helper()
	for end := time.Now().Add(bound); !reached(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.Fatalf("not reached in %s: %s", bound, what)
		}
	}
}

func (f *fleet) status(entry int) int {
	status, _ := f.send(http.MethodGet, entry, "/tables/x", nil, "")
	return status
}

func (f *fleet) targetsKnown(entry int) int {
	var s struct{ Targets int }
	f.read(f.entries[entry].Address("admin"), "/v1/status", &s)
	return s.Targets
}

func (f *fleet) read(at netip.AddrPort, path string, into any) {
	resp, err := http.Get(fmt.Sprintf("http://%s%s", at, path))
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(into)
}

func (f *fleet) submit(base uint64, change, text string, want float64) {
	f.Helper()
	body, err := json.Marshal(map[string]any{"base": base, "change": change, "text": text})
	f.check(err)
	var answer map[string]any
	f.until("change accepted", func() bool {
		resp, err := http.Post(fmt.Sprintf("http://%s/v1/submit", f.admin), "application/json", bytes.NewReader(body))
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return json.NewDecoder(resp.Body).Decode(&answer) == nil && resp.StatusCode == http.StatusOK
	})
	if answer["revision"] != want {
		f.Fatalf("change %s became revision %v, want %v", change, answer["revision"], want)
	}
}

func (f *fleet) send(method string, entry int, path string, body io.Reader, key string) (int, []byte) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", f.entries[entry].Address("traffic"), path), body)
	f.check(err)
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

// ran counts the executions by key over all targets.
func (f *fleet) ran() map[string]int {
	out := map[string]int{}
	for _, p := range f.targets {
		var c stub.Counts
		f.read(p.Address("address"), "/stub/counts", &c)
		for key, run := range c.Keys {
			out[key] += run.Times
		}
	}
	return out
}

// order sends one keyed order and returns the answer.
func (f *fleet) order(entry int, key string) []byte {
	f.Helper()
	var answer []byte
	f.until("order "+key, func() bool {
		status, body := f.send(http.MethodPost, entry, "/ledger/orders", bytes.NewReader([]byte(key)), key)
		answer = body
		return status == http.StatusOK
	})
	return answer
}

// Guards against a request that is lost, run twice or cut off while an entry
// stops and the replica restarts, with every part as a process of its own.
func TestFleetOfProcesses(t *testing.T) {
	f := start(t, 3, 2)
	first := f.order(0, "order-1")

	// An upload that is under way when its entry stops arrives whole.
	reader, writer := io.Pipe()
	body := bytes.Repeat([]byte("tide reading\n"), 40000)
	type outcome struct {
		status int
		answer []byte
	}
	uploaded := make(chan outcome, 1)
	go func() {
		status, answer := f.send(http.MethodPost, 0, "/uploads/1", reader, "")
		uploaded <- outcome{status, answer}
	}()
	_, err := writer.Write(body[:len(body)/2])
	f.check(err)
	stopped := make(chan error, 1)
	go func() { stopped <- f.entries[0].Stop() }()
	f.until("entry takes no new requests", func() bool { return f.status(0) != http.StatusOK })
	_, err = writer.Write(body[len(body)/2:])
	if err != nil {
		early := <-uploaded
		t.Fatalf("upload during the stop ended early: status %d: %s", early.status, early.answer)
	}
	f.check(writer.Close())
	got := <-uploaded
	var received stub.Answer
	f.check(json.Unmarshal(got.answer, &received))
	sum := sha256.Sum256(body)
	if got.status != http.StatusOK || received.Digest != hex.EncodeToString(sum[:]) {
		t.Fatalf("upload during the stop: status %d, %d of %d bytes", got.status, received.Length, len(body))
	}
	f.check(<-stopped)

	// A resend at another entry gets the first answer.
	if again := f.order(1, "order-1"); !bytes.Equal(first, again) {
		t.Fatalf("resend got %s, want %s", again, first)
	}

	// Lookups go on while the replica is away; orders go on after it is back.
	f.check(f.control.Stop())
	for i := range 20 {
		if status := f.status(1 + i%2); status != http.StatusOK {
			t.Fatalf("lookup without control: status %d", status)
		}
	}
	f.startControl()
	f.submit(1, "second", serviceText+"# changed\n", 2)
	for i := 2; i <= 10; i++ {
		f.order(1+i%2, fmt.Sprint("order-", i))
	}
	if again := f.order(2, "order-1"); !bytes.Equal(first, again) {
		t.Fatalf("resend after the restart got %s, want %s", again, first)
	}
	ran := f.ran()
	for i := 1; i <= 10; i++ {
		if key := fmt.Sprint("order-", i); ran[key] != 1 {
			t.Errorf("%s ran %d times", key, ran[key])
		}
	}
	for i := 1; i <= 2; i++ {
		f.until("revision 2 in force", func() bool {
			var s struct{ Revision uint64 }
			f.read(f.entries[i].Address("admin"), "/v1/status", &s)
			return s.Revision == 2
		})
	}
}
