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
		Name:    "status",
		Summary: "show the instances, the revision that each has in force, and who lags",
		Example: "galenactl status",
		Setup: func(*flaggy.Subcommand) func(context.Context, *Env) error {
			return printStatus
		},
	})
}

func fetchStatus(ctx context.Context, env *Env) (admin.Status, error) {
	var doc admin.Status
	return doc, env.Client.Do(ctx, http.MethodGet, "/v1/status", nil, &doc)
}

func printStatus(ctx context.Context, env *Env) error {
	stop := env.startProgress(ctx, func() string { return "waiting for the status" })
	doc, err := fetchStatus(ctx, env)
	stop()
	if err != nil {
		return err
	}
	env.warnUnconfirmed(doc.Confirmed)
	return env.printResult(doc, func(w io.Writer) { writeStatusTable(w, doc) })
}

func writeStatusTable(w io.Writer, doc admin.Status) {
	fmt.Fprintf(w, "revision %d, change %s, accepted %s\n", doc.Revision.Number, doc.Revision.Change, formatTime(doc.Revision.Time))
	fmt.Fprintf(w, "replica %d is %s, replica %d leads; state confirmed %.1f s ago\n", doc.Replica.ID, doc.Replica.Role, doc.Replica.Leader, doc.Replica.Age)
	if doc.Slowest != "" {
		fmt.Fprintf(w, "slowest: %s, %d behind\n", doc.Slowest, doc.Lag)
	}
	for _, d := range doc.Drains {
		fmt.Fprintf(w, "drained: %s since %s\n", d.Name, formatTime(d.Since))
	}
	fmt.Fprintln(w)
	writeRow(w, "INSTANCE", "ROLE", "REGION", "DATACENTRE", "STATE", "REVISION", "LAG", "BEHIND", "CONFIRMED", "SEEN", "INFLIGHT")
	for _, i := range doc.Instances {
		state := i.State
		if i.Drained {
			state += " (drained)"
		}
		if !i.Reachable {
			state += " (out of reach)"
		}
		writeRow(w, i.Name, i.Role, i.Region, i.DataCentre, state, i.Revision, i.Lag,
			formatSeconds(i.Behind), formatSeconds(i.Confirmed), formatSeconds(i.Age), i.Inflight)
	}
}

func formatSeconds(seconds float64) string { return fmt.Sprintf("%.1fs", seconds) }
