package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"
)

// Env holds the output streams, output format and client of a command.
type Env struct {
	Out    io.Writer // results
	Err    io.Writer // progress and errors
	JSON   bool
	Client *Client
}

// printResult writes doc as JSON if requested, and else the table.
func (e *Env) printResult(doc any, writeTable func(w io.Writer)) error {
	if e.JSON {
		encoder := json.NewEncoder(e.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(doc)
	}
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
	writeTable(w)
	return w.Flush()
}

// messagef prints a line to Err, since it is not part of the result.
func (e *Env) messagef(format string, args ...any) { fmt.Fprintf(e.Err, format+"\n", args...) }

const progressInterval = time.Second

// startProgress prints a progress line every progressInterval until ctx ends or
// the returned function is called.
func (e *Env) startProgress(ctx context.Context, describe func() string) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		start := time.Now()
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				e.messagef("%s (%d s)", describe(), int(now.Sub(start).Seconds()))
			}
		}
	})
	return func() { cancel(); wg.Wait() }
}

// warnUnconfirmed warns if a response comes from a replica that no majority
// confirms.
func (e *Env) warnUnconfirmed(confirmed bool) {
	if !confirmed {
		e.messagef("warning: no majority confirms this answer; it may be out of date")
	}
}

// writeRow writes a table row with tabs between its cells.
func writeRow(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}

// formatTime formats a time in UTC, and the zero time as a dash.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02 15:04:05")
}
