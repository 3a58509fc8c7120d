package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/integrii/flaggy"

	"github.com/galenalock/galenalock/core/state"
)

func init() {
	Register(Command{
		Name:    "snapshot save",
		Summary: "save the whole state of control to a file",
		Example: "galenactl snapshot save control.snapshot",
		Setup: func(sub *flaggy.Subcommand) func(context.Context, *Env) error {
			var file string
			sub.AddPositionalValue(&file, "file", 1, true, "file to write")
			return func(ctx context.Context, env *Env) error { return saveSnapshot(ctx, env, file) }
		},
	})
	Register(Command{
		Name:    "snapshot inspect",
		Summary: "describe a saved state",
		Example: "galenactl snapshot inspect control.snapshot",
		Setup: func(sub *flaggy.Subcommand) func(context.Context, *Env) error {
			var file string
			sub.AddPositionalValue(&file, "file", 1, true, "file to read")
			return func(_ context.Context, env *Env) error { return inspectSnapshot(env, file) }
		},
	})
}

func saveSnapshot(ctx context.Context, env *Env, file string) error {
	var data []byte
	stop := env.progress(ctx, func() string { return "receiving the snapshot" })
	err := env.Client.Do(ctx, http.MethodGet, "/v1/snapshot", nil, &data)
	stop()
	if err != nil {
		return err
	}
	// The file holds stored answers of callers, so that others may not read it.
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return &InvalidError{Reason: err.Error()}
	}
	return env.print(map[string]any{"file": file, "bytes": len(data)}, func(w io.Writer) {
		fmt.Fprintf(w, "%d bytes saved to %s\n", len(data), file)
	})
}

// inspected describes a saved state.
type inspected struct {
	Index    uint64 `json:"index"`
	Time     string `json:"time"`
	Revision uint64 `json:"revision"`
	Change   string `json:"change"`
	Texts    int    `json:"texts"`
	Running  int    `json:"running"`
	Unknown  int    `json:"unknown"`
	Keys     int    `json:"keys"`
	Leases   int    `json:"leases"`
	Drains   int    `json:"drains"`
}

func inspectSnapshot(env *Env, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &InvalidError{Reason: err.Error()}
	}
	m := state.New()
	if err := m.Restore(data); err != nil {
		return &InvalidError{Reason: file + ": " + err.Error()}
	}
	v := m.View()
	doc := inspected{
		Index: v.Index, Time: when(v.Time), Revision: v.Newest().Number, Change: v.Newest().Change, Texts: len(v.History()),
		Running: v.Running, Unknown: v.Unknown, Keys: v.Keys, Leases: len(v.Leases), Drains: len(v.Drains),
	}
	return env.print(doc, func(w io.Writer) {
		row(w, "log index", doc.Index)
		row(w, "time", doc.Time)
		row(w, "revision", doc.Revision)
		row(w, "change", doc.Change)
		row(w, "texts kept", doc.Texts)
		row(w, "claims running", doc.Running)
		row(w, "claims unknown", doc.Unknown)
		row(w, "keys", doc.Keys)
		row(w, "leases", doc.Leases)
		row(w, "drains", doc.Drains)
	})
}
