package procs

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

// Place is the region and the data centre of a process.
type Place struct {
	Region     string
	DataCentre string
}

// Fleet is a set of processes with their settings files in one folder.
type Fleet struct {
	Name     string
	Folder   string
	Programs Programs
	Keys     Keys // of links and of the traffic address; without a file there is no TLS

	control []netip.AddrPort
}

// Free returns loopback addresses that the kernel has just handed out, for
// processes whose peers must know the address before they start. Another
// process may take one in between, which fails the start.
func Free(n int) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "free address")
		}
		defer l.Close()
		out = append(out, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return out, nil
}

func (f *Fleet) write(name string, lines ...string) (string, error) {
	file := filepath.Join(f.Folder, name+".toml")
	err := os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
	return file, eris.Wrap(err, "settings")
}

func (f *Fleet) common(name string, at Place) []string {
	return []string{
		fmt.Sprintf("instance = %q", name), fmt.Sprintf("fleet = %q", f.Name),
		fmt.Sprintf("region = %q", at.Region), fmt.Sprintf("datacentre = %q", at.DataCentre),
	}
}

// keys returns the table of the key files, which ends a settings file.
func (f *Fleet) keys() []string {
	if f.Keys.Cert == "" {
		return nil
	}
	return []string{
		"[tls]", fmt.Sprintf("cert = %q", f.Keys.Cert), fmt.Sprintf("key = %q", f.Keys.Key),
		fmt.Sprintf("authority = %q", f.Keys.Authority),
	}
}

// Control starts the replicas of a group at the given peer addresses, or one
// of them again. The first start founds the group.
func (f *Fleet) Control(id int, at Place, peers map[int]netip.AddrPort, admin netip.AddrPort) (*Process, error) {
	var replicas []string
	for i := 1; i <= len(peers); i++ {
		replicas = append(replicas, fmt.Sprintf("%q", fmt.Sprintf("%d=%s", i, peers[i])))
	}
	name := fmt.Sprintf("control-%d", id)
	lines := append(f.common(name, at),
		fmt.Sprintf("replica = %d", id),
		fmt.Sprintf("peer = %q", peers[id]), fmt.Sprintf("admin = %q", admin),
		fmt.Sprintf("replicas = [%s]", strings.Join(replicas, ", ")),
		fmt.Sprintf("data = %q", filepath.Join(f.Folder, name)),
		"found = true", `grace = "2s"`,
	)
	file, err := f.write(name, append(lines, f.keys()...)...)
	if err != nil {
		return nil, err
	}
	p, err := Start(name, f.Programs["control"], "--settings", file)
	if err == nil && id > len(f.control) {
		f.control = append(f.control, peers[id])
	}
	return p, err
}

// Entry starts an entry that links to all control replicas started so far.
func (f *Fleet) Entry(name string, at Place, peers ...netip.AddrPort) (*Process, error) {
	return f.EntryAt(name, at, f.control, peers...)
}

// EntryAt starts an entry that links to the given control addresses.
func (f *Fleet) EntryAt(name string, at Place, control []netip.AddrPort, peers ...netip.AddrPort) (*Process, error) {
	lines := append(f.common(name, at),
		`traffic = "127.0.0.1:0"`, `peer = "127.0.0.1:0"`, `admin = "127.0.0.1:0"`, `announce = "127.0.0.1:0"`,
		"control = "+list(control), "peers = "+list(peers),
		`grace = "500ms"`, `ramp = "1s"`,
		fmt.Sprintf("data = %q", filepath.Join(f.Folder, name)),
	)
	lines = append(lines, f.keys()...)
	if f.Keys.Cert != "" {
		lines = append(lines, fmt.Sprintf("trafficcert = %q", f.Keys.Cert), fmt.Sprintf("traffickey = %q", f.Keys.Key))
	}
	file, err := f.write(name, lines...)
	if err != nil {
		return nil, err
	}
	return Start(name, f.Programs["entry"], "--settings", file)
}

// Target starts a stand-in target that announces itself to the given entries.
func (f *Fleet) Target(service string, at Place, entries ...netip.AddrPort) (*Process, error) {
	var to []string
	for _, e := range entries {
		to = append(to, e.String())
	}
	return Start("target of "+service, f.Programs["bench"], "target", "--address", "127.0.0.1:0",
		"--service", service, "--region", at.Region, "--datacentre", at.DataCentre,
		"--entries", strings.Join(to, ","))
}

func list(addresses []netip.AddrPort) string {
	var quoted []string
	for _, a := range addresses {
		quoted = append(quoted, fmt.Sprintf("%q", a))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}
