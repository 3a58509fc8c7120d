package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"github.com/galenalock/galenalock/control/admin"
)

const waitPoll = 250 * time.Millisecond

func init() {
	Register(Command{
		Name:    "submit",
		Summary: "submit a service text as a change of a revision",
		Example: "galenactl submit fleet.toml --base 41\ngalenactl submit fleet.toml --base newest --wait",
		Setup: func(sub *flaggy.Subcommand) func(context.Context, *Env) error {
			var s submission
			sub.AddPositionalValue(&s.file, "file", 1, true, "service text")
			sub.String(&s.base, "b", "base", `revision that the text was made from, 0 for the first, or "newest"`)
			sub.String(&s.change, "c", "change", "identifier of the change; by default one is made and kept until the answer arrives")
			sub.String(&s.keep, "", "keep", "file that keeps the identifier, by default FILE.change")
			sub.Bool(&s.wait, "w", "wait", "wait until the revision is in force at every entry that reports")
			return s.run
		},
	})
}

type submission struct {
	file, base, change, keep string
	wait                     bool
}

func (s *submission) run(ctx context.Context, env *Env) error {
	text, _, err := readText(s.file)
	if err != nil {
		return err
	}
	if s.keep == "" {
		s.keep = s.file + ".change"
	}
	p, err := s.prepare(ctx, env, text)
	if err != nil {
		return err
	}
	if err := p.write(s.keep); err != nil {
		return err
	}
	var doc admin.Accepted
	stop := env.progress(ctx, func() string { return "submitting change " + p.Change })
	err = env.Client.Do(ctx, http.MethodPost, "/v1/submit", admin.Submission{Base: &p.Base, Change: p.Change, Text: string(text)}, &doc)
	stop()
	if open(err) {
		env.note("change %s is kept in %s; run the same command again to resend it", p.Change, s.keep)
		return err
	}
	if removed := os.Remove(s.keep); removed != nil {
		env.note("warning: %v", removed)
	}
	if err != nil {
		return err
	}
	if s.wait {
		if err := waitInForce(ctx, env, doc.Revision); err != nil {
			return err
		}
	}
	return env.print(doc, func(w io.Writer) { fmt.Fprintf(w, "accepted as revision %d (change %s)\n", doc.Revision, doc.Change) })
}

// open reports whether a submission has no answer yet.
func open(err error) bool {
	var problem *ProblemError
	if errors.As(err, &problem) {
		return again(err)
	}
	return err != nil
}

// prepare decides on base and identifier. A kept submission of the same text
// is resent as it was.
func (s *submission) prepare(ctx context.Context, env *Env, text []byte) (*pending, error) {
	kept, err := readPending(s.keep)
	if err != nil {
		return nil, err
	}
	p := &pending{Change: s.change, Sum: textSum(text)}
	same := kept != nil && kept.Sum == p.Sum && (s.change == "" || s.change == kept.Change)
	if same && (s.base == "newest" || s.base == strconv.FormatUint(kept.Base, 10)) {
		env.note("resending change %s", kept.Change)
		return kept, nil
	}
	if kept != nil {
		env.note("warning: change %s, made from revision %d, was never answered; this is another change", kept.Change, kept.Base)
	}
	if p.Base, err = s.baseNumber(ctx, env); err != nil {
		return nil, err
	}
	if p.Change == "" {
		p.Change, err = newChange()
	}
	return p, err
}

func (s *submission) baseNumber(ctx context.Context, env *Env) (uint64, error) {
	if s.base != "newest" {
		n, err := strconv.ParseUint(s.base, 10, 64)
		if err != nil {
			return 0, &InvalidError{Reason: `--base is required: the revision that the text was made from, or "newest"`}
		}
		return n, nil
	}
	doc, err := fetchStatus(ctx, env)
	if err == nil && !doc.Confirmed {
		err = &UnreachableError{Reason: "no majority confirms the newest revision"}
	}
	return doc.Revision.Number, err
}

// waitInForce waits until no entry that reports has a lower revision in force.
func waitInForce(ctx context.Context, env *Env, number uint64) error {
	ctx, cancel := context.WithTimeout(ctx, env.Client.Timeout)
	defer cancel()
	lagging := "the entries"
	report := make(chan string, 1)
	stop := env.progress(ctx, func() string {
		select {
		case lagging = <-report:
		default:
		}
		return fmt.Sprintf("accepted as revision %d, waiting for %s", number, lagging)
	})
	defer stop()
	for {
		doc, err := fetchStatus(ctx, env)
		if err == nil && (doc.Slowest == "" || doc.Lowest >= number) {
			return nil
		}
		select {
		case report <- doc.Slowest:
		default:
		}
		select {
		case <-time.After(waitPoll):
		case <-ctx.Done():
			return &LaggingError{Revision: number, Instance: doc.Slowest}
		}
	}
}
