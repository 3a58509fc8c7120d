// Package suite registers and runs the commands of the bench program.
//
// Each command is defined in a file of package main that registers it:
//
//	func init() {
//		var seed int64 = 1
//		commands.Register(suite.Command{
//			Name:  "cost",
//			Help:  "Measures the cost of control traffic",
//			Flags: func(sub *flaggy.Subcommand) { sub.Int64(&seed, "", "seed", "Seed of the random source") },
//			Run:   func(out io.Writer) error { return runCost(seed, out) },
//		})
//	}
package suite

import (
	"io"

	"github.com/integrii/flaggy"
)

// Command is one command of the bench program.
type Command struct {
	Name  string                       // one word, as typed
	Help  string                       // one line
	Flags func(sub *flaggy.Subcommand) // adds the flags, may be nil
	Run   func(out io.Writer) error    // writes its result to out
}
