// Command galenactl operates a galenalock fleet.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/galenalock/galenalock/galenactl/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(command.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
