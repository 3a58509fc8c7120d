package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/galenalock/galenalock/galenactl/story"
)

func init() {
	Register(Command{
		Name:    "explain",
		Summary: "print the log lines that explain one request, target or instance",
		Example: "galenactl explain 9c41d07be2a35f68 < fleet.log\ngalenactl explain i-7f3a91c2 --logs fleet.log",
		Setup:   explainSetup,
	})
}

func explainSetup(sub *flaggy.Subcommand) func(context.Context, *Env) error {
	var id string
	file := "-"
	sub.AddPositionalValue(&id, "id", 1, true, "identifier of a request, or name of a target or instance")
	sub.String(&file, "l", "logs", "file with the log lines of the instances, - for standard input")
	return func(_ context.Context, env *Env) error { return explain(env, id, file) }
}

func explain(env *Env, id, file string) error {
	in := io.Reader(os.Stdin)
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return &InvalidError{Reason: "--logs: " + err.Error()}
		}
		defer f.Close()
		in = f
	}
	lines, err := story.Read(in)
	if err != nil {
		return err
	}
	found := story.Select(lines, id)
	if len(found) == 0 {
		return &InvalidError{Reason: fmt.Sprintf("none of %d lines is about %s", len(lines), id)}
	}
	return env.printResult(found, func(w io.Writer) {
		for _, l := range found {
			fmt.Fprintln(w, l)
		}
	})
}
