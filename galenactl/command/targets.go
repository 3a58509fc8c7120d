package command

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/integrii/flaggy"

	"github.com/galenalock/galenalock/control/admin"
)

func init() {
	Register(Command{
		Name:    "targets",
		Summary: "list targets with their state and its reason",
		Example: "galenactl targets --service ledger",
		Setup: func(sub *flaggy.Subcommand) func(context.Context, *Env) error {
			var service string
			sub.String(&service, "s", "service", "only targets of this service")
			return func(ctx context.Context, env *Env) error { return printTargets(ctx, env, service) }
		},
	})
}

func printTargets(ctx context.Context, env *Env, service string) error {
	var doc admin.Targets
	stop := env.startProgress(ctx, func() string { return "waiting for the targets" })
	err := env.Client.Do(ctx, http.MethodGet, "/v1/targets", nil, &doc)
	stop()
	if err != nil {
		return err
	}
	env.warnUnconfirmed(doc.Confirmed)
	selected := []admin.Target{}
	for _, t := range doc.Targets {
		if service == "" || t.Service == service {
			selected = append(selected, t)
		}
	}
	doc.Targets = selected
	return env.printResult(doc, func(w io.Writer) {
		writeRow(w, "SERVICE", "ADDRESS", "REGION", "DATACENTRE", "STATE", "SLOTS", "LEASE", "SCORE", "REASON")
		for _, t := range doc.Targets {
			writeRow(w, t.Service, t.Address, t.Region, t.DataCentre, t.State, t.Slots, formatSeconds(t.Left), fmt.Sprintf("%.1f", t.Score), t.Reason)
		}
	})
}
