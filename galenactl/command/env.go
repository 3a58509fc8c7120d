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

// Env is what a command works with.
type Env struct {
	Out    io.Writer // results
	Err    io.Writer // progress and errors
	JSON   bool
	Client *Client
}

// print writes a result: the document for programs, or else the table.
func (e *Env) print(document any, table func(w io.Writer)) error {
	if e.JSON {
		encoder := json.NewEncoder(e.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(document)
	}
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// note tells people something that is no result.
func (e *Env) note(format string, args ...any) { fmt.Fprintf(e.Err, format+"\n", args...) }

const progressEvery = time.Second

// progress reports every second that the command goes on, until the returned
// function is called.
func (e *Env) progress(ctx context.Context, what func() string) func() {
	ctx, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	done.Go(func() {
		started := time.Now()
		ticker := time.NewTicker(progressEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				e.note("%s (%d s)", what(), int(now.Sub(started).Seconds()))
			}
		}
	})
	return func() { cancel(); done.Wait() }
}

// unconfirmed warns that an answer comes from a replica without a majority.
func (e *Env) unconfirmed(confirmed bool) {
	if !confirmed {
		e.note("warning: no majority confirms this answer; it may be out of date")
	}
}

// table rows are separated by tabs.
func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}

// when formats a time for people.
func when(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02 15:04:05")
}
