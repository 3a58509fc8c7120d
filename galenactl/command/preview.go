package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/integrii/flaggy"

	"github.com/galenalock/galenalock/entry/agent"
	"github.com/galenalock/galenalock/entry/daemon"
)

func init() {
	Register(Command{
		Name:    "preview",
		Summary: "print what an entry would do with a request, without sending it",
		Example: "galenactl preview 127.0.0.1:7012 /ledger/orders --method POST --host ledger.example --workspace harbour-17",
		Setup:   previewSetup,
	})
}

func previewSetup(sub *flaggy.Subcommand) func(context.Context, *Env) error {
	var entry, path, host, workspace, size string
	method := http.MethodGet
	sub.AddPositionalValue(&entry, "entry", 1, true, "admin address of the entry")
	sub.AddPositionalValue(&path, "path", 2, true, "path of the request")
	sub.String(&method, "m", "method", "method of the request")
	sub.String(&host, "", "host", "host of the request")
	sub.String(&workspace, "w", "workspace", "workspace of the request")
	sub.String(&size, "", "size", "size of the body in bytes")
	return func(ctx context.Context, env *Env) error {
		addresses, err := parseAddresses(entry)
		if err != nil {
			return err
		}
		query := url.Values{"method": {method}, "host": {host}, "path": {path}, "workspace": {workspace}, "size": {size}}
		// The admin address of an entry has neither TLS nor tokens.
		client := &Client{Addresses: addresses, Timeout: env.Client.Timeout}
		var doc agent.Preview
		if err := client.Do(ctx, http.MethodGet, daemon.PreviewPath+"?"+query.Encode(), nil, &doc); err != nil {
			return err
		}
		return env.printResult(doc, func(w io.Writer) { writePreview(w, &doc) })
	}
}

func writePreview(w io.Writer, p *agent.Preview) {
	if p.Refusal != "" {
		fmt.Fprintf(w, "refused: %s %s\n", p.Refusal, p.Detail)
	}
	if len(p.Services) == 0 {
		return
	}
	fmt.Fprintf(w, "route %q, prefix %q, public: %t; path to the targets: %s\n", p.Route, p.Prefix, p.Public, p.Path)
	switch ws := p.Workspace; {
	case ws == nil:
	case ws.Rate == 0:
		fmt.Fprintf(w, "workspace %s, no limit\n", ws.Name)
	default:
		fmt.Fprintf(w, "workspace %s, %g requests a second, burst %g; %.1f left at this entry\n", ws.Name, ws.Rate, ws.Burst, ws.Left)
	}
	for _, s := range p.Services {
		fmt.Fprintf(w, "\nservice %s, %.0f%% of the route; kind %s, repeatable: %t, key required: %t, priority %d, weight %g, timeout %s\n",
			s.Name, 100*s.Share, s.Kind, s.Repeatable, s.KeyRequired, s.Priority, s.Weight, s.Timeout)
		if s.Refusal != "" {
			fmt.Fprintf(w, "refused: %s\n", s.Refusal)
		}
		fmt.Fprintf(w, "admission: %d of %.0f in flight, %d waiting\n", s.Inflight, s.Limit, s.Waiting)
		writeRow(w, "TARGET", "DATACENTRE", "STATE", "LOAD", "SLOTS", "BUSY", "FAR", "RISK", "COST", "SHARE", "REASON")
		for _, t := range s.Targets {
			writeRow(w, t.Address, t.DataCentre, t.State, fmt.Sprintf("%.1f", t.Load), t.Slots, fmt.Sprintf("%.2f", t.Busy),
				fmt.Sprintf("%.2f", t.Far), fmt.Sprintf("%.2f", t.Risk), fmt.Sprintf("%.2f", t.Cost), fmt.Sprintf("%.0f%%", 100*t.Share), t.Reason)
		}
	}
}
