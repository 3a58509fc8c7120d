// Package quiet compares an entry and the naive proxy when open connections go
// silent while new ones work. Both are processes in front of the same targets.
package quiet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/bench/load"
	"github.com/galenalock/galenalock/bench/procs"
	"github.com/galenalock/galenalock/bench/stub"
)

const (
	targetCount     = 4
	silencedTargets = 2 // number of targets whose open connections go silent
	// At 30 ms and 200 requests/s each variant has several connections open to
	// each target, and with 16 slots no request has to wait for one.
	latency = 30 * time.Millisecond
	slots   = 16
	// lateThreshold is a latency that only the fault causes: the targets take
	// 30 ms, and the naive proxy gives up a silent connection after 1 s.
	lateThreshold   = 500 * time.Millisecond
	setFaultTimeout = 300 * time.Millisecond
	watchInterval   = 100 * time.Millisecond
	prefix          = "/tables"
)

const serviceText = `
[[service]]
name = "tables"
floor = "50%"
policy = "fast"
[[service.kind]]
name = "lookup"
repeat = true
[[route]]
prefix = "/tables"
service = "tables"
strip = true
`

// Scenario describes one run.
type Scenario struct {
	Seed        uint64
	Rate        float64       // requests per second to each variant
	Warmup      time.Duration // time under load before the fault
	Observation time.Duration // time under load after the fault
}

// Run starts a fleet, sends load to both variants at the same time and makes the
// open connections of some targets silent.
func Run(ctx context.Context, s Scenario) (naive, entry Result, err error) {
	settings := stub.Defaults()
	settings.Seed, settings.Slots, settings.Latency = s.Seed, slots, stub.Duration(latency)
	fleet, err := procs.StartSingleEntryFleet(ctx, procs.Layout{ServiceText: serviceText, LookupPath: prefix + "/lookups", Targets: targetCount, Target: settings})
	if err != nil {
		return naive, entry, err
	}
	defer fleet.Close()
	proxy, err := fleet.StartNaiveProxy(prefix)
	if err != nil {
		return naive, entry, err
	}
	samples := [2]*samples{{}, {}}
	before := readRetries(fleet.Entry.Address("admin"))
	errs := make([]error, 3)
	var wait sync.WaitGroup
	for i, address := range []netip.AddrPort{proxy.Address("address"), fleet.Entry.Address("traffic")} {
		plan := load.Plan{
			Address: address, Prefix: prefix, Rate: s.Rate, Duration: s.Warmup + s.Observation, Seed: s.Seed,
			Label: fmt.Sprintf("quiet-%d", i), OnEnd: samples[i].add,
		}
		wait.Go(func() { _, errs[i] = load.Run(ctx, plan) })
	}
	watch, stop := context.WithCancel(ctx)
	ejected := make(chan int, 1)
	go func() { ejected <- countEjections(watch, fleet.Admin) }()
	warm := time.NewTimer(s.Warmup) // length of the load before the fault, not a wait for a state
	defer warm.Stop()
	var faultTime time.Time
	select {
	case <-warm.C:
		faultTime = time.Now()
		errs[2] = silenceConnections(ctx, fleet.Targets[:silencedTargets])
	case <-ctx.Done():
		errs[2] = eris.Wrap(ctx.Err(), "quiet: interrupted")
	}
	wait.Wait()
	stop()
	entry.FalseEjections = float64(<-ejected)
	for _, err := range errs {
		if err != nil {
			return naive, entry, err
		}
	}
	var counts struct{ Retries, Ejections int }
	if !procs.ReadJSON(proxy.Address("address"), "/plain/counts", &counts) {
		return naive, entry, eris.New("no counts from the naive proxy")
	}
	naive.Retries, naive.FalseEjections = float64(counts.Retries), float64(counts.Ejections)
	entry.Retries = readRetries(fleet.Entry.Address("admin")) - before
	samples[0].summarize(&naive, faultTime)
	samples[1].summarize(&entry, faultTime)
	return naive, entry, nil
}

// silenceConnections makes the open connections of the targets silent. The request
// that sets the fault gets no answer, because its connection becomes silent too, so
// the fault is read back on a new connection.
func silenceConnections(ctx context.Context, targets []*procs.Process) error {
	body, err := json.Marshal(stub.Fault{Silent: true})
	if err != nil {
		return eris.Wrap(err, "encode fault")
	}
	client := &http.Client{Timeout: setFaultTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var requests sync.WaitGroup
	for _, t := range targets {
		url := fmt.Sprintf("http://%s/stub/fault", t.Address("address"))
		requests.Go(func() {
			if resp, err := client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
				resp.Body.Close()
			}
		})
	}
	requests.Wait()
	return procs.WaitUntil(ctx, "connections silent", func() bool {
		for _, t := range targets {
			var fault stub.Fault
			if !procs.ReadJSON(t.Address("address"), "/stub/fault", &fault) || !fault.Silent {
				return false
			}
		}
		return true
	})
}

// countEjections polls the states of the targets at control until ctx ends, and
// returns the number of ejections seen.
func countEjections(ctx context.Context, admin netip.AddrPort) int {
	wasEjected, count := map[string]bool{}, 0
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return count
		case <-ticker.C:
		}
		var doc struct {
			Targets []struct{ Address, State string }
		}
		procs.ReadJSON(admin, "/v1/targets", &doc)
		for _, t := range doc.Targets {
			now := t.State == "ejected"
			if now && !wasEjected[t.Address] {
				count++
			}
			wasEjected[t.Address] = now
		}
	}
}

// readRetries returns the retries in the metrics of an entry, summed over their
// reasons.
func readRetries(admin netip.AddrPort) float64 {
	resp, err := http.Get(fmt.Sprintf("http://%s/metrics", admin))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	sum := 0.0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		line := lines.Text()
		if !strings.HasPrefix(line, "galenalock_retries_total") {
			continue
		}
		if n, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64); err == nil {
			sum += n
		}
	}
	return sum
}
