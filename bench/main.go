// Command bench runs stand-in targets, load and experiments.
package main

import (
	"fmt"
	"os"

	"github.com/galenalock/galenalock/bench/suite"
)

// commands is filled by the init functions of the files of this package, one
// command per file.
var commands suite.Table

func main() {
	if err := commands.Run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
