package procs_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/galenalock/galenalock/bench/procs"
	"github.com/galenalock/galenalock/bench/stub"
)

// fault sets the fault of a target.
func (f *fleet) fault(target *procs.Process, fault string) {
	f.Helper()
	resp, err := http.Post(fmt.Sprintf("http://%s/stub/fault", target.Address("address")), "application/json", bytes.NewReader([]byte(fault)))
	f.check(err)
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		f.Fatalf("fault %s: status %d", fault, resp.StatusCode)
	}
}

// counts returns the counters of a target.
func (f *fleet) counts(target *procs.Process) stub.Counts {
	var c stub.Counts
	f.read(target.Address("address"), "/stub/counts", &c)
	return c
}

// load sends lookups over all entries until the returned function is called.
func (f *fleet) load(workers int) (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	for i := range workers {
		wait.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					f.send(http.MethodGet, i%len(f.entries), "/tables/x", nil, "")
				}
			}
		})
	}
	return func() { close(done); wait.Wait() }
}

// stateOf returns the state of a target as control shows it.
func (f *fleet) stateOf(target *procs.Process) string {
	var doc struct {
		Targets []struct{ Address, State string }
	}
	f.ask("/v1/targets", &doc)
	for _, t := range doc.Targets {
		if t.Address == target.Address("address").String() {
			return t.State
		}
	}
	return ""
}

// Guards against a slow target that stays in service, one that never returns
// after it has recovered, and against parts that each work but are not
// connected: evidence, decision, grant, lease, routing and probation.
func TestSlowTargetIsEjectedAndReturns(t *testing.T) {
	f := start(t, layout{replicas: 1, entries: 3, targets: 4})
	slow := f.targets[0]
	stop := f.load(12)
	defer stop()
	f.until("every target has a percentile", func() bool { return f.counts(slow).Ran[stub.Lookup] > 500 })
	began := time.Now()
	f.fault(slow, `{"factor":10}`)
	f.until("slow target ejected", func() bool { return f.stateOf(slow) == "ejected" })
	t.Logf("ejected after %s", time.Since(began))
	for _, healthy := range f.targets[1:4] {
		if state := f.stateOf(healthy); state != "ready" {
			t.Errorf("healthy target is %s", state)
		}
	}
	f.fault(slow, `{}`)
	f.until("recovered target in service", func() bool { return f.stateOf(slow) == "ready" })
	t.Logf("back in service after %s", time.Since(began))
}

// Guards against a leaving target that still gets new requests after 5 s.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	f := start(t, layout{replicas: 1, entries: 3, targets: 2})
	leaving := f.targets[0]
	stop := f.load(6)
	defer stop()
	f.until("the target has traffic", func() bool { return f.counts(leaving).Ran[stub.Lookup] > 50 })
	f.check(leaving.Stop())
	var ended struct{ Last string }
	lines := leaving.Lines()
	f.check(json.Unmarshal([]byte(lines[len(lines)-1]), &ended))
	last, err := time.ParseDuration(ended.Last)
	f.check(err)
	t.Logf("last new request %s after the announcement", last)
	if last > 5*time.Second {
		t.Errorf("new request %s after the announcement of leaving", last)
	}
}

// drain puts a drain of an operator, or ends it.
func (f *fleet) drain(method, name string) {
	f.Helper()
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s/v1/drains/%s", f.admins[1], name), nil)
	f.check(err)
	resp, err := http.DefaultClient.Do(r)
	f.check(err)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		f.Fatalf("%s drain %s: status %d", method, name, resp.StatusCode)
	}
}

// Guards against drains of operators that reach only some entries, and against
// an instance that stays ready while it is drained.
func TestOperatorDrains(t *testing.T) {
	f := start(t, layout{replicas: 1, entries: 2, targets: 2})
	stop := f.load(4)
	defer stop()
	drained, other := f.targets[0], f.targets[1]
	ran := func(p *procs.Process) int { return f.counts(p).Ran[stub.Lookup] }
	f.until("the target has traffic", func() bool { return ran(drained) > 20 })
	f.drain(http.MethodPut, drained.Address("address").String())
	f.until("no new requests while the other target runs 200", func() bool {
		before, mark := ran(drained), ran(other)
		f.until("other target runs 200", func() bool { return ran(other) >= mark+200 })
		return ran(drained) == before
	})
	f.drain(http.MethodDelete, drained.Address("address").String())
	before := ran(drained)
	f.until("the target has traffic again", func() bool { return ran(drained) > before+20 })

	ready := func() bool {
		resp, err := http.Get(fmt.Sprintf("http://%s/readyz", f.entries[0].Address("admin")))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	f.drain(http.MethodPut, "entry-1")
	f.until("drained entry is unready", func() bool { return !ready() })
	if status := f.status(0); status != http.StatusOK {
		t.Errorf("request to a drained entry: status %d", status)
	}
	f.drain(http.MethodDelete, "entry-1")
	f.until("entry is ready again", ready)
}
