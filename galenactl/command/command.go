package command

import (
	"context"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

// Command describes one command of galenactl.
type Command struct {
	Name    string // prefixed with the group, if any, as in "replica add"
	Summary string
	Example string
	// Setup declares flags and arguments on sub and returns the function that
	// runs the command after they have been parsed.
	Setup func(sub *flaggy.Subcommand) func(ctx context.Context, env *Env) error
}

var registered []Command

// Register adds a command to galenactl. It is called from init functions and is
// not safe for concurrent use.
func Register(c Command) { registered = append(registered, c) }

// Commands returns all registered commands, sorted by name.
func Commands() []Command {
	out := slices.Clone(registered)
	slices.SortFunc(out, func(a, b Command) int { return strings.Compare(a.Name, b.Name) })
	return out
}
