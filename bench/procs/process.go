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
