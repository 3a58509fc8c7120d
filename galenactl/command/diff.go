package command

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
	"github.com/pmezard/go-difflib/difflib"

	"github.com/galenalock/galenalock/core/spec"
)

const contextLines = 3 // unchanged lines around each difference

func init() {
	Register(Command{
		Name:    "diff",
		Summary: "show how a file differs from the service text in force",
		Example: "galenactl diff fleet.toml\ngalenactl diff fleet.toml --revision 41",
		Setup: func(sub *flaggy.Subcommand) func(context.Context, *Env) error {
			var file, number string
			sub.AddPositionalValue(&file, "file", 1, true, "service text")
			sub.String(&number, "r", "revision", "revision to compare with, the newest by default")
			return func(ctx context.Context, env *Env) error { return diff(ctx, env, file, number) }
		},
	})
}

func diff(ctx context.Context, env *Env, file, revision string) error {
	text, _, err := readText(file)
	if err != nil {
		return err
	}
	doc, err := fetchText(ctx, env, revision)
	if err != nil {
		return err
	}
	redacted := string(spec.Redact(text)) // as the text of the revision is
	unified, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(*doc.Revision.Text), FromFile: fmt.Sprint("revision ", doc.Revision.Number),
		B: difflib.SplitLines(redacted), ToFile: file, Context: contextLines,
	})
	if err != nil {
		return err
	}
	equal := *doc.Revision.Text == redacted
	err = env.printResult(map[string]any{"base": doc.Revision.Number, "differs": !equal, "diff": unified}, func(w io.Writer) {
		fmt.Fprint(w, unified)
	})
	if err != nil || equal {
		return err
	}
	return &DiffersError{}
}
