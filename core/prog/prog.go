package prog

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// Exit codes of the program.
const (
	ExitDone     = 0
	ExitFailed   = 1 // the program ran and cannot go on
	ExitSettings = 2 // the settings file, or an address or folder that it names
)

// Program describes a program with one settings file.
type Program struct {
	Name        string
	Description string
	Open        func(file string) (Daemon, error) // reads the settings and binds the addresses
	Errors      io.Writer                         // standard error by default
}

// Daemon is what a program runs.
type Daemon struct {
	Run   func(ctx context.Context) error // until ctx ends, then stops gracefully
	Hurry func()                          // ends the wait of a graceful stop; nil: a second signal ends the process

	// Reload reads the settings again, on SIGHUP and when the file has changed;
	// nil: the program ignores both. An error leaves the settings as they were.
	Reload func(file string) error
}

// Patient is a Hurry for programs whose supervisor may send the signal to stop
// more than once and ends them itself when their time is over.
func Patient() {}

// Main reads the command line, runs the program and returns its exit code.
func (p Program) Main(args []string) int {
	file := p.Name + ".toml"
	parser := flaggy.NewParser(p.Name)
	parser.Description = p.Description
	parser.ShowVersionWithVersionFlag = false
	parser.String(&file, "", "settings", "settings file")
	if err := parser.ParseArgs(args); err != nil {
		return p.fail(ExitSettings, err)
	}
	return p.run(file)
}

func (p Program) run(file string) int {
	d, err := p.Open(file)
	if err != nil {
		return p.fail(ExitSettings, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// A signal that nobody takes ends the process, so hangups are taken until the
	// very end, also while the program stops.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go p.watch(ctx, file, hangups, d.Reload)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	go func() {
		<-signals
		cancel()
		if d.Hurry == nil {
			signal.Stop(signals)
			return
		}
		<-signals
		d.Hurry()
	}()
	if err := d.Run(ctx); err != nil {
		return p.fail(ExitFailed, err)
	}
	return ExitDone
}

func (p Program) fail(code int, err error) int {
	out := p.Errors
	if out == nil {
		out = os.Stderr
	}
	fmt.Fprintln(out, err)
	return code
}
