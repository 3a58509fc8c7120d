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
	ExitOK       = 0
	ExitFailed   = 1 // the program stopped because of an error while it ran
	ExitSettings = 2 // invalid settings file, or an address or directory in it cannot be used
)

// Program describes a program with a settings file.
type Program struct {
	Name        string
	Description string
	Open        func(file string) (Daemon, error) // reads the settings and binds the addresses
	ErrorOutput io.Writer                         // os.Stderr if nil
}

// Daemon holds the functions of a running program.
type Daemon struct {
	Run       func(ctx context.Context) error // runs until ctx ends, then stops gracefully
	ForceStop func()                          // called on a second signal, ends the wait of a graceful stop; nil: a second signal ends the process

	// Reload reads the settings again. It is called on SIGHUP and when the content
	// of the file has changed; if it is nil, the program ignores both. If it returns
	// an error, the settings must be unchanged.
	Reload func(file string) error
}

// IgnoreRepeatedStop is a Daemon.ForceStop that does nothing. It is for programs
// whose supervisor may send the stop signal more than once and kills them itself
// when their stop takes too long.
func IgnoreRepeatedStop() {}

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
	// An unhandled SIGHUP ends the process, so it is caught until the process exits,
	// also during a graceful stop.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go p.watchSettings(ctx, file, hangups, d.Reload)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	go func() {
		<-signals
		cancel()
		if d.ForceStop == nil {
			signal.Stop(signals)
			return
		}
		<-signals
		d.ForceStop()
	}()
	if err := d.Run(ctx); err != nil {
		return p.fail(ExitFailed, err)
	}
	return ExitOK
}

func (p Program) fail(code int, err error) int {
	out := p.ErrorOutput
	if out == nil {
		out = os.Stderr
	}
	fmt.Fprintln(out, err)
	return code
}
