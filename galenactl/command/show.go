package command

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/integrii/flaggy"

	"github.com/galenalock/galenalock/control/admin"
)

func init() {
	Register(Command{
		Name:    "show",
		Summary: "print the service text, the newest or an earlier one",
		Example: "galenactl show > fleet.toml\ngalenactl show --revision 41",
		Setup: func(sub *flaggy.Subcommand) func(context.Context, *Env) error {
			var number string
			sub.String(&number, "r", "revision", "revision to show, the newest by default")
			return func(ctx context.Context, env *Env) error { return showText(ctx, env, number) }
		},
	})
}

func showText(ctx context.Context, env *Env, revision string) error {
	doc, err := fetchText(ctx, env, revision)
	if err != nil {
		return err
	}
	env.messagef("revision %d, change %s, accepted %s", doc.Revision.Number, doc.Revision.Change, formatTime(doc.Revision.Time))
	if env.JSON {
		return env.printResult(doc, nil)
	}
	_, err = io.WriteString(env.Out, *doc.Revision.Text)
	return err
}

func fetchText(ctx context.Context, env *Env, revision string) (admin.Text, error) {
	path := "/v1/text"
	if revision != "" {
		path += "?revision=" + url.QueryEscape(revision)
	}
	var doc admin.Text
	stop := env.startProgress(ctx, func() string { return "waiting for the text" })
	err := env.Client.Do(ctx, http.MethodGet, path, nil, &doc)
	stop()
	if err != nil {
		return doc, err
	}
	if doc.Revision.Text == nil {
		doc.Revision.Text = new(string)
	}
	env.warnUnconfirmed(doc.Confirmed)
	return doc, nil
}
