package fleet_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"testing"
	"time"
	"unsafe"

	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/control/fleet"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

// reporter sends the reports of a fleet of some size to a replica.
type reporter struct {
	fleet   *fleet.Fleet
	handled chan struct{}
	size    uint64
	number  uint64
}

func startReporter(ctx context.Context, size int) *reporter {
	log := logrus.New()
	log.SetOutput(io.Discard)
	handled := make(chan struct{}, 1)
	f := fleet.New(fleet.Dependencies{
		View: state.New().View, IsLeader: func() bool { return false },
		SendReport: func(wire.Report) { handled <- struct{}{} }, SendNotices: func(string, wire.Kind, any) {}, CountDropped: func() {},
		ReplicaAddresses: func() []netip.AddrPort { return nil }, Clock: time.Now, Log: logrus.NewEntry(log),
	})
	go f.Run(ctx)
	r := &reporter{fleet: f, handled: handled, size: uint64(size)}
	for range size {
		r.report()
	}
	return r
}

func (r *reporter) report() {
	r.number++
	r.fleet.ReceiveReport(wire.Report{Instance: fmt.Sprint("entry-", r.number%r.size), Number: r.number, State: wire.StateReady}, true)
	<-r.handled
}

// Guards against a report that copies the whole list of instances, which keeps a replica
// busy while a large fleet starts.
func TestReportsDoNotCopyAllInstances(t *testing.T) {
	const instances, reports = 1000, 500
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := startReporter(ctx, instances)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range reports {
		r.report()
	}
	runtime.ReadMemStats(&after)
	copied := (after.TotalAlloc - before.TotalAlloc) / uint64(unsafe.Sizeof(fleet.Instance{})) / reports
	if copied > instances/10 {
		t.Errorf("each report allocates the size of %d instances", copied)
	}
}

// BenchmarkReports measures a report of each instance of a fleet, per report.
func BenchmarkReports(b *testing.B) {
	for _, size := range []int{50, 150, 443, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			r := startReporter(ctx, size)
			for b.Loop() {
				r.report()
			}
		})
	}
}
