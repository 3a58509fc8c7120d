// Command review-2 plays the scripts of the review cases 6 to 10: it starts the
// project's programs as a small deployment on loopback addresses and stands in for
// the operator, the endpoints and the clients.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Contracts of thorsby-tides, and those of haneul-vend-grown.
const (
	smallContracts = "base,drain,config,cost,retry,recover,health"
	poolContracts  = smallContracts + ",pool"
)

const (
	replicas  = 3
	entries   = 2
	setupTime = 40 * time.Second
	maxTime   = 110 * time.Second // a script must end within 120 s
)

var zones = []string{"salish-nanaimo", "okanagan-kelowna", "haida-masset"}

// process is one program of the system on a machine of its own.
type process struct {
	name, role, ip, settings string
	cmd                      *exec.Cmd
	done                     chan struct{}
}

// ports are the ports of a machine, which are the same on all machines.
type ports struct{ front, ready, control, internal0, internal1 int }

// bed is a small deployment.
type bed struct {
	dir       string
	net       string // first two octets of all addresses
	ports     ports
	contracts string // of the deployment, as in its site file
	controls  []*process
	entries   []*process

	mu      sync.Mutex
	record  *os.File
	started time.Time
	broken  []string
}

// newBed prepares a deployment whose files lie in a temporary folder.
func newBed(recordFile string) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	b := &bed{dir: dir, record: record, started: time.Now(), contracts: smallContracts, net: fmt.Sprintf("127.%d", 1+os.Getpid()%250)}
	var addresses []string
	for i := range replicas {
		addresses = append(addresses, b.ip(2, i))
	}
	for i := range entries {
		addresses = append(addresses, b.ip(1, i))
	}
	taken := map[int]bool{}
	for _, port := range []*int{&b.ports.front, &b.ports.ready, &b.ports.control, &b.ports.internal0, &b.ports.internal1} {
		if *port, err = freePort(addresses, taken); err != nil {
			return nil, err
		}
		taken[*port] = true
	}
	for i := range replicas {
		if err := b.add(&b.controls, "control", b.ip(2, i), i); err != nil {
			return nil, err
		}
	}
	for i := range entries {
		if err := b.add(&b.entries, "entry", b.ip(1, i), i); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func (b *bed) ip(group, i int) string { return fmt.Sprintf("%s.%d.%d", b.net, group, i+1) }

// freePort returns a port that is free on all addresses and not taken.
func freePort(addresses []string, taken map[int]bool) (int, error) {
	const tries = 50
	for range tries {
		first, err := net.Listen("tcp", addresses[0]+":0")
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		first.Close()
		free := !taken[port]
		for _, address := range addresses {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, port))
			if free = free && err == nil; err == nil {
				l.Close()
			}
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

// add writes the settings of a process, from the template of the deploy file.
func (b *bed) add(list *[]*process, role, ip string, i int) error {
	p := &process{name: fmt.Sprintf("%s-%d", role, i+1), role: role, ip: ip}
	p.settings = filepath.Join(b.dir, p.name+".conf")
	*list = append(*list, p)
	template, err := os.ReadFile(filepath.Join("deploy", role+".toml"))
	if err != nil {
		return err
	}
	var seeds, regions []string
	for j := range replicas {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", b.ip(2, j), b.ports.control)))
	}
	for _, zone := range zones {
		regions = append(regions, fmt.Sprintf("%q", zone+"="+regionOf(zone)))
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	memory := map[string]string{"entry": "284", "control": "280"}[role] // MB of the machines on the sheets
	filled := strings.NewReplacer(
		"{{node}}", p.name, "{{region}}", regionOf(zones[i%len(zones)]), "{{zone}}", zones[i%len(zones)],
		"{{listen.front}}", at(b.ports.front), "{{listen.ready}}", at(b.ports.ready), "{{listen.control}}", at(b.ports.control),
		// The replicas share one machine here, so each has a loopback address of its own.
		"127.0.0.1:{{internal_ports.0}}", at(b.ports.internal0),
		"{{internal_ports.0}}", fmt.Sprint(b.ports.internal0), "{{internal_ports.1}}", fmt.Sprint(b.ports.internal1), "{{ip}}", ip,
		`{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, strings.Join(seeds, ", "),
		`{{#zones}}"{{@}}={{.}}"{{,}}{{/zones}}`, strings.Join(regions, ", "),
		`{{#bounds.revoke}}revoke = "{{bounds.revoke}}"{{/bounds.revoke}}`, "",
		"{{fault_tolerance.machines}}", "1", "{{bootstrap}}", "true", "{{data_dir}}", filepath.Join(b.dir, p.name),
		"{{bounds.floor_share}}", "0.7", "{{limits.memory_mb}}", memory, "{{bounds.grace}}", "6s",
		"{{bounds.budget_window}}", "10s", "{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.budget_slack}}", "64",
	).Replace(string(template))
	if strings.Contains(filled, "{{") {
		return fmt.Errorf("the template of %s has a placeholder that this script does not know", role)
	}
	return os.WriteFile(p.settings, []byte(filled), 0o600)
}

// replaceSetting changes the settings of a process for its next start.
func replaceSetting(p *process, before, after string) error {
	data, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	if !strings.Contains(string(data), before) {
		return fmt.Errorf("the settings of %s lack %q", p.name, before)
	}
	return os.WriteFile(p.settings, []byte(strings.Replace(string(data), before, after, 1)), 0o600)
}

func regionOf(zone string) string { return strings.Split(zone, "-")[0] }

// start starts a program with the command of the deploy file.
func (b *bed) start(p *process) error {
	logFile, err := os.OpenFile(filepath.Join(b.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(filepath.Join("target", p.role), "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GALENALOCK_TERMS=" + b.contracts}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		logFile.Close()
		close(p.done)
	}()
	return nil
}

// stop ends all processes and removes their files.
func (b *bed) stop() {
	for _, p := range append(append([]*process{}, b.controls...), b.entries...) {
		if p.cmd != nil && p.cmd.Process != nil && p.done != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	os.RemoveAll(b.dir)
	b.record.Close()
}

// noteLogs adds the last lines of all processes to the record.
func (b *bed) noteLogs() {
	const most = 20
	for _, p := range append(append([]*process{}, b.controls...), b.entries...) {
		data, _ := os.ReadFile(filepath.Join(b.dir, p.name+".log"))
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		for _, line := range lines[max(0, len(lines)-most):] {
			b.note("log of %s: %s", p.name, line)
		}
	}
}

// note adds a line to the record.
func (b *bed) note(format string, values ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, values...))
}

// breaks records that a rule was broken.
func (b *bed) breaks(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	b.note("BROKEN %s", text)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, text)
}

var client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a call to a control replica.
func (b *bed) call(p *process, method, path, body string) (status int, text string) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", p.ip, b.ports.control, path), strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

// acknowledged sends a call to the replicas in turn until one acknowledges it.
func (b *bed) acknowledged(method, path, body string, until time.Time) bool {
	for time.Now().Before(until) {
		for _, p := range b.controls {
			if status, _ := b.call(p, method, path, body); status == http.StatusOK {
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// open starts the deployment with a configuration and endpoints, and waits until every
// entry is ready and serves the warm-up request.
func (b *bed) open(config string, endpoints []*endpoint, warmUp []request) error {
	for _, p := range append(append([]*process{}, b.controls...), b.entries...) {
		if err := b.start(p); err != nil {
			return err
		}
	}
	until := time.Now().Add(setupTime)
	if !b.acknowledged(http.MethodPut, "/config", config, until) {
		return fmt.Errorf("the configuration was not acknowledged")
	}
	b.note("configuration acknowledged: %s", config)
	for _, p := range b.controls { // only the first start is the first one of the system
		if err := replaceSetting(p, "found = true", "found = false"); err != nil {
			return err
		}
	}
	for _, e := range endpoints {
		if err := e.listen(b); err != nil {
			return err
		}
		if !b.acknowledged(http.MethodPut, "/instances/"+e.id, e.announcement(1), until) {
			return fmt.Errorf("endpoint %s was not acknowledged", e.id)
		}
		go e.announce(b)
		b.note("endpoint %s of %s acknowledged", e.id, e.service)
	}
	for _, p := range b.entries {
		for ready := false; !ready; time.Sleep(100 * time.Millisecond) {
			ready = b.isReady(p)
			for _, r := range warmUp {
				ready = ready && b.send(p, r.withID("warm-up")).status == http.StatusOK
			}
			if !ready && time.Now().After(until) {
				return fmt.Errorf("%s is not ready", p.name)
			}
		}
	}
	b.note("all entries are ready")
	return nil
}

// isReady asks as the platform does. The path is the one of deploy/wire.toml.
func (b *bed) isReady(p *process) bool {
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", p.ip, b.ports.ready))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	b, err := newBed(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(maxTime, func() {
		b.note("NOT RUN: out of time")
		b.stop()
		os.Exit(exitNotRun)
	})
	err = play(b, os.Getenv("TROUBLE") != "0")
	code := exitHeld
	switch {
	case err != nil:
		code = exitNotRun
		b.note("NOT RUN: %v", err)
		b.noteLogs()
		fmt.Println("could not run:", err)
	case len(b.broken) > 0:
		code = exitBroken
		fmt.Println("broken:", strings.Join(b.broken, "\n        "))
	default:
		b.note("the rule held")
		fmt.Println("the rule held")
	}
	b.stop()
	os.Exit(code)
}
