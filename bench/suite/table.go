package suite

import (
	"io"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

// Table holds the registered commands. The zero value is empty and ready.
type Table struct {
	commands []Command
}

// UnknownError is a command that nobody registered.
type UnknownError struct {
	Name  string
	Known []string
}

// Error names the command and the registered ones.
func (e *UnknownError) Error() string {
	known := "; commands: " + strings.Join(e.Known, ", ")
	if e.Name == "" {
		return "bench: no command" + known
	}
	return "bench: unknown command " + e.Name + known
}

// Register adds a command. It panics when the name is taken, which the first
// start of the program shows.
func (t *Table) Register(c Command) {
	for _, other := range t.commands {
		if other.Name == c.Name {
			panic("bench: command " + c.Name + " is registered twice")
		}
	}
	t.commands = append(t.commands, c)
	slices.SortFunc(t.commands, func(a, b Command) int { return strings.Compare(a.Name, b.Name) })
}

// Names returns the names of the commands in ascending order.
func (t *Table) Names() []string {
	out := make([]string, 0, len(t.commands))
	for _, c := range t.commands {
		out = append(out, c.Name)
	}
	return out
}

// Run parses the arguments and runs the command that they name.
func (t *Table) Run(args []string, out io.Writer) error {
	parser := flaggy.NewParser("bench")
	parser.Description = "Stand-in targets, load and experiments of galenalock"
	parser.ShowHelpOnUnexpected = true
	parser.ShowVersionWithVersionFlag = false
	subs := make([]*flaggy.Subcommand, len(t.commands))
	for i, c := range t.commands {
		subs[i] = flaggy.NewSubcommand(c.Name)
		subs[i].Description = c.Help
		if c.Flags != nil {
			c.Flags(subs[i])
		}
		parser.AttachSubcommand(subs[i], 1)
	}
	if len(args) == 0 || !strings.HasPrefix(args[0], "-") && !slices.Contains(t.Names(), args[0]) {
		return &UnknownError{Name: strings.Join(args[:min(1, len(args))], ""), Known: t.Names()}
	}
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	for i, sub := range subs {
		if sub.Used {
			return t.commands[i].Run(out)
		}
	}
	return &UnknownError{Name: args[0], Known: t.Names()}
}
