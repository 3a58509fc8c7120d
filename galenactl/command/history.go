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
			return printHistory
		},
	})
}

func printHistory(ctx context.Context, env *Env) error {
	var doc admin.History
	stop := env.startProgress(ctx, func() string { return "waiting for the history" })
	err := env.Client.Do(ctx, http.MethodGet, "/v1/history", nil, &doc)
	stop()
	if err != nil {
		return err
	}
	env.warnUnconfirmed(doc.Confirmed)
	return env.printResult(doc, func(w io.Writer) {
		writeRow(w, "REVISION", "BASE", "ACCEPTED", "BYTES", "CHANGE")
		for _, r := range doc.Revisions {
			writeRow(w, r.Number, r.Base, formatTime(r.Time), r.Size, r.Change)
		}
	})
}
