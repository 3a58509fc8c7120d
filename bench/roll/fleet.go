package roll

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/bench/procs"
)

const (
	replicaCount  = 5
	dataCentres   = 6
	entryLinks    = 3
	tolerance     = 2
	submitTimeout = 2 * time.Second
	submitPause   = 20 * time.Millisecond // between two replicas that are asked
	giveUpTimeout = 30 * time.Second
	serviceCount  = 4
	churnClients  = 4
	churnInterval = 30 * time.Millisecond
)

// Options describe a run.
type Options struct {
	Folder   string
	Entries  int
	Routes   int
	Duration time.Duration
	Seed     uint64
	Present  procs.Programs
	Former   procs.Programs // of the first start; nil: Present
	// Calm leaves all processes alone.
	Calm bool
}

// Fleet is a fleet of processes that changes while it is observed.
type Fleet struct {
	Options
	Record   Record
	rng      *rand.Rand
	seeded   procs.Seeded
	replicas []*replica
	entries  []*entry
	revision uint64
}

type replica struct {
	name        string
	at          procs.Place
	peer, admin netip.AddrPort
	process     *procs.Process
}

type entry struct {
	name    string
	at      procs.Place
	process *procs.Process
	end     func(at time.Time)
}

// New returns a fleet whose processes are not started yet.
func New(o Options) *Fleet {
	return &Fleet{Options: o, rng: rand.New(rand.NewPCG(o.Seed, 0))}
}

func place(n int) procs.Place {
	return procs.Place{Region: fmt.Sprintf("region-%d", n%dataCentres/2), DataCentre: fmt.Sprintf("centre-%d", n%dataCentres)}
}

// starter returns what starts processes of a build.
func (f *Fleet) starter(programs procs.Programs) *procs.Fleet {
	return &procs.Fleet{Name: "roll", Folder: f.Folder, Programs: programs}
}

// Start starts all processes, of the former build if there is one.
func (f *Fleet) Start() error {
	programs := f.Present
	if f.Former != nil {
		programs = f.Former
	}
	addresses, err := procs.FreeAddresses(2 * replicaCount)
	if err != nil {
		return err
	}
	for n := range replicaCount {
		f.replicas = append(f.replicas, &replica{
			name: fmt.Sprintf("control-%d", n+1), at: place(n), peer: addresses[2*n], admin: addresses[2*n+1],
		})
	}
	f.seeded = procs.Seeded{Tolerance: tolerance, Links: entryLinks}
	for n := range 3 {
		f.seeded.Seeds = append(f.seeded.Seeds, f.replicas[n].peer)
	}
	for _, r := range f.replicas {
		if r.process, err = f.starter(programs).StartSeededControl(r.name, r.at, f.seeded, r.peer, r.admin, true); err != nil {
			return err
		}
	}
	for n := range f.Entries {
		e := &entry{name: fmt.Sprintf("entry-%d", n+1), at: place(n)}
		f.entries = append(f.entries, e)
		if err := f.startEntry(e, programs); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startEntry(e *entry, programs procs.Programs) error {
	inForce, end := f.Record.Start(e.name, time.Now())
	e.end = end
	process, err := f.starter(programs).StartSeededEntry(e.name, e.at, f.seeded, func(at time.Time, fields map[string]any) {
		if number, ok := fields["revision"].(float64); ok && fields["event"] == "revision in force" {
			inForce(at, uint64(number))
		}
	})
	e.process = process
	return err
}

// Stop kills all processes.
func (f *Fleet) Stop() {
	for _, r := range f.replicas {
		if r.process != nil {
			r.process.Kill()
		}
	}
	for _, e := range f.entries {
		if e.process != nil {
			e.process.Kill()
		}
	}
}

// Run submits changes and replaces processes until the duration is over.
func (f *Fleet) Run() error {
	if err := f.change(); err != nil { // the first one, before the time counts
		return err
	}
	done := make(chan struct{})
	var group sync.WaitGroup
	errs := make(chan error, 2) // of the two tasks that replace processes
	if !f.Calm {
		group.Go(func() { errs <- f.replaceEntries(done, rand.New(rand.NewPCG(f.Seed, 1))) })
		group.Go(func() { errs <- f.replaceReplicas(done, rand.New(rand.NewPCG(f.Seed, 2))) })
		for n := range churnClients {
			group.Go(func() { f.churn(done, n) })
		}
	}
	var err error
	for end := time.Now().Add(f.Duration); err == nil && time.Now().Before(end); {
		if f.rng.IntN(2) == 0 { // the other half follows at once
			pause(done, 100*time.Millisecond+time.Duration(f.rng.Int64N(int64(900*time.Millisecond))))
		}
		err = f.change()
	}
	close(done)
	group.Wait()
	close(errs)
	for failed := range errs {
		if err == nil {
			err = failed
		}
	}
	time.Sleep(ApplyBound + OuterBound) // the last changes count as well
	return err
}

// pause waits, and reports whether done was not closed meanwhile.
func pause(done <-chan struct{}, d time.Duration) bool {
	select {
	case <-done:
		return false
	case <-time.After(d):
		return true
	}
}

// replaceEntries replaces entries, one or a whole data centre at a time, by the
// present build.
func (f *Fleet) replaceEntries(done <-chan struct{}, rng *rand.Rand) error {
	next := 0
	for pause(done, 200*time.Millisecond+time.Duration(rng.Int64N(int64(600*time.Millisecond)))) {
		count := 1
		if rng.IntN(8) == 0 {
			count = f.Entries / dataCentres
		}
		step := 1
		if count > 1 {
			step = dataCentres // the entries of one data centre
		}
		var group sync.WaitGroup
		errs := make(chan error, count)
		for n := range count {
			e := f.entries[(next+n*step)%len(f.entries)]
			signal := stopSignal(rng)
			group.Go(func() {
				e.end(time.Now())
				e.process.Signal(signal)
				_ = e.process.Wait() // its status does not matter here
				errs <- f.startEntry(e, f.Present)
			})
		}
		group.Wait()
		close(errs)
		for err := range errs {
			if err != nil {
				return err
			}
		}
		next += count
	}
	return nil
}

// stopSignal returns SIGTERM or SIGKILL.
func stopSignal(rng *rand.Rand) syscall.Signal {
	return []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[rng.IntN(2)]
}

// churn sets and removes a drain of a name that no instance has, again and again. It
// stands for the other changes of the replicated state, such as those of targets.
func (f *Fleet) churn(done <-chan struct{}, client int) {
	caller := &http.Client{Timeout: submitTimeout}
	for n := 0; pause(done, churnInterval); n++ {
		method := []string{http.MethodPut, http.MethodDelete}[n%2]
		to := f.replicas[(client+n)%len(f.replicas)].admin
		request, err := http.NewRequest(method, fmt.Sprintf("http://%s/v1/drains/nobody-%d", to, client), http.NoBody)
		if err != nil {
			return
		}
		if resp, err := caller.Do(request); err == nil { // a replica may be down
			_ = resp.Body.Close()
		}
	}
}

// replaceReplicas replaces the replicas by the present build, one after another.
func (f *Fleet) replaceReplicas(done <-chan struct{}, rng *rand.Rand) error {
	for n := 0; pause(done, 10*time.Second+time.Duration(rng.Int64N(int64(5*time.Second)))); n++ {
		r := f.replicas[n%len(f.replicas)]
		f.Record.Disturb(time.Now())
		r.process.Signal(stopSignal(rng))
		_ = r.process.Wait() // its status does not matter here
		process, err := f.starter(f.Present).StartSeededControl(r.name, r.at, f.seeded, r.peer, r.admin, false)
		if err != nil {
			return err
		}
		r.process = process
		f.Record.Disturb(time.Now())
	}
	return nil
}

// text returns the service text of a revision, which differs from that of the one
// before in one route.
func (f *Fleet) text(revision uint64) string {
	var b strings.Builder
	for n := range serviceCount {
		fmt.Fprintf(&b, "[[service]]\nname = \"service-%d\"\nfloor = \"70%%\"\nhealth = \"/health\"\n\n", n)
	}
	for n := range f.Routes {
		service := 0
		if uint64(n) == revision%uint64(f.Routes) {
			service = int(revision % serviceCount)
		}
		fmt.Fprintf(&b, "[[route]]\nname = \"r-%d\"\nhost = \"caller.example\"\nprefix = \"/part-%d\"\nservice = \"service-%d\"\nkind = {name = \"r-%d\", repeat = true, timeout = \"5s\", goal = \"2s\", priority = 1, attempts = 2}\n\n",
			n, n, service, n)
	}
	return b.String()
}

// change submits the next change to the replicas, a random one first, until one has
// accepted it.
func (f *Fleet) change() error {
	body, err := json.Marshal(map[string]any{"base": f.revision, "change": fmt.Sprint("change-", f.revision+1), "text": f.text(f.revision + 1)})
	if err != nil {
		return eris.Wrap(err, "encode change")
	}
	client := &http.Client{Timeout: submitTimeout}
	first := f.rng.IntN(len(f.replicas))
	for n, end := 0, time.Now().Add(giveUpTimeout); time.Now().Before(end); n++ {
		to := f.replicas[(first+n)%len(f.replicas)].admin
		resp, err := client.Post(fmt.Sprintf("http://%s/v1/submit", to), "application/json", bytes.NewReader(body))
		if err != nil {
			time.Sleep(submitPause)
			continue
		}
		answer, _ := io.ReadAll(resp.Body) // only used in the error for an unexpected status
		_ = resp.Body.Close()
		switch {
		case resp.StatusCode == http.StatusOK:
			f.revision++
			f.Record.Accept(time.Now(), f.revision)
			return nil
		case resp.StatusCode < http.StatusInternalServerError:
			return eris.Errorf("submit change: unexpected status %d: %s", resp.StatusCode, answer)
		}
		time.Sleep(submitPause)
	}
	return eris.Errorf("no replica accepted change %d in %s", f.revision+1, giveUpTimeout)
}
