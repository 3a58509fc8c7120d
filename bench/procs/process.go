package procs

import (
	"bufio"
	"encoding/json"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// readyTimeout bounds the start of a process; a loaded machine takes seconds.
const readyTimeout = 30 * time.Second

// Process is one running program.
type Process struct {
	Name string

	command *exec.Cmd
	started time.Time
	ended   time.Time
	done    chan struct{}
	err     error

	mu    sync.Mutex
	lines []string
	ready map[string]string
}

// Start runs a program and waits for its line with the event "ready".
func Start(name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, command: exec.Command(program, args...), started: time.Now(), done: make(chan struct{})}
	reader, writer := io.Pipe()
	p.command.Stdout, p.command.Stderr = writer, writer
	if err := p.command.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	ready := make(chan struct{})
	go p.read(reader, ready)
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
		return nil, eris.Errorf("%s ended before it was ready: %v: %s", name, p.err, p.last())
	case <-timeout.C:
		p.Kill()
		return nil, eris.Errorf("%s was not ready in %s: %s", name, readyTimeout, p.last())
	}
}

// read keeps the log lines and closes ready at the readiness line.
func (p *Process) read(r io.Reader, ready chan struct{}) {
	const keptLines = 1000
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		line := scanner.Text()
		var fields map[string]any
		isReady := json.Unmarshal([]byte(line), &fields) == nil && fields["event"] == "ready"
		p.mu.Lock()
		p.lines = append(p.lines, line)
		if len(p.lines) > keptLines {
			p.lines = p.lines[1:]
		}
		first := isReady && p.ready == nil
		if first {
			p.ready = map[string]string{}
			for key, value := range fields {
				if text, ok := value.(string); ok {
					p.ready[key] = text
				}
			}
		}
		p.mu.Unlock()
		if first {
			close(ready)
		}
	}
}

// Address returns an address that the readiness line names.
func (p *Process) Address(field string) netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, err := netip.ParseAddrPort(p.ready[field])
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

// Lines returns the last log lines.
func (p *Process) Lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

func (p *Process) last() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lines) == 0 {
		return "no output"
	}
	return p.lines[len(p.lines)-1]
}

// Stop sends SIGTERM and waits for the end.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGTERM)
	return p.Wait()
}

// Signal sends a signal, such as SIGSTOP and SIGCONT for a frozen process.
func (p *Process) Signal(s os.Signal) {
	// An error means that the process has ended, which Wait reports.
	_ = p.command.Process.Signal(s)
}

// Kill ends the process at once and waits for the end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // an error means that it has ended
	<-p.done
}

// Wait waits for the end and returns how the process ended.
func (p *Process) Wait() error {
	<-p.done
	return eris.Wrapf(p.err, "%s: %s", p.Name, p.last())
}

// Lifetime returns the time from the start to the end of a process that has
// ended.
func (p *Process) Lifetime() time.Duration {
	<-p.done
	return p.ended.Sub(p.started)
}

// Processor returns the processor time and the largest resident memory in
// bytes of a process that has ended.
func (p *Process) Processor() (time.Duration, int64) {
	<-p.done
	state := p.command.ProcessState
	usage, ok := state.SysUsage().(*syscall.Rusage)
	if !ok {
		return state.UserTime() + state.SystemTime(), 0
	}
	return state.UserTime() + state.SystemTime(), usage.Maxrss * 1024
}
