package daemon

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalock/galenalock/core/conf"
	"github.com/galenalock/galenalock/core/logs"
)

// Settings are the settings of a control replica.
type Settings struct {
	Instance    string
	Fleet       string
	Region      string
	DataCentre  string
	Replica     int
	Peer        netip.AddrPort
	Admin       netip.AddrPort
	Replicas    map[uint64]netip.AddrPort
	Seeds       []netip.AddrPort
	Tolerance   int
	Regions     map[string]string
	Life        time.Duration
	Data        string
	Found       bool
	Tokens      string
	Cert        string
	Key         string
	Authority   string
	Level       string
	Lines       int
	Metrics     netip.AddrPort // invalid: none
	Grace       time.Duration
	Memory      int
	Stall       time.Duration
	Connections int
	Snapshot    int

	Log   io.Writer        // destination of log lines, standard output by default
	Clock func() time.Time // time.Now by default

	// PeerHandler returns the handler for requests to the peer address that are
	// not links. If it is nil, they are not found.
	PeerHandler func(Services) http.Handler
}

// Defaults and limits of the settings.
const (
	defaultGrace           = 10 * time.Second
	maxGrace               = 5 * time.Minute
	defaultSnapshotEntries = 16384 // log entries; with 1,800 changes and a few claims a day, the log takes days to reach it
	defaultStall           = 15 * time.Second
	maxMemory              = 1 << 20 // MiB
	defaultConnections     = 4096
	maxConnections         = 1 << 20
	maxTolerance           = 3 // seven voters; each further voter adds to the latency of a commit
	defaultLife            = 10 * time.Second
	maxLife                = time.Hour
)

// Table returns the description of the settings.
func (s *Settings) Table() *conf.Table {
	t := &conf.Table{}
	t.Name("instance", &s.Instance, "name of the instance, unique in the fleet")
	t.Name("fleet", &s.Fleet, "name of the fleet; instances of other fleets are refused")
	t.Name("region", &s.Region, "region of the instance")
	t.Name("datacentre", &s.DataCentre, "data centre of the instance")
	t.Int("replica", &s.Replica, 1, 1, math.MaxInt32, "number", "number of this replica in the group; without meaning with seeds")
	t.Address("peer", &s.Peer, "", "address for links from entries and replicas, as they dial it")
	t.OptionalAddress("metrics", &s.Metrics, "further address of the metrics, for scrapers that must not reach the others")
	t.Address("admin", &s.Admin, "127.0.0.1:7002", "address of the administration interface, health and metrics")
	t.Replicas("replicas", &s.Replicas, "peer addresses of all replicas, this one included; not used with seeds")
	t.Addresses("seeds", &s.Seeds, false, "peer addresses of a few replicas, in place of replicas: the seeds found the group, all others join through them; targets then announce themselves to control, and there is no overlay")
	t.Int("tolerance", &s.Tolerance, 2, 0, maxTolerance, "replicas", "with seeds, lost disks that the group bears at once; it grows to twice as many voters and one")
	t.Pairs("regions", &s.Regions, "regions by data centre, for the places of targets")
	t.Duration("life", &s.Life, defaultLife, time.Second, maxLife, "time without an announcement after which a target counts as silent")
	t.Text("data", &s.Data, "data", "folder of the log and the snapshots")
	t.Bool("found", &s.Found, false, "found a new group; set it for the first start only")
	t.Text("tokens", &s.Tokens, "", "file of the administration tokens; without one the admin address must be a loopback address")
	t.Duration("stall", &s.Stall, defaultStall, 0, time.Hour, "time for which the rest of a request body may not go on before its connection is closed; 0: no limit")
	t.Int("memory", &s.Memory, 0, 0, maxMemory, "MiB", "memory of the instance, for a process that is alone on it; the garbage collector keeps its heap below 0.7 of it, and half of it is for the connections at all addresses of the process and the requests on them; beyond that the connections that matter least to their callers are closed, and requests are refused; 0: unknown, no bound")
	t.Int("connections", &s.Connections, defaultConnections, 1, maxConnections, "connections", "open connections at all addresses of the process together; at the limit one that is idle, or does not go on, is closed for a new one")
	t.Text("tls.cert", &s.Cert, "", "certificate file of both addresses; empty: no TLS")
	t.Text("tls.key", &s.Key, "", "key file of the certificate")
	t.Text("tls.authority", &s.Authority, "", "file of the authority that signs all instances of the fleet")
	t.Text("log.level", &s.Level, "info", "lowest level that is logged", "debug", "info", "warning", "error")
	t.Int("log.lines", &s.Lines, logs.DefaultLinesPerSecond, 1, logs.MaxLinesPerSecond, "lines per second", "lines that are written; more are left out and counted")
	t.Duration("grace", &s.Grace, defaultGrace, 0, maxGrace, "how long a stop waits for the hand-over of leadership and for requests in flight")
	t.Int("snapshot", &s.Snapshot, defaultSnapshotEntries, 16, 1<<20, "entries", "log entries between snapshots")
	return t
}

// Load reads and validates a settings file. An error is of type *conf.Error.
func Load(file string) (Settings, error) { return LoadExtended(file, func(*conf.Table) {}) }

// LoadExtended is like Load but also reads the settings that addRows adds to the
// table, for programs with additional settings.
func LoadExtended(file string, addRows func(t *conf.Table)) (Settings, error) {
	var s Settings
	t := s.Table()
	addRows(t)
	err := conf.LoadChecked(file, t, s.validate)
	return s, err
}

// validate checks what the table cannot: settings that depend on each other. It
// returns the first error, or nil.
func (s *Settings) validate() *conf.Error {
	if len(s.Seeds) > 0 {
		if s.Peer.Addr().IsUnspecified() {
			return &conf.Error{Key: "peer", Reason: "must be the address that other instances dial, not " + s.Peer.Addr().String()}
		}
		return s.validateAccess()
	}
	_, listed := s.Replicas[uint64(s.Replica)]
	switch {
	case len(s.Replicas) == 0:
		return &conf.Error{Key: "replicas", Reason: "is missing, and there are no seeds"}
	case s.Peer.Addr().IsUnspecified():
		return &conf.Error{Key: "peer", Reason: "must be the address that other instances dial, not " + s.Peer.Addr().String()}
	case !listed && s.Found:
		return &conf.Error{Key: "replicas", Reason: fmt.Sprintf("does not list replica %d, which is to found the group", s.Replica)}
	}
	return s.validateAccess()
}

// validateAccess checks the settings for tokens and TLS.
func (s *Settings) validateAccess() *conf.Error {
	if s.Tokens == "" && !s.Admin.Addr().IsLoopback() {
		return &conf.Error{Key: "tokens", Reason: "is required, because the admin address is no loopback address"}
	}
	return cmp.Or(
		conf.BothOrNeither("tls.cert", s.Cert, "tls.key", s.Key),
		conf.BothOrNeither("tls.cert", s.Cert, "tls.authority", s.Authority),
	)
}

// setDefaults sets defaults for code that creates Settings without Load.
func (s *Settings) setDefaults() {
	if s.Log == nil {
		s.Log = logs.NewRateLimitedWriter(os.Stdout, cmp.Or(s.Lines, logs.DefaultLinesPerSecond))
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	if s.Level == "" {
		s.Level = "info"
	}
	if s.Snapshot == 0 {
		s.Snapshot = defaultSnapshotEntries
	}
	if s.Data == "" {
		s.Data = "data"
	}
	if s.Connections == 0 {
		s.Connections = defaultConnections
	}
	if s.Life == 0 {
		s.Life = defaultLife
	}
}

// replicaNumber returns the number of this replica. With seeds it is derived from
// the peer address, so that other replicas can compute it too.
func (s *Settings) replicaNumber() uint64 {
	if len(s.Seeds) == 0 {
		return uint64(s.Replica)
	}
	return replicaNumberAt(s.Peer)
}

// replicaNumberAt returns the number of the replica at an address. Numbers of IPv4
// addresses are unique. Those of IPv6 addresses are 64-bit hashes.
func replicaNumberAt(a netip.AddrPort) uint64 {
	if ip := a.Addr().Unmap(); ip.Is4() {
		b := ip.As4()
		return uint64(binary.BigEndian.Uint32(b[:]))<<16 | uint64(a.Port())
	}
	return xxhash.Sum64String(a.String()) | 1
}

// founderAddresses returns the addresses of the replicas that found the group, by
// number.
func (s *Settings) founderAddresses() map[uint64]netip.AddrPort {
	if len(s.Seeds) == 0 {
		return s.Replicas
	}
	out := map[uint64]netip.AddrPort{}
	for _, seed := range s.Seeds {
		out[replicaNumberAt(seed)] = seed
	}
	return out
}

// mayFound reports whether this replica may found the group. It needs Found, which
// is set for the first start only: with seeds, that is the only time at which all
// replicas have the same ones. It must then be one of the seeds.
func (s *Settings) mayFound() bool {
	return s.Found && (len(s.Seeds) == 0 || slices.Contains(s.Seeds, s.Peer))
}
