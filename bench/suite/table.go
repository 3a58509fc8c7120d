package suite

import (
	"io"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

// Table holds the registered commands. The zero value is an empty table that is
// ready to use.
type Table struct {
	commands []Command
}

// UnknownCommandError reports a missing command or one that is not registered.
type UnknownCommandError struct {
	Name  string
	Known []string
}

// Error returns the unknown command and the registered ones.
func (e *UnknownCommandError) Error() string {
	suffix := "; commands: " + strings.Join(e.Known, ", ")
	if e.Name == "" {
		return "bench: no command" + suffix
	}
	return "bench: unknown command " + e.Name + suffix
}

// Register adds a command. It panics if the name is already registered, so that
// a duplicate shows when the program starts.
func (t *Table) Register(c Command) {
	for _, registered := range t.commands {
		if registered.Name == c.Name {
			panic("bench: command " + c.Name + " is registered twice")
		}
	}
	t.commands = append(t.commands, c)
	slices.SortFunc(t.commands, func(a, b Command) int { return strings.Compare(a.Name, b.Name) })
}

// Names returns the names of the commands in ascending order.
func (t *Table) Names() []string {
	names := make([]string, 0, len(t.commands))
	for _, c := range t.commands {
		names = append(names, c.Name)
	}
	return names
}

// Run parses the arguments and runs the command named by the first one.
func (t *Table) Run(args []string, out io.Writer) error {
	parser := flaggy.NewParser("bench")
	parser.Description = "Stand-in targets, load and experiments of galenalock"
	parser.ShowHelpOnUnexpected = true
	parser.ShowVersionWithVersionFlag = false
	subcommands := make([]*flaggy.Subcommand, len(t.commands))
	for i, c := range t.commands {
		subcommands[i] = flaggy.NewSubcommand(c.Name)
		subcommands[i].Description = c.Help
		if c.Flags != nil {
			c.Flags(subcommands[i])
		}
		parser.AttachSubcommand(subcommands[i], 1)
	}
	if len(args) == 0 || !strings.HasPrefix(args[0], "-") && !slices.Contains(t.Names(), args[0]) {
		return &UnknownCommandError{Name: strings.Join(args[:min(1, len(args))], ""), Known: t.Names()}
	}
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	for i, subcommand := range subcommands {
		if subcommand.Used {
			return t.commands[i].Run(out)
		}
	}
	return &UnknownCommandError{Name: args[0], Known: t.Names()}
}
