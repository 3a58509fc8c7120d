package procs

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Place holds the region and the data centre of a process.
type Place struct {
	Region     string
	DataCentre string
}

// Fleet starts processes of one fleet and keeps their settings files and data in
// one folder.
type Fleet struct {
	Name     string
	Folder   string
	Programs Programs
	TLS      TLSFiles // for links and the traffic address; TLS is off while Cert is empty
	Settings []string // further lines in the settings of control replicas and entries

	controlPeers []netip.AddrPort
}

// FreeAddresses returns n loopback addresses with ports that are free at the
// moment, for processes whose peers must know the address before they start.
// Another process may bind one of them first, and then the start fails.
func FreeAddresses(n int) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "listen on a free address")
		}
		defer l.Close()
		out = append(out, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return out, nil
}

func (f *Fleet) writeSettings(name string, lines ...string) (string, error) {
	file := filepath.Join(f.Folder, name+".toml")
	err := os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
	return file, eris.Wrap(err, "write settings")
}

func (f *Fleet) commonSettings(name string, at Place) []string {
	return append([]string{
		fmt.Sprintf("instance = %q", name), fmt.Sprintf("fleet = %q", f.Name),
		fmt.Sprintf("region = %q", at.Region), fmt.Sprintf("datacentre = %q", at.DataCentre),
	}, f.Settings...)
}

// tlsSettings returns the [tls] table, which must come last in a settings file
// because the settings of the fleet are top-level keys.
func (f *Fleet) tlsSettings() []string {
	if f.TLS.Cert == "" {
		return nil
	}
	return []string{
		"[tls]", fmt.Sprintf("cert = %q", f.TLS.Cert), fmt.Sprintf("key = %q", f.TLS.Key),
		fmt.Sprintf("authority = %q", f.TLS.Authority),
	}
}

// StartControl starts one replica of the control group whose peer addresses are
// given, or restarts it with the data it has. The first start founds the group.
func (f *Fleet) StartControl(id int, at Place, peers map[int]netip.AddrPort, admin netip.AddrPort) (*Process, error) {
	var replicas []string
	for i := 1; i <= len(peers); i++ {
		replicas = append(replicas, fmt.Sprintf("%q", fmt.Sprintf("%d=%s", i, peers[i])))
	}
	name := fmt.Sprintf("control-%d", id)
	lines := append(f.commonSettings(name, at),
		fmt.Sprintf("replica = %d", id),
		fmt.Sprintf("peer = %q", peers[id]), fmt.Sprintf("admin = %q", admin),
		fmt.Sprintf("replicas = [%s]", strings.Join(replicas, ", ")),
		fmt.Sprintf("data = %q", filepath.Join(f.Folder, name)),
		"found = true", `grace = "2s"`,
	)
	file, err := f.writeSettings(name, append(lines, f.tlsSettings()...)...)
	if err != nil {
		return nil, err
	}
	p, err := Start(name, f.Programs["control"], "--settings", file)
	if err == nil && id > len(f.controlPeers) {
		f.controlPeers = append(f.controlPeers, peers[id])
	}
	return p, err
}

// StartEntry starts an entry that connects to all control replicas started so
// far.
func (f *Fleet) StartEntry(name string, at Place, peers ...netip.AddrPort) (*Process, error) {
	return f.StartEntryAt(name, at, f.controlPeers, peers...)
}

// StartEntryAt starts an entry that connects to the given control addresses.
func (f *Fleet) StartEntryAt(name string, at Place, control []netip.AddrPort, peers ...netip.AddrPort) (*Process, error) {
	lines := append(f.commonSettings(name, at),
		`traffic = "127.0.0.1:0"`, `peer = "127.0.0.1:0"`, `admin = "127.0.0.1:0"`, `announce = "127.0.0.1:0"`,
		"control = "+tomlArray(control), "peers = "+tomlArray(peers),
		`grace = "500ms"`, `ramp = "1s"`,
		fmt.Sprintf("data = %q", filepath.Join(f.Folder, name)),
	)
	lines = append(lines, f.tlsSettings()...)
	if f.TLS.Cert != "" {
		lines = append(lines, fmt.Sprintf("trafficcert = %q", f.TLS.Cert), fmt.Sprintf("traffickey = %q", f.TLS.Key))
	}
	file, err := f.writeSettings(name, lines...)
	if err != nil {
		return nil, err
	}
	return Start(name, f.Programs["entry"], "--settings", file)
}

// Seeded describes the processes of a fleet that finds itself from seeds.
type Seeded struct {
	Seeds     []netip.AddrPort // peer addresses of three control replicas
	Tolerance int              // lost disks that the control group bears
	Links     int              // links of each entry to control replicas
}

// StartSeededControl starts a control replica of a fleet with seeds, or restarts it
// with the data it has. found is set at the first start of the whole fleet.
func (f *Fleet) StartSeededControl(name string, at Place, s Seeded, peer, admin netip.AddrPort, found bool) (*Process, error) {
	file, err := f.writeSettings(name, append(f.commonSettings(name, at),
		fmt.Sprintf("peer = %q", peer), fmt.Sprintf("admin = %q", admin),
		"seeds = "+tomlArray(s.Seeds), fmt.Sprintf("tolerance = %d", s.Tolerance), fmt.Sprintf("found = %v", found),
		fmt.Sprintf("data = %q", filepath.Join(f.Folder, name)), `grace = "2s"`,
	)...)
	if err != nil {
		return nil, err
	}
	return Start(name, f.Programs["control"], "--settings", file)
}

// StartSeededEntry starts an entry of a fleet with seeds. onEvent receives its log
// lines.
func (f *Fleet) StartSeededEntry(name string, at Place, s Seeded, onEvent func(at time.Time, fields map[string]any)) (*Process, error) {
	file, err := f.writeSettings(name, append(f.commonSettings(name, at),
		`traffic = "127.0.0.1:0"`, `peer = "127.0.0.1:0"`, `admin = "127.0.0.1:0"`,
		"seeds = "+tomlArray(s.Seeds), fmt.Sprintf("links = %d", s.Links), `grace = "0s"`,
	)...)
	if err != nil {
		return nil, err
	}
	return StartWatched(name, onEvent, f.Programs["entry"], "--settings", file)
}

// StartTarget starts a stub target that announces itself to the given entries.
func (f *Fleet) StartTarget(service string, at Place, entries ...netip.AddrPort) (*Process, error) {
	var to []string
	for _, e := range entries {
		to = append(to, e.String())
	}
	return Start("target of "+service, f.Programs["bench"], "target", "--address", "127.0.0.1:0",
		"--service", service, "--region", at.Region, "--datacentre", at.DataCentre,
		"--entries", strings.Join(to, ","))
}

func tomlArray(addresses []netip.AddrPort) string {
	var quoted []string
	for _, a := range addresses {
		quoted = append(quoted, fmt.Sprintf("%q", a))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}
