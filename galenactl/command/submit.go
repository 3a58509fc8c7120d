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

const pollInterval = 250 * time.Millisecond

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
			sub.String(&s.pendingFile, "", "keep", "file that keeps the identifier, by default FILE.change")
			sub.Bool(&s.wait, "w", "wait", "wait until the revision is in force at every entry that reports")
			return s.run
		},
	})
}

type submission struct {
	file, base, change, pendingFile string
	wait                            bool
}

func (s *submission) run(ctx context.Context, env *Env) error {
	text, _, err := readText(s.file)
	if err != nil {
		return err
	}
	if s.pendingFile == "" {
		s.pendingFile = s.file + ".change"
	}
	p, err := s.prepare(ctx, env, text)
	if err != nil {
		return err
	}
	if err := p.save(s.pendingFile); err != nil {
		return err
	}
	var doc admin.Accepted
	stop := env.startProgress(ctx, func() string { return "submitting change " + p.Change })
	err = env.Client.Do(ctx, http.MethodPost, "/v1/submit", admin.Submission{Base: &p.Base, Change: p.Change, Text: string(text)}, &doc)
	stop()
	if unanswered(err) {
		env.messagef("change %s is kept in %s; run the same command again to resend it", p.Change, s.pendingFile)
		return err
	}
	if removeErr := os.Remove(s.pendingFile); removeErr != nil {
		env.messagef("warning: %v", removeErr)
	}
	if err != nil {
		return err
	}
	if s.wait {
		if err := waitUntilInForce(ctx, env, doc.Revision); err != nil {
			return err
		}
	}
	return env.printResult(doc, func(w io.Writer) { fmt.Fprintf(w, "accepted as revision %d (change %s)\n", doc.Revision, doc.Change) })
}

// unanswered reports whether err leaves a submission without a final response,
// so that it should be resent.
func unanswered(err error) bool {
	var problem *ProblemError
	if errors.As(err, &problem) {
		return retryable(err)
	}
	return err != nil
}

// prepare determines the base revision and change identifier. A pending
// submission of the same text is resent unchanged.
func (s *submission) prepare(ctx context.Context, env *Env, text []byte) (*pendingSubmission, error) {
	kept, err := readPending(s.pendingFile)
	if err != nil {
		return nil, err
	}
	p := &pendingSubmission{Change: s.change, Checksum: textChecksum(text)}
	resend := kept != nil && kept.Checksum == p.Checksum && (s.change == "" || s.change == kept.Change)
	if resend && (s.base == "newest" || s.base == strconv.FormatUint(kept.Base, 10)) {
		env.messagef("resending change %s", kept.Change)
		return kept, nil
	}
	if kept != nil {
		env.messagef("warning: change %s, made from revision %d, was never answered; this is another change", kept.Change, kept.Base)
	}
	if p.Base, err = s.resolveBase(ctx, env); err != nil {
		return nil, err
	}
	if p.Change == "" {
		p.Change, err = newChangeID()
	}
	return p, err
}

func (s *submission) resolveBase(ctx context.Context, env *Env) (uint64, error) {
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

// waitUntilInForce waits until every entry that reports has the revision, or a
// later one, in force.
func waitUntilInForce(ctx context.Context, env *Env, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, env.Client.Timeout)
	defer cancel()
	lagging := "the entries"
	slowest := make(chan string, 1)
	stop := env.startProgress(ctx, func() string {
		select {
		case lagging = <-slowest:
		default:
		}
		return fmt.Sprintf("accepted as revision %d, waiting for %s", revision, lagging)
	})
	defer stop()
	for {
		doc, err := fetchStatus(ctx, env)
		if err == nil && (doc.Slowest == "" || doc.Lowest >= revision) {
			return nil
		}
		select {
		case slowest <- doc.Slowest:
		default:
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return &LaggingError{Revision: revision, Instance: doc.Slowest}
		}
	}
}
