// Package quiet measures connections that go silent while new ones work, with
// an entry and the naive proxy as processes in front of the same targets.
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
	targets  = 4
	silenced = 2 // targets whose open connections go silent
	// With 30 ms at 200 requests/s each variant has several connections open to
	// each target, and 16 slots let no request wait for one.
	latency = 30 * time.Millisecond
	slots   = 16
	// late is a latency that only the fault explains: the targets take 30 ms,
	// and both variants wait one second before they doubt a connection.
	late      = 500 * time.Millisecond
	setBound  = 300 * time.Millisecond
	watchEach = 100 * time.Millisecond
	prefix    = "/tables"
)

const text = `
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

// Scene is one measurement.
type Scene struct {
	Seed  uint64
	Rate  float64       // requests per second and variant
	Warm  time.Duration // load before the fault
	After time.Duration // load after the fault
}

// Run starts a fleet, loads both variants at once and turns the open
// connections of some targets silent.
func Run(ctx context.Context, s Scene) (naive, real Result, err error) {
	settings := stub.Defaults()
	settings.Seed, settings.Slots, settings.Latency = s.Seed, slots, stub.Duration(latency)
	fleet, err := procs.StartSingle(ctx, procs.Layout{Text: text, Path: prefix + "/lookups", Targets: targets, Target: settings})
	if err != nil {
		return naive, real, err
	}
	defer fleet.Close()
	plain, err := fleet.Plain(prefix)
	if err != nil {
		return naive, real, err
	}
	samples := [2]*samples{{}, {}}
	before := retriesOf(fleet.Entry.Address("admin"))
	errs := make([]error, 3)
	var wait sync.WaitGroup
	for i, address := range []netip.AddrPort{plain.Address("address"), fleet.Entry.Address("traffic")} {
		plan := load.Plan{
			Address: address, Prefix: prefix, Rate: s.Rate, Duration: s.Warm + s.After, Seed: s.Seed,
			Label: fmt.Sprintf("quiet-%d", i), Ended: samples[i].add,
		}
		wait.Go(func() { _, errs[i] = load.Run(ctx, plan) })
	}
	watch, stop := context.WithCancel(ctx)
	ejected := make(chan int, 1)
	go func() { ejected <- ejections(watch, fleet.Admin) }()
	warm := time.NewTimer(s.Warm) // the length of the load before the fault, not a wait for a state
	defer warm.Stop()
	var at time.Time
	select {
	case <-warm.C:
		at = time.Now()
		errs[2] = silence(ctx, fleet.Targets[:silenced])
	case <-ctx.Done():
		errs[2] = eris.Wrap(ctx.Err(), "quiet")
	}
	wait.Wait()
	stop()
	real.FalseEjections = float64(<-ejected)
	for _, err := range errs {
		if err != nil {
			return naive, real, err
		}
	}
	var counts struct{ Retries, Ejections int }
	if !procs.ReadJSON(plain.Address("address"), "/plain/counts", &counts) {
		return naive, real, eris.New("the naive proxy gave no counts")
	}
	naive.Retries, naive.FalseEjections = float64(counts.Retries), float64(counts.Ejections)
	real.Retries = retriesOf(fleet.Entry.Address("admin")) - before
	samples[0].into(&naive, at)
	samples[1].into(&real, at)
	return naive, real, nil
}

// silence turns the open connections of targets silent. The answer is lost on
// the connection that carried the order, so another one asks for the result.
func silence(ctx context.Context, targets []*procs.Process) error {
	body, err := json.Marshal(stub.Fault{Silent: true})
	if err != nil {
		return eris.Wrap(err, "fault")
	}
	client := &http.Client{Timeout: setBound, Transport: &http.Transport{DisableKeepAlives: true}}
	var orders sync.WaitGroup
	for _, t := range targets {
		url := fmt.Sprintf("http://%s/stub/fault", t.Address("address"))
		orders.Go(func() {
			if resp, err := client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
				resp.Body.Close()
			}
		})
	}
	orders.Wait()
	return procs.Until(ctx, "connections silent", func() bool {
		for _, t := range targets {
			var fault stub.Fault
			if !procs.ReadJSON(t.Address("address"), "/stub/fault", &fault) || !fault.Silent {
				return false
			}
		}
		return true
	})
}

// ejections counts the ejections that control shows until ctx ends.
func ejections(ctx context.Context, admin netip.AddrPort) int {
	out, count := map[string]bool{}, 0
	ticker := time.NewTicker(watchEach)
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
			if now && !out[t.Address] {
				count++
			}
			out[t.Address] = now
		}
	}
}

// retriesOf sums the retries of an entry over their reasons.
func retriesOf(admin netip.AddrPort) float64 {
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
