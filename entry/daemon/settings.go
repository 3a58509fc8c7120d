package daemon

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/galenalock/galenalock/core/conf"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/poison"
	"github.com/galenalock/galenalock/entry/proxy"
)

// Settings are the settings of an entry.
type Settings struct {
	Instance    string
	Fleet       string
	Region      string
	DataCentre  string
	Traffic     netip.AddrPort
	Peer        netip.AddrPort
	Admin       netip.AddrPort
	Announce    netip.AddrPort // invalid: none
	Metrics     netip.AddrPort // invalid: none
	Control     []netip.AddrPort
	Peers       []netip.AddrPort
	Seeds       []netip.AddrPort
	Links       int
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	Inflight    int
	Near        bool
	Pace        bool
	Data        string
	Grace       time.Duration
	Limit       time.Duration
	Kill        time.Duration
	Ramp        time.Duration
	Wait        time.Duration
	Quarantine  time.Duration
	Revoke      time.Duration
	HTTP2       bool
	Connections int
	Memory      int
	Stall       time.Duration
	Body        int
	Cert        string
	Key         string
	Authority   string
	TrafficCert string
	TrafficKey  string
	Level       string
	Lines       int

	Log io.Writer // destination of log lines, standard output by default

	Proxy []proxy.Option // additional options of the data path

	// Dial opens a connection to a target, TCP by default. A connection pool in Proxy
	// must use it as well.
	Dial func(ctx context.Context, target netip.AddrPort) (net.Conn, error)
}

// Defaults and limits of the settings.
const (
	defaultGrace       = 10 * time.Second // load balancers commonly check every 5 s and need two failures
	maxGrace           = 5 * time.Minute
	defaultLimit       = 10 * time.Minute // survey uploads over slow links take minutes
	minKill            = time.Second
	killMargin         = 75 * time.Millisecond // for the end of the process itself
	maxLimit           = time.Hour
	defaultRamp        = 10 * time.Second
	defaultWait        = 2 * time.Second // control elects a leader within 1 s of a start of all instances
	maxWait            = time.Minute
	defaultConnections = 20000
	maxConnections     = 1 << 20
	defaultStall       = 15 * time.Second
	maxMemory          = 1 << 20 // MiB
	defaultBody        = 1024    // MiB
	maxBody            = 1 << 20
	defaultLinks       = 3 // one more than the replicas that a control group of five may lose
	maxLinks           = 16
	maxRetryWindow     = 10 * time.Minute
	maxRetrySlack      = 1 << 20
	maxInflight        = 1 << 16
	maxQuarantine      = 24 * time.Hour
	minRevoke          = time.Second // the configuration is confirmed five times in it, across regions
	maxRevoke          = 24 * time.Hour
)

// Table returns the description of the settings.
func (s *Settings) Table() *conf.Table {
	t := &conf.Table{}
	t.Name("instance", &s.Instance, "name of the instance, unique in the fleet")
	t.Name("fleet", &s.Fleet, "name of the fleet; instances of other fleets are refused")
	t.Name("region", &s.Region, "region of the instance")
	t.Name("datacentre", &s.DataCentre, "data centre of the instance")
	t.Address("traffic", &s.Traffic, "", "address for callers, HTTP/1.1, and HTTP/2 if the setting http2 is on")
	t.Address("peer", &s.Peer, "", "address for links from other instances and for announcements of targets, as they dial it")
	t.OptionalAddress("announce", &s.Announce, "further address for announcements of targets, which needs no certificate of the fleet; let only targets reach it")
	t.OptionalAddress("metrics", &s.Metrics, "further address of the metrics, for scrapers that must not reach the others")
	t.Address("admin", &s.Admin, "127.0.0.1:7012", "address of health, metrics and status")
	t.Addresses("control", &s.Control, false, "peer addresses of control replicas that this entry links to; two or three are enough; not used with seeds")
	t.Addresses("seeds", &s.Seeds, false, "peer addresses of a few control replicas, in place of control and peers: the entry finds the others, takes its targets from control and has no overlay")
	t.Int("links", &s.Links, defaultLinks, 1, maxLinks, "links", "with seeds, links to control replicas, the nearest ones")
	t.Addresses("peers", &s.Peers, false, "peer addresses of a few other entries, in other data centres as well")
	t.Text("data", &s.Data, "", "folder for a copy of the configuration; empty: none")
	t.Duration("grace", &s.Grace, defaultGrace, 0, maxGrace, "time from a stop until the balancer has taken the instance out")
	t.Duration("limit", &s.Limit, defaultLimit, time.Second, maxLimit, "longest time that a stop waits for requests in flight")
	t.Duration("kill", &s.Kill, 0, 0, maxLimit, "time from a stop until the platform kills the process, at least 1s; grace takes at most half of it, and the wait for requests in flight ends before that, whatever limit says; 0: it is not killed")
	t.Duration("ramp", &s.Ramp, defaultRamp, 0, maxGrace, "slow start of a target")
	t.Duration("wait", &s.Wait, defaultWait, 0, maxWait, "time from the start of the entry for which requests wait for the first configuration instead of being refused")
	t.Duration("quarantine", &s.Quarantine, poison.DefaultHold, 0, maxQuarantine, "time for which a request that crashed three targets is refused; it doubles if the request then crashes another one; 0: never")
	t.Duration("revoke", &s.Revoke, 0, 0, maxRevoke, "time after which a withdrawn key of a workspace must not let a request run; without a confirmation of the configuration for 0.8 of it, requests with keys are refused; 0: no bound")
	t.Int("inflight", &s.Inflight, 0, 0, maxInflight, "requests", "requests of a service that this entry always admits, however few slots its share is")
	t.Duration("retry.window", &s.RetryWindow, 0, 0, maxRetryWindow, "span in which further attempts are bounded over the whole fleet; 0: each entry has a budget of its own")
	t.Bool("near", &s.Near, false, "with seeds, choose targets by the measured distance, by the bytes that requests of a kind carry and by open connections, in place of constant costs of other data centres and regions")
	t.Bool("pace", &s.Pace, false, "while targets queue requests, less urgent ones wait at the entry or are refused")
	t.Float("retry.share", &s.RetryShare, 0.1, 0, 10, "attempts per request", "with a window, further attempts in proportion to the requests of a service")
	t.Float("retry.slack", &s.RetrySlack, 0, 0, maxRetrySlack, "attempts", "with a window, further attempts of all entries beyond the share")
	t.Bool("http2", &s.HTTP2, false, "callers may use HTTP/2 at the traffic address, which costs more memory for each connection")
	t.Int("connections", &s.Connections, defaultConnections, 1, maxConnections, "connections", "open connections at all addresses of the process together; at the limit one that is idle, or does not go on, is closed for a new one")
	t.Duration("stall", &s.Stall, defaultStall, 0, maxLimit, "time for which the rest of a request body may not go on before its connection is closed; 0: no limit")
	t.Int("memory", &s.Memory, 0, 0, maxMemory, "MiB", "memory of the instance, for a process that is alone on it; the garbage collector keeps its heap below 0.7 of it, and half of it is for the connections at all addresses of the process and the requests on them; beyond that the connections that matter least to their callers are closed, and requests are refused; 0: unknown, no bound")
	t.Int("body", &s.Body, defaultBody, 1, maxBody, "MiB", "largest request body")
	t.Text("tls.cert", &s.Cert, "", "certificate file for links between instances; empty: no TLS")
	t.Text("tls.key", &s.Key, "", "key file of the certificate")
	t.Text("tls.authority", &s.Authority, "", "file of the authority that signs all instances of the fleet")
	t.Text("tls.trafficcert", &s.TrafficCert, "", "certificate file for callers; empty: no TLS")
	t.Text("tls.traffickey", &s.TrafficKey, "", "key file of the certificate for callers")
	t.Text("log.level", &s.Level, "info", "lowest level that is logged", "debug", "info", "warning", "error")
	t.Int("log.lines", &s.Lines, logs.DefaultLinesPerSecond, 1, logs.MaxLinesPerSecond, "lines per second", "lines that are written; more are left out and counted")
	return t
}

// Load reads and validates a settings file. An error is of type *conf.Error.
func Load(file string) (Settings, error) {
	var s Settings
	err := conf.LoadChecked(file, s.Table(), s.validate)
	return s, err
}

// validate checks what the table cannot: settings that depend on each other. It
// returns the first error, or nil.
func (s *Settings) validate() *conf.Error {
	if len(s.Control) == 0 && len(s.Seeds) == 0 {
		return &conf.Error{Key: "control", Reason: "is missing, and there are no seeds"}
	}
	if s.Peer.Addr().IsUnspecified() {
		return &conf.Error{Key: "peer", Reason: "must be the address that other instances dial, not " + s.Peer.Addr().String()}
	}
	if s.Kill > 0 && s.Kill < minKill {
		return &conf.Error{Key: "kill", Reason: "must be 0s or at least " + minKill.String()}
	}
	if s.Revoke > 0 && s.Revoke < minRevoke {
		return &conf.Error{Key: "revoke", Reason: "must be 0s or at least " + minRevoke.String()}
	}
	return cmp.Or(
		conf.BothOrNeither("tls.cert", s.Cert, "tls.key", s.Key),
		conf.BothOrNeither("tls.cert", s.Cert, "tls.authority", s.Authority),
		conf.BothOrNeither("tls.trafficcert", s.TrafficCert, "tls.traffickey", s.TrafficKey),
	)
}

// StopTimes returns how long a stop waits for the balancer, and after that for requests
// in flight. With kill, the first takes at most half of the time, and the process can
// send the last responses before it is killed.
func (s *Settings) StopTimes() (grace, limit time.Duration) {
	if s.Kill == 0 {
		return s.Grace, s.Limit
	}
	const flush = 1 + 1.0/flushDivisor
	grace = min(s.Grace, s.Kill/2)
	return grace, min(s.Limit, time.Duration(float64(s.Kill-killMargin-grace)/flush))
}

// setDefaults sets defaults for code that creates Settings without Load.
func (s *Settings) setDefaults() {
	if s.Log == nil {
		s.Log = logs.NewRateLimitedWriter(os.Stdout, cmp.Or(s.Lines, logs.DefaultLinesPerSecond))
	}
	if s.Level == "" {
		s.Level = "info"
	}
	if s.Limit == 0 {
		s.Limit = defaultLimit
	}
	if s.Connections == 0 {
		s.Connections = defaultConnections
	}
	if s.Body == 0 {
		s.Body = defaultBody
	}
	if s.Links == 0 {
		s.Links = defaultLinks
	}
}
