package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/integrii/flaggy"
)

func init() {
	Register(Command{
		Name:    "drain",
		Summary: "take an instance or a target out of service without stopping it",
		Example: "galenactl drain entry-17\ngalenactl drain 10.0.3.4:8080",
		Setup:   setupDrain(http.MethodPut),
	})
	Register(Command{
		Name:    "undrain",
		Summary: "put a drained instance or target back into service",
		Example: "galenactl undrain entry-17",
		Setup:   setupDrain(http.MethodDelete),
	})
}

func setupDrain(method string) func(*flaggy.Subcommand) func(context.Context, *Env) error {
	return func(sub *flaggy.Subcommand) func(context.Context, *Env) error {
		var name string
		sub.AddPositionalValue(&name, "name", 1, true, "name of an instance or address of a target")
		return func(ctx context.Context, env *Env) error { return setDrained(ctx, env, method, name) }
	}
}

func setDrained(ctx context.Context, env *Env, method, name string) error {
	var doc struct {
		Name    string `json:"name"`
		Drained bool   `json:"drained"`
	}
	stop := env.startProgress(ctx, func() string { return "waiting for the replicas" })
	err := env.Client.Do(ctx, method, "/v1/drains/"+url.PathEscape(name), nil, &doc)
	stop()
	if err != nil {
		return err
	}
	return env.printResult(doc, func(w io.Writer) {
		if doc.Drained {
			fmt.Fprintf(w, "%s is drained\n", doc.Name)
			return
		}
		fmt.Fprintf(w, "%s is not drained\n", doc.Name)
	})
}
