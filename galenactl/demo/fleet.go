package demo

import (
	"context"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/galenalock/galenalock/bench/stub"
	control "github.com/galenalock/galenalock/control/daemon"
	entry "github.com/galenalock/galenalock/entry/daemon"
)

// Fleet name and location of all instances.
const (
	fleetName  = "demo"
	region     = "salish"
	dataCentre = "salish-1"
)

const serviceText = `# Services of the demo fleet.
[[service]]
name = "tables"
floor = "70%"
policy = "fast"
[[service.kind]]
name = "lookup"
methods = ["GET", "HEAD"]
repeat = true
hedge = true
timeout = "5s"

[[service]]
name = "ledger"
floor = "80%"
depends = ["tables"]
[[service.kind]]
name = "order"
methods = ["POST"]
path = "/orders"
repeat = false
key = "required"
weight = 10.0
timeout = "10s"

[[service]]
name = "intake"
floor = "60%"
[[service.kind]]
name = "upload"
methods = ["POST"]
path = "/uploads"
repeat = false
upload = true
weight = 5.0
timeout = "10m"

[[route]]
prefix = "/tables"
service = "tables"
strip = true

[[route]]
prefix = "/ledger"
service = "ledger"
strip = true

[[route]]
prefix = "/intake"
service = "intake"
strip = true
`

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// fleet is the running demo.
type fleet struct {
	control *control.Daemon
	entry   *entry.Daemon
	targets []*stub.Stub
	dataDir string
	group   *errgroup.Group
	cancels []context.CancelFunc // in shutdown order
}

// startFleet starts the replica, the entry and the targets. The replica and the
// entry write their log lines to log.
func startFleet(log io.Writer) (*fleet, error) {
	dataDir, err := os.MkdirTemp("", "galenalock-demo-")
	if err != nil {
		return nil, eris.Wrap(err, "create data directory")
	}
	f := &fleet{dataDir: dataDir, group: &errgroup.Group{}}
	f.control, err = control.New(control.Settings{
		Instance: "control-1", Fleet: fleetName, Region: region, DataCentre: dataCentre,
		Replica: 1, Peer: loopback, Admin: loopback, Replicas: map[uint64]netip.AddrPort{1: loopback},
		Data: filepath.Join(dataDir, "control"), Found: true, Grace: time.Second, Log: log,
	})
	if err != nil {
		return nil, err
	}
	f.entry, err = entry.New(entry.Settings{
		Instance: "entry-1", Fleet: fleetName, Region: region, DataCentre: dataCentre,
		Traffic: loopback, Peer: loopback, Admin: loopback,
		Control: []netip.AddrPort{f.control.Peer()}, Limit: 10 * time.Second, Ramp: time.Second, Log: log,
	})
	if err != nil {
		return nil, err
	}
	for _, service := range []string{"tables", "tables", "tables", "ledger", "ledger", "intake", "intake"} {
		t, err := stub.New(
			stub.WithService(service), stub.WithPlace(region, dataCentre),
			stub.WithEntries(f.entry.Peer()), stub.WithInterval(time.Second, 5*time.Second), stub.WithGrace(0),
		)
		if err != nil {
			return nil, err
		}
		f.targets = append(f.targets, t)
	}
	for _, t := range f.targets {
		f.startComponent(t.Run)
	}
	f.startComponent(f.entry.Run)
	f.startComponent(f.control.Run)
	return f, nil
}

func (f *fleet) startComponent(run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancels = append(f.cancels, cancel)
	f.group.Go(func() error { return run(ctx) })
}

// shutdown stops all components and removes the data directory.
func (f *fleet) shutdown() error {
	for _, cancel := range f.cancels {
		cancel()
	}
	err := f.group.Wait()
	if removeErr := os.RemoveAll(f.dataDir); err == nil {
		err = removeErr
	}
	return eris.Wrap(err, "shut down demo fleet")
}

// executions returns how often the targets executed requests with the
// idempotency key.
func (f *fleet) executions(key string) int {
	total := 0
	for _, t := range f.targets {
		total += t.Counts().Keys[key].Times
	}
	return total
}
