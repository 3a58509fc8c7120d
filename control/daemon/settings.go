package daemon

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/galenalock/galenalock/core/conf"
)

// Settings are the settings of a control replica.
type Settings struct {
	Instance   string
	Fleet      string
	Region     string
	DataCentre string
	Replica    int
	Peer       netip.AddrPort
	Admin      netip.AddrPort
	Replicas   map[uint64]netip.AddrPort
	Data       string
	Found      bool
	Tokens     string
	Cert       string
	Key        string
	Authority  string
	Level      string
	Grace      time.Duration
	Snapshot   int

	Log   io.Writer        // where log lines go, standard output by default
	Clock func() time.Time // time.Now by default
}

// Defaults and bounds.
const (
	defaultGrace    = 10 * time.Second
	maxGrace        = 5 * time.Minute
	defaultSnapshot = 16384 // entries; at 1,800 changes and some claims a day the log stays below it for days
)

// Table describes the settings.
func (s *Settings) Table() *conf.Table {
	t := &conf.Table{}
	t.Name("instance", &s.Instance, "name of the instance, unique in the fleet")
	t.Name("fleet", &s.Fleet, "name of the fleet; instances of other fleets are refused")
	t.Name("region", &s.Region, "region of the instance")
	t.Name("datacentre", &s.DataCentre, "data centre of the instance")
	t.Int("replica", &s.Replica, 1, 1, math.MaxInt32, "number", "number of this replica in the group")
	t.Address("peer", &s.Peer, "", "address for links from entries and replicas, as they dial it")
	t.Address("admin", &s.Admin, "127.0.0.1:7002", "address of the administration interface, health and metrics")
	t.Replicas("replicas", &s.Replicas, "peer addresses of all replicas, this one included")
	t.Text("data", &s.Data, "data", "folder of the log and the snapshots")
	t.Flag("found", &s.Found, false, "found a new group; set it for the first start only")
	t.Text("tokens", &s.Tokens, "", "file of the administration tokens; without one the admin address must be a loopback address")
	t.Text("tls.cert", &s.Cert, "", "certificate file of both addresses; empty: no TLS")
	t.Text("tls.key", &s.Key, "", "key file of the certificate")
	t.Text("tls.authority", &s.Authority, "", "file of the authority that signs all instances of the fleet")
	t.Text("log.level", &s.Level, "info", "lowest level that is logged", "debug", "info", "warning", "error")
	t.Duration("grace", &s.Grace, defaultGrace, 0, maxGrace, "how long a stop waits for the hand-over of leadership and for requests in flight")
	t.Int("snapshot", &s.Snapshot, defaultSnapshot, 16, 1<<20, "entries", "log entries between snapshots")
	return t
}

// Load reads and checks a settings file. Its error is of type *conf.Error.
func Load(file string) (Settings, error) {
	var s Settings
	err := conf.LoadChecked(file, s.Table(), s.check)
	return s, err
}

// check returns what a single row of the table cannot tell, or nil.
func (s *Settings) check() *conf.Error {
	_, listed := s.Replicas[uint64(s.Replica)]
	switch {
	case s.Peer.Addr().IsUnspecified():
		return &conf.Error{Key: "peer", Reason: "must be the address that other instances dial, not " + s.Peer.Addr().String()}
	case !listed && s.Found:
		return &conf.Error{Key: "replicas", Reason: fmt.Sprintf("does not list replica %d, which is to found the group", s.Replica)}
	case s.Tokens == "" && !s.Admin.Addr().IsLoopback():
		return &conf.Error{Key: "tokens", Reason: "is required, because the admin address is no loopback address"}
	}
	return cmp.Or(
		conf.Together("tls.cert", s.Cert, "tls.key", s.Key),
		conf.Together("tls.cert", s.Cert, "tls.authority", s.Authority),
	)
}

func (s *Settings) defaults() {
	if s.Log == nil {
		s.Log = os.Stdout
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	if s.Level == "" {
		s.Level = "info"
	}
	if s.Snapshot == 0 {
		s.Snapshot = defaultSnapshot
	}
	if s.Data == "" {
		s.Data = "data"
	}
}
