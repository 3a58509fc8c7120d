package command

import (
	"context"
	"io"
	"net/http"

	"github.com/integrii/flaggy"

	"github.com/galenalock/galenalock/control/admin"
)

func init() {
	Register(Command{
		Name:    "history",
		Summary: "list the latest revisions, newest first",
		Example: "galenactl history",
		Setup: func(*flaggy.Subcommand) func(context.Context, *Env) error {
			return history
		},
	})
}

func history(ctx context.Context, env *Env) error {
	var doc admin.History
	stop := env.progress(ctx, func() string { return "waiting for the history" })
	err := env.Client.Do(ctx, http.MethodGet, "/v1/history", nil, &doc)
	stop()
	if err != nil {
		return err
	}
	env.unconfirmed(doc.Confirmed)
	return env.print(doc, func(w io.Writer) {
		row(w, "REVISION", "BASE", "ACCEPTED", "BYTES", "CHANGE")
		for _, r := range doc.Revisions {
			row(w, r.Number, r.Base, when(r.Time), r.Size, r.Change)
		}
	})
}
