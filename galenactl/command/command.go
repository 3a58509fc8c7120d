package command

import (
	"context"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

// Command is one command of the program.
type Command struct {
	Name    string // with the name of its group, as in "replica add"
	Summary string
	Example string
	// Setup declares flags and arguments and returns what runs after they
	// have been read.
	Setup func(sub *flaggy.Subcommand) func(ctx context.Context, env *Env) error
}

var registered []Command

// Register adds a command to the program. Commands call it when the package is
// loaded.
func Register(c Command) { registered = append(registered, c) }

// Commands returns all commands by name.
func Commands() []Command {
	out := slices.Clone(registered)
	slices.SortFunc(out, func(a, b Command) int { return strings.Compare(a.Name, b.Name) })
	return out
}
