package command

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/galenalock/galenalock/control/admin"
)

func init() {
	Register(Command{
		Name:    "replica add",
		Summary: "add a control replica, or change its address",
		Example: "galenactl replica add 4 10.0.0.4:7001",
		Setup: func(sub *flaggy.Subcommand) func(context.Context, *Env) error {
			var id, address string
			sub.AddPositionalValue(&id, "id", 1, true, "number of the replica")
			sub.AddPositionalValue(&address, "address", 2, true, "its peer address")
			return func(ctx context.Context, env *Env) error {
				to, err := netip.ParseAddrPort(address)
				if err != nil {
					return &InvalidError{Reason: strconv.Quote(address) + " is no IP address with a port"}
				}
				return doReplicas(ctx, env, http.MethodPut, "/"+id, admin.Address{Address: to})
			}
		},
	})
	Register(Command{
		Name:    "replica remove",
		Summary: "remove a control replica",
		Example: "galenactl replica remove 4",
		Setup: func(sub *flaggy.Subcommand) func(context.Context, *Env) error {
			var id string
			sub.AddPositionalValue(&id, "id", 1, true, "number of the replica")
			return func(ctx context.Context, env *Env) error { return doReplicas(ctx, env, http.MethodDelete, "/"+id, nil) }
		},
	})
	Register(Command{
		Name:    "replica list",
		Summary: "list the control replicas",
		Example: "galenactl replica list",
		Setup: func(*flaggy.Subcommand) func(context.Context, *Env) error {
			return func(ctx context.Context, env *Env) error { return doReplicas(ctx, env, http.MethodGet, "", nil) }
		},
	})
}

// doReplicas sends a request for the replica set and prints the list of
// replicas in the response, which is the same for all methods.
func doReplicas(ctx context.Context, env *Env, method, path string, body any) error {
	var doc admin.Replicas
	stop := env.startProgress(ctx, func() string { return "waiting for the replicas" })
	err := env.Client.Do(ctx, method, "/v1/replicas"+path, body, &doc)
	stop()
	if err != nil {
		return err
	}
	return env.printResult(doc, func(w io.Writer) {
		writeRow(w, "REPLICA", "ADDRESS", "ROLE")
		for _, r := range doc.Replicas {
			writeRow(w, r.ID, r.Address, r.Role)
		}
	})
}
