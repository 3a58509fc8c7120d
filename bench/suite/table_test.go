package suite_test

import (
	"errors"
	"fmt"
	"io"
	"os"
	"testing"

	"github.com/integrii/flaggy"
	"github.com/matryer/is"

	"github.com/galenalock/galenalock/bench/suite"
)

func ExampleTable() {
	var table suite.Table
	seed := 1
	table.Register(suite.Command{
		Name:  "cost",
		Help:  "Measures the cost of control traffic",
		Flags: func(sub *flaggy.Subcommand) { sub.Int(&seed, "", "seed", "Seed of the random source") },
		Run: func(out io.Writer) error {
			_, err := fmt.Fprintln(out, "seed", seed)
			return err
		},
	})
	if err := table.Run([]string{"cost", "--seed", "7"}, os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output: seed 7
}

// Guards against a missing or misspelled command that is reported as a success.
func TestUnknownCommand(t *testing.T) {
	is := is.New(t)
	var table suite.Table
	var unknown *suite.UnknownCommandError
	is.True(errors.As(table.Run([]string{"nosuch"}, io.Discard), &unknown))
	is.True(errors.As(table.Run(nil, io.Discard), &unknown))
}
