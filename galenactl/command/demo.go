package command

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/galenalock/galenalock/galenactl/demo"
)

func init() {
	Register(Command{
		Name:    "demo",
		Summary: "run a replica, an entry and stand-in targets in this process",
		Example: "galenactl demo\ngalenactl demo --once",
		Setup: func(sub *flaggy.Subcommand) func(context.Context, *Env) error {
			var once bool
			sub.Bool(&once, "", "once", "send a lookup, a keyed order twice and an upload, print the answers and end")
			return func(ctx context.Context, env *Env) error { return demo.Run(ctx, env.Out, once) }
		},
	})
}
