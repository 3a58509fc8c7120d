// Command control runs a control replica.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/galenalock/galenalock/control/daemon"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	file := "control.toml"
	flaggy.SetName("control")
	flaggy.SetDescription("control replica of a galenalock fleet")
	flaggy.DefaultParser.ShowVersionWithVersionFlag = false
	flaggy.String(&file, "", "settings", "settings file")
	flaggy.Parse()
	os.Exit(run(file))
}

func run(file string) int {
	settings, err := daemon.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	d, err := daemon.New(settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	// A second signal ends the process at once.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop)
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}
