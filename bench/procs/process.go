package procs

import (
	"bufio"
	"encoding/json"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// readyTimeout bounds the start of a process, which takes seconds on a loaded
// machine.
const readyTimeout = 30 * time.Second

// Process is a program started by Start.
type Process struct {
	Name string

	command *exec.Cmd
	started time.Time
	ended   time.Time
	done    chan struct{}
	err     error
	onEvent func(at time.Time, fields map[string]any) // receives each log line, may be nil

	mu    sync.Mutex
	lines []string
	ready map[string]string
}

// Start runs a program and waits until it logs the event "ready".
func Start(name, program string, args ...string) (*Process, error) {
	return StartWatched(name, nil, program, args...)
}

// StartWatched is like Start with a function that receives the fields of each log
// line and the time at which it was read.
func StartWatched(name string, onEvent func(at time.Time, fields map[string]any), program string, args ...string) (*Process, error) {
	p := &Process{Name: name, command: exec.Command(program, args...), started: time.Now(), done: make(chan struct{}), onEvent: onEvent}
	reader, writer := io.Pipe()
	p.command.Stdout, p.command.Stderr = writer, writer
	if err := p.command.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	ready := make(chan struct{})
	go p.readLog(reader, ready)
	go func() {
		p.err = p.command.Wait()
		p.ended = time.Now()
		_ = writer.Close() // never fails
		close(p.done)
	}()
	timeout := time.NewTimer(readyTimeout)
	defer timeout.Stop()
	select {
	case <-ready:
		return p, nil
	case <-p.done:
		return nil, eris.Errorf("%s ended before it was ready: %v: %s", name, p.err, p.lastLine())
	case <-timeout.C:
		p.Kill()
		return nil, eris.Errorf("%s was not ready in %s: %s", name, readyTimeout, p.lastLine())
	}
}

// readLog stores the last log lines and closes ready when the program logs the
// event "ready", whose text fields it stores.
func (p *Process) readLog(r io.Reader, ready chan struct{}) {
	const maxLines = 1000
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		line := scanner.Text()
		var fields map[string]any
		isEvent := json.Unmarshal([]byte(line), &fields) == nil
		isReady := isEvent && fields["event"] == "ready"
		if isEvent && p.onEvent != nil {
			p.onEvent(time.Now(), fields)
		}
		p.mu.Lock()
		p.lines = append(p.lines, line)
		if len(p.lines) > maxLines {
			p.lines = p.lines[1:]
		}
		becameReady := isReady && p.ready == nil
		if becameReady {
			p.ready = map[string]string{}
			for key, value := range fields {
				if text, ok := value.(string); ok {
					p.ready[key] = text
				}
			}
		}
		p.mu.Unlock()
		if becameReady {
			close(ready)
		}
	}
}

// Address returns the address in a field of the "ready" event, or the zero value
// if there is none.
func (p *Process) Address(field string) netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, err := netip.ParseAddrPort(p.ready[field])
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

// Lines returns the last log lines, oldest first.
func (p *Process) Lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

func (p *Process) lastLine() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lines) == 0 {
		return "no output"
	}
	return p.lines[len(p.lines)-1]
}

// Stop sends SIGTERM and waits until the process has ended.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGTERM)
	return p.Wait()
}

// Signal sends a signal, such as SIGSTOP to freeze the process and SIGCONT to
// resume it.
func (p *Process) Signal(s os.Signal) {
	// An error means that the process has ended, which Wait reports.
	_ = p.command.Process.Signal(s)
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // an error means that it has ended
	<-p.done
}

// Wait waits until the process has ended. It returns nil for exit status 0, else
// an error with the last log line.
func (p *Process) Wait() error {
	<-p.done
	return eris.Wrapf(p.err, "%s: %s", p.Name, p.lastLine())
}

// Lifetime waits until the process has ended and returns how long it ran.
func (p *Process) Lifetime() time.Duration {
	<-p.done
	return p.ended.Sub(p.started)
}

// ResourceUsage waits until the process has ended and returns its processor time
// and its largest resident memory in bytes.
func (p *Process) ResourceUsage() (time.Duration, int64) {
	<-p.done
	state := p.command.ProcessState
	usage, ok := state.SysUsage().(*syscall.Rusage)
	if !ok {
		return state.UserTime() + state.SystemTime(), 0
	}
	return state.UserTime() + state.SystemTime(), usage.Maxrss * 1024
}

// Memory returns the resident memory of the process in bytes, and the most that it has
// had since the start or since ResetPeak.
func (p *Process) Memory() (now, peak int64, err error) {
	data, err := os.ReadFile(p.file("status"))
	if err != nil {
		return 0, 0, eris.Wrapf(err, "read memory of %s", p.Name)
	}
	for line := range strings.Lines(string(data)) {
		switch fields := strings.Fields(line); fields[0] {
		case "VmRSS:":
			now, err = strconv.ParseInt(fields[1], 10, 64)
		case "VmHWM:":
			peak, err = strconv.ParseInt(fields[1], 10, 64)
		}
		if err != nil {
			return 0, 0, eris.Wrapf(err, "parse memory of %s", p.Name)
		}
	}
	return now << 10, peak << 10, nil
}

// ResetPeak sets the peak of Memory to the present value.
func (p *Process) ResetPeak() error {
	const resetPeak = "5" // see proc_pid_clear_refs(5)
	return eris.Wrapf(os.WriteFile(p.file("clear_refs"), []byte(resetPeak), 0), "reset peak memory of %s", p.Name)
}

// OpenFiles returns the number of file descriptors that the process has open.
func (p *Process) OpenFiles() (int, error) {
	entries, err := os.ReadDir(p.file("fd"))
	return len(entries), eris.Wrapf(err, "read descriptors of %s", p.Name)
}

func (p *Process) file(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), name)
}
