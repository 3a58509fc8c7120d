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
	stop := env.startProgress(ctx, func() string { return "receiving the snapshot" })
	err := env.Client.Do(ctx, http.MethodGet, "/v1/snapshot", nil, &data)
	stop()
	if err != nil {
		return err
	}
	// The snapshot contains stored responses to callers, so only the owner may
	// read the file.
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return &InvalidError{Reason: err.Error()}
	}
	return env.printResult(map[string]any{"file": file, "bytes": len(data)}, func(w io.Writer) {
		fmt.Fprintf(w, "%d bytes saved to %s\n", len(data), file)
	})
}

// snapshotSummary is the output of the snapshot inspect command.
type snapshotSummary struct {
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
	machine := state.New()
	if err := machine.Restore(data); err != nil {
		return &InvalidError{Reason: file + ": " + err.Error()}
	}
	view := machine.View()
	doc := snapshotSummary{
		Index: view.Index, Time: formatTime(view.Time), Revision: view.Newest().Number, Change: view.Newest().Change, Texts: len(view.History()),
		Running: view.Running, Unknown: view.Unknown, Keys: view.Keys, Leases: len(view.Leases), Drains: len(view.Drains),
	}
	return env.printResult(doc, func(w io.Writer) {
		writeRow(w, "log index", doc.Index)
		writeRow(w, "time", doc.Time)
		writeRow(w, "revision", doc.Revision)
		writeRow(w, "change", doc.Change)
		writeRow(w, "texts kept", doc.Texts)
		writeRow(w, "claims running", doc.Running)
		writeRow(w, "claims unknown", doc.Unknown)
		writeRow(w, "keys", doc.Keys)
		writeRow(w, "leases", doc.Leases)
		writeRow(w, "drains", doc.Drains)
	})
}
