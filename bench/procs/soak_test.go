package procs_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/galenalock/galenalock/bench/procs"
	"github.com/galenalock/galenalock/bench/stub"
	"github.com/galenalock/galenalock/core/refuse"
)

var (
	soakSeeds = flag.Int("soak.seeds", 2, "number of seeds of the fault soak")
	soakFirst = flag.Uint64("soak.first", 1, "first seed of the fault soak")
	soakTime  = flag.Duration("soak.time", 12*time.Second, "duration of the faults of one seed")
)

const (
	soakCallers   = 8
	soakSteps     = 4 // series of faults that overlap
	soakStopLimit = 20 * time.Second
)

// soak is a fleet with callers that use their connections until the entry is gone,
// while processes are stopped, killed, frozen and restarted, and one entry is cut off
// from all targets.
type soak struct {
	*fleet
	seed uint64

	mu       sync.Mutex // guards the processes and what follows
	busy     map[string]bool
	revision uint64
	failures []string
	stopping []atomic.Bool // by entry: a graceful stop has begun and nothing else happened to the entry since
	answers  atomic.Int64

	cutTraffic netip.AddrPort // of a further entry, which loses its path to all targets at times
	cutter     *cutter
}

// order is what a caller saw of one order.
type order struct {
	key      string
	attempts int
	refused  int // attempts that were refused with run "no"
	answered bool
	cutBy    string // entry that broke an attempt off during a graceful stop
}

// Guards against broken promises under faults that overlap: orders that run twice
// or are reported as not run, answers of other requests, requests that a graceful
// stop cuts off, and accepted changes that are lost.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes, which the race detector does not see")
	}
	for n := range uint64(*soakSeeds) {
		seed := *soakFirst + n
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			s := &soak{fleet: startFleet(t, fleetSize{replicas: 3, entries: 4, targets: 2}), seed: seed, busy: map[string]bool{}, revision: 1}
			s.stopping = make([]atomic.Bool, len(s.entries)+1)
			d, cutter := s.startCutEntry("cut")
			s.cutTraffic, s.cutter = d.Traffic(), cutter
			s.waitUntil("the further entry serves", d.Ready)
			s.run()
		})
	}
}

func (s *soak) run() {
	end := time.After(*soakTime)
	done := make(chan struct{})
	var faults, callers sync.WaitGroup
	for step := range soakSteps {
		rng := rand.New(rand.NewPCG(s.seed, uint64(step)))
		faults.Go(func() { s.injectFaults(rng, done) })
	}
	orders := make([][]order, soakCallers)
	for caller := range soakCallers {
		rng := rand.New(rand.NewPCG(s.seed, uint64(100+caller)))
		callers.Go(func() { orders[caller] = s.call(caller, rng, done) })
	}
	<-end
	close(done)
	faults.Wait()
	callers.Wait()
	s.check(orders)
}

func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// claim reserves a process for one fault at a time.
func (s *soak) claim(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[name] {
		return false
	}
	s.busy[name] = true
	return true
}

func (s *soak) release(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, name)
}

func (s *soak) entry(n int) *procs.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[n]
}

// injectFaults plays a series of random faults until done. The first entry is only
// frozen, since targets know the entries by the addresses of their first start.
func (s *soak) injectFaults(rng *rand.Rand, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rng.IntN(700)) * time.Millisecond):
		}
		entry, replica := rng.IntN(len(s.entries)), 1+rng.IntN(len(s.admins))
		pause := time.Duration(50+rng.IntN(1500)) * time.Millisecond
		switch fault := rng.IntN(12); {
		case fault < 3 && entry > 0:
			s.restartEntry(entry, true)
		case fault < 5 && entry > 0:
			s.restartEntry(entry, false)
		case fault < 6:
			s.freeze(fmt.Sprint("entry-", entry), func() *procs.Process { return s.entry(entry) }, pause)
		case fault < 8:
			s.disturbReplica(replica, rng.IntN(2) == 0, pause)
		case fault < 10:
			s.cutPath([]cutMode{hang, reset, refused}[rng.IntN(3)], 2*pause)
		default:
			s.change()
		}
	}
}

// cutPath cuts the further entry off from all targets for some time.
func (s *soak) cutPath(mode cutMode, pause time.Duration) {
	if !s.claim("path") {
		return
	}
	defer s.release("path")
	s.cutter.set(mode)
	<-time.After(pause)
	s.cutter.set(uncut)
}

// traffic returns the address for callers of an entry. The last one is the entry that
// loses its path.
func (s *soak) traffic(n int) netip.AddrPort {
	if n == len(s.entries) {
		return s.cutTraffic
	}
	return s.entry(n).Address("traffic")
}

func (s *soak) restartEntry(n int, graceful bool) {
	name := fmt.Sprint("entry-", n)
	if !s.claim(name) {
		return
	}
	defer s.release(name)
	p := s.entry(n)
	if graceful {
		s.stopping[n].Store(true)
		stopped := make(chan error, 1)
		go func() { stopped <- p.Stop() }()
		select {
		case err := <-stopped:
			if err != nil {
				s.fail("%s: stop: %v", name, err)
			}
		case <-time.After(soakStopLimit):
			s.fail("%s did not stop within %s", name, soakStopLimit)
			p.Kill()
		}
	} else {
		p.Kill()
	}
	next, err := s.StartEntry(fmt.Sprintf("entry-%d", n+1), s.place, s.entry(0).Address("peer"))
	if err != nil {
		s.fail("%s: start: %v", name, err)
		return
	}
	s.killAtEnd(next)
	s.mu.Lock()
	s.entries[n] = next
	s.mu.Unlock()
	s.stopping[n].Store(false)
}

func (s *soak) freeze(name string, process func() *procs.Process, pause time.Duration) {
	if !s.claim(name) {
		return
	}
	defer s.release(name)
	p := process()
	p.Signal(syscall.SIGSTOP)
	<-time.After(pause)
	p.Signal(syscall.SIGCONT)
}

// disturbReplica freezes a replica, or kills and restarts it. One replica is
// disturbed at a time, so that the others keep their majority.
func (s *soak) disturbReplica(id int, kill bool, pause time.Duration) {
	if !s.claim("control") {
		return
	}
	defer s.release("control")
	p := s.control[id]
	if !kill {
		p.Signal(syscall.SIGSTOP)
		<-time.After(pause)
		p.Signal(syscall.SIGCONT)
		return
	}
	p.Kill()
	next, err := s.StartControl(id, s.place, s.replicas, s.admins[id])
	if err != nil {
		s.fail("control-%d: start: %v", id, err)
		return
	}
	s.killAtEnd(next)
	s.control[id] = next
}

// change submits a change to every replica in turn until one accepts it.
func (s *soak) change() {
	if !s.claim("change") {
		return
	}
	defer s.release("change")
	next := s.revision + 1
	body, err := json.Marshal(map[string]any{
		"base": s.revision, "change": fmt.Sprint("change-", next), "text": fmt.Sprintf("%s# %d\n", serviceText, next),
	})
	if err != nil {
		s.fail("change: %v", err)
		return
	}
	client := http.Client{Timeout: 5 * time.Second}
	for end := time.Now().Add(stateTimeout); time.Now().Before(end); {
		for _, admin := range s.admins {
			response, err := client.Post(fmt.Sprintf("http://%s/v1/submit", admin), "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			var answer struct{ Revision uint64 }
			err = json.NewDecoder(response.Body).Decode(&answer)
			_ = response.Body.Close()
			switch {
			case err != nil || response.StatusCode >= http.StatusInternalServerError || response.StatusCode == http.StatusTooManyRequests:
			case response.StatusCode != http.StatusOK || answer.Revision != next:
				s.fail("change %d: status %d, revision %d", next, response.StatusCode, answer.Revision)
				return
			default:
				s.revision = next
				return
			}
		}
	}
	s.fail("change %d was not accepted within %s", next, stateTimeout)
}

// call sends lookups, uploads and orders, one after the other, until done.
func (s *soak) call(caller int, rng *rand.Rand, done <-chan struct{}) []order {
	var orders []order
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: 15 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-done:
			return orders
		case <-time.After(time.Duration(rng.IntN(20)) * time.Millisecond):
		}
		entry := rng.IntN(len(s.entries) + 1)
		switch rng.IntN(4) {
		case 0:
			_, _ = s.exchange(client, entry, http.MethodGet, "/tables/x", nil, "") // a failure is allowed, a wrong answer is reported
		case 1:
			body := bytes.Repeat([]byte(fmt.Sprintf("%d/%d ", caller, n)), 1+rng.IntN(20000))
			_, _ = s.exchange(client, entry, http.MethodPost, "/uploads/x", body, "")
		default:
			o := order{key: fmt.Sprintf("order-%d-%d", caller, n)}
			for o.attempts = 0; o.attempts < 1+rng.IntN(4) && !o.answered; {
				s.sendOnce(client, (entry+o.attempts)%(len(s.entries)+1), &o)
			}
			orders = append(orders, o)
		}
	}
}

// sendOnce sends an order once and records what the caller sees.
func (s *soak) sendOnce(client *http.Client, entry int, o *order) {
	o.attempts++
	before := s.traffic(entry)
	status, body := s.exchange(client, entry, http.MethodPost, "/ledger/orders", []byte(o.key), o.key)
	var refused refuse.Document
	switch {
	case status == http.StatusOK:
		o.answered = true
	case status == 0 && s.stopping[entry].Load() && s.traffic(entry) == before:
		o.cutBy = fmt.Sprint("entry-", entry)
	case status != 0 && json.Unmarshal(body, &refused) == nil && refused.Run == refuse.NotRun:
		o.refused++
	}
}

// exchange sends a request and checks that an answer belongs to it. The status is 0
// if there was no complete answer.
func (s *soak) exchange(client *http.Client, entry int, method, path string, body []byte, key string) (int, []byte) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", s.traffic(entry), path), bytes.NewReader(body))
	if err != nil {
		s.fail("request: %v", err)
		return 0, nil
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	if response.StatusCode == http.StatusOK && method == http.MethodPost {
		s.answers.Add(1)
		var answer stub.Answer
		sum := sha256.Sum256(body)
		if err := json.Unmarshal(data, &answer); err != nil || key != "" && answer.Key != key || answer.Digest != hex.EncodeToString(sum[:]) {
			s.fail("%s %s got the answer %s", path, key, data)
		}
	}
	return response.StatusCode, data
}

// check compares what callers saw with what targets ran, and the accepted changes
// with the configuration in force.
func (s *soak) check(orders [][]order) {
	s.waitUntil("the last accepted change is in force on all entries", func() bool {
		for n := range s.entries {
			var status struct{ Revision uint64 }
			if !s.readJSON(s.entry(n).Address("admin"), "/v1/status", &status) || status.Revision < s.revision {
				return false
			}
		}
		return true
	})
	ran := s.executions()
	total := 0
	for _, list := range orders {
		for _, o := range list {
			total++
			switch times := ran[o.key]; {
			case times > 1:
				s.fail("%s ran %d times", o.key, times)
			case o.answered && times == 0:
				s.fail("%s was answered and did not run", o.key)
			case o.refused == o.attempts && times > 0:
				s.fail("%s ran, and all %d attempts were refused as not run", o.key, o.attempts)
			case o.cutBy != "" && o.attempts == 1 && times == 1:
				s.fail("%s was cut off by the graceful stop of %s", o.key, o.cutBy)
			}
		}
	}
	s.Logf("seed %d: %d orders, %d answers checked, %d changes", s.seed, total, s.answers.Load(), s.revision-1)
	if total == 0 || s.answers.Load() == 0 {
		s.fail("no order was answered")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, failure := range s.failures {
		s.Error(failure)
	}
	if len(s.failures) > 0 {
		s.keepLogs()
	}
}

// keepLogs writes the last log lines of all processes to the folder that
// SOAK_LOGS names, if any.
func (s *soak) keepLogs() {
	folder := os.Getenv("SOAK_LOGS")
	if folder == "" {
		return
	}
	list := append([]*procs.Process{}, s.entries...)
	for _, p := range s.control {
		list = append(list, p)
	}
	for i, p := range list {
		var b bytes.Buffer
		for _, line := range p.Lines() {
			b.WriteString(line + "\n")
		}
		if err := os.WriteFile(filepath.Join(folder, fmt.Sprintf("%d-%d-%s.log", s.seed, i, p.Name)), b.Bytes(), 0o600); err != nil {
			s.Logf("logs not kept: %v", err)
		}
	}
}
