package procs_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/galenalock/galenalock/bench/procs"
	"github.com/galenalock/galenalock/bench/stub"
	"github.com/galenalock/galenalock/core/eject"
)

// setFault sets the fault of a target, given as JSON.
func (f *fleet) setFault(target *procs.Process, fault string) {
	f.Helper()
	resp, err := http.Post(fmt.Sprintf("http://%s/stub/fault", target.Address("address")), "application/json", bytes.NewReader([]byte(fault)))
	f.noError(err)
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		f.Fatalf("fault %s: status %d", fault, resp.StatusCode)
	}
}

// counts returns the counters of a target.
func (f *fleet) counts(target *procs.Process) stub.Counts {
	var c stub.Counts
	f.readJSON(target.Address("address"), "/stub/counts", &c)
	return c
}

// startLoad sends lookups through all entries until the returned function is
// called.
func (f *fleet) startLoad(workers int) (stop func()) {
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

// targetState returns the state of a target in the list of control, or "".
func (f *fleet) targetState(target *procs.Process) string {
	var doc struct {
		Targets []struct{ Address, State string }
	}
	f.readAdmin("/v1/targets", &doc)
	for _, t := range doc.Targets {
		if t.Address == target.Address("address").String() {
			return t.State
		}
	}
	return ""
}

// Guards against a slow target that is not ejected and a recovered one that does
// not return to service. It runs the whole chain, in case its parts work but are
// not connected: evidence, decision, grant, lease, routing and probation.
func TestSlowTargetIsEjectedAndReturns(t *testing.T) {
	f := startFleet(t, fleetSize{replicas: 1, entries: 3, targets: 4})
	slow := f.targets[0]
	stop := f.startLoad(12)
	defer stop()
	f.waitUntil("every target has a percentile", func() bool { return f.counts(slow).Ran[stub.Lookup] > 500 })
	began := time.Now()
	f.setFault(slow, `{"factor":10}`)
	f.waitUntil("slow target ejected", func() bool { return f.targetState(slow) == "ejected" })
	t.Logf("ejected after %s", time.Since(began))
	for _, healthy := range f.targets[1:4] {
		if state := f.targetState(healthy); state != "ready" {
			t.Errorf("healthy target is %s", state)
		}
	}
	f.setFault(slow, `{}`)
	// A target whose grant was withdrawn is in service. It stays in the state
	// "withdrawn" until its last lease has expired on every entry, so that the floor
	// counts it as ejected until then.
	f.waitUntil("recovered target in service", func() bool {
		return slices.Contains([]string{"withdrawn", "ready"}, f.targetState(slow))
	})
	returned := time.Now()
	t.Logf("back in service after %s", returned.Sub(began))
	ran := f.counts(slow).Ran[stub.Lookup]
	f.waitUntil("recovered target has traffic", func() bool { return f.counts(slow).Ran[stub.Lookup] > ran+500 })
	t.Logf("500 requests %s after its return", time.Since(returned))
	f.waitUntil("last lease expired", func() bool { return f.targetState(slow) == "ready" })
	expired := time.Since(returned)
	t.Logf("last lease expired %s after its return", expired)
	if limit := eject.LeaseDuration + eject.MaxMessageDelay + time.Second; expired > limit {
		t.Errorf("state withdrawn for %s, want %s at most", expired, limit)
	}
}

// Guards against a target that still gets new requests more than 5 s after it
// has announced that it leaves.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	f := startFleet(t, fleetSize{replicas: 1, entries: 3, targets: 2})
	leaving := f.targets[0]
	stop := f.startLoad(6)
	defer stop()
	f.waitUntil("the target has traffic", func() bool { return f.counts(leaving).Ran[stub.Lookup] > 50 })
	f.noError(leaving.Stop())
	var ended struct{ Last string }
	lines := leaving.Lines()
	f.noError(json.Unmarshal([]byte(lines[len(lines)-1]), &ended))
	last, err := time.ParseDuration(ended.Last)
	f.noError(err)
	t.Logf("last new request %s after the announcement", last)
	if last > 5*time.Second {
		t.Errorf("new request %s after the announcement of leaving", last)
	}
}

// setDrain starts (PUT) or ends (DELETE) a drain by an operator.
func (f *fleet) setDrain(method, name string) {
	f.Helper()
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s/v1/drains/%s", f.admins[1], name), nil)
	f.noError(err)
	resp, err := http.DefaultClient.Do(r)
	f.noError(err)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		f.Fatalf("%s drain %s: status %d", method, name, resp.StatusCode)
	}
}

// Guards against a target drained by an operator to which some entries still send
// requests, and against a drained entry that still reports ready.
func TestOperatorDrains(t *testing.T) {
	f := startFleet(t, fleetSize{replicas: 1, entries: 2, targets: 2})
	stop := f.startLoad(4)
	defer stop()
	drained, other := f.targets[0], f.targets[1]
	ran := func(p *procs.Process) int { return f.counts(p).Ran[stub.Lookup] }
	f.waitUntil("the target has traffic", func() bool { return ran(drained) > 20 })
	f.setDrain(http.MethodPut, drained.Address("address").String())
	f.waitUntil("no new requests while the other target runs 200", func() bool {
		before, mark := ran(drained), ran(other)
		f.waitUntil("other target runs 200", func() bool { return ran(other) >= mark+200 })
		return ran(drained) == before
	})
	f.setDrain(http.MethodDelete, drained.Address("address").String())
	before := ran(drained)
	f.waitUntil("the target has traffic again", func() bool { return ran(drained) > before+20 })

	ready := func() bool {
		resp, err := http.Get(fmt.Sprintf("http://%s/readyz", f.entries[0].Address("admin")))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	f.setDrain(http.MethodPut, "entry-1")
	f.waitUntil("drained entry is unready", func() bool { return !ready() })
	if status := f.lookupStatus(0); status != http.StatusOK {
		t.Errorf("request to a drained entry: status %d", status)
	}
	f.setDrain(http.MethodDelete, "entry-1")
	f.waitUntil("entry is ready again", ready)
}
