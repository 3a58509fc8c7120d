package stub

import (
	"bytes"
	"net/netip"
	"os"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Settings are the settings of one stub target.
type Settings struct {
	Address     netip.AddrPort   `toml:"address"`     // listening address, port 0: chosen by the kernel
	Service     string           `toml:"service"`     // announced service
	Region      string           `toml:"region"`      // announced region
	DataCentre  string           `toml:"datacentre"`  // announced data centre
	Entries     []netip.AddrPort `toml:"entries"`     // peer addresses of the entries to announce to
	Slots       int              `toml:"slots"`       // requests served at the same time
	Queue       int              `toml:"queue"`       // requests that may wait for a slot
	Connections int              `toml:"connections"` // announced limit on connections
	Latency     Duration         `toml:"latency"`     // median time to serve a request
	Sigma       float64          `toml:"spread"`      // sigma of the log-normal distribution of the latency, 0: constant
	ColdStart   Duration         `toml:"cold"`        // length of the cold start
	ColdFactor  float64          `toml:"chill"`       // latency factor at the beginning of the cold start
	Interval    Duration         `toml:"interval"`    // time between announcements
	TTL         Duration         `toml:"ttl"`         // announced time to live
	Grace       Duration         `toml:"grace"`       // time from the announcement of leaving until the target stops listening
	Size        int              `toml:"size"`        // bytes in the answer to a lookup
	Filler      int              `toml:"filler"`      // bytes of filler in the answer to an order or an upload
	Seed        uint64           `toml:"seed"`        // seed for the random latencies and the shares of faults
	Fault       Fault            `toml:"fault"`       // fault that is active from the start
}

// Defaults returns the settings of a healthy target of the documented size.
func Defaults() Settings {
	const second = Duration(1e9)
	return Settings{
		Address:     netip.MustParseAddrPort("127.0.0.1:0"),
		Service:     "tables",
		Region:      "salish",
		DataCentre:  "salish-1",
		Slots:       6,
		Queue:       3,
		Connections: 400,
		Latency:     second / 100,
		ColdFactor:  4,
		Interval:    3 * second,
		TTL:         15 * second,
		Grace:       6 * second, // one second longer than the fleet may still send new requests
		Size:        256,
		Seed:        1,
	}
}

// LoadSettings reads a TOML file; settings that it does not hold have their
// defaults.
func LoadSettings(file string) (Settings, error) {
	settings := Defaults()
	data, err := os.ReadFile(file)
	if err != nil {
		return settings, eris.Wrap(err, "read target settings")
	}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return settings, eris.Wrapf(err, "decode target settings %s", file)
	}
	return settings, eris.Wrapf(settings.Fault.validate(), "validate target settings %s", file)
}
