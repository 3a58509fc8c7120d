// Command entry runs an entry: the proxy between callers and targets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/galenalock/galenalock/entry/daemon"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	file := "entry.toml"
	flaggy.SetName("entry")
	flaggy.SetDescription("entry of a galenalock fleet: the proxy between callers and targets")
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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancel()
		<-signals
		d.Hurry() // the second signal ends the wait for requests in flight
	}()
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}
