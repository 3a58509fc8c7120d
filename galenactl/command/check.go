package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/galenalock/galenalock/core/spec"
)

func init() {
	Register(Command{
		Name:    "check",
		Summary: "check a service text without submitting it",
		Example: "galenactl check fleet.toml",
		Setup: func(sub *flaggy.Subcommand) func(context.Context, *Env) error {
			var file string
			sub.AddPositionalValue(&file, "file", 1, true, "service text")
			return func(_ context.Context, env *Env) error { return check(env, file) }
		},
	})
}

func check(env *Env, file string) error {
	text, parsed, err := readText(file)
	if err != nil {
		return err
	}
	counts := map[string]int{
		"bytes": len(text), "services": len(parsed.Services), "routes": len(parsed.Routes), "workspaces": len(parsed.Workspaces),
	}
	return env.printResult(counts, func(w io.Writer) {
		fmt.Fprintf(w, "%s is valid: %d services, %d routes, %d workspaces\n", file, counts["services"], counts["routes"], counts["workspaces"])
	})
}

// readText reads a service text from a file and validates it.
func readText(file string) ([]byte, *spec.Text, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, &InvalidError{Reason: err.Error()}
	}
	parsed, err := spec.Parse(text)
	return text, parsed, err
}
