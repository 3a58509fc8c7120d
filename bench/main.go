// Command bench runs stand-in targets, load generators and experiments.
package main

import (
	"fmt"
	"os"

	"github.com/galenalock/galenalock/bench/suite"
)

// commands holds the commands, which the init functions of this package register,
// one per file.
var commands suite.Table

func main() {
	if err := commands.Run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
