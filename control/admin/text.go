package admin

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/galenalock/galenalock/core/serve"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/state"
)

func (a *Admin) submit(w http.ResponseWriter, r *http.Request) error {
	var submission Submission
	if err := decode(r, &submission); err != nil {
		return err
	}
	if submission.Base == nil || submission.Change == "" {
		return &serve.ProblemError{Status: http.StatusBadRequest, Reason: "badrequest", Detail: "base, change and text are required"}
	}
	if _, err := spec.Parse([]byte(submission.Text)); err != nil {
		return textProblem(err)
	}
	ctx, cancel := withDeadline(r, writeTimeout)
	defer cancel()
	result, err := a.Propose(ctx, state.Command{Submit: &state.Submit{Base: *submission.Base, Change: submission.Change, Text: []byte(submission.Text)}})
	if err != nil {
		return err
	}
	submitted := result.Submitted
	switch submitted.Outcome {
	case state.Accepted:
		serve.WriteJSON(w, http.StatusOK, Accepted{
			Outcome: "accepted", Revision: submitted.Revision, Change: submitted.Change, Newest: submitted.Newest, Time: submitted.Time,
		})
		return nil
	case state.Conflict:
		return &serve.ProblemError{
			Status: http.StatusConflict, Reason: "conflict", Title: "Another change was made from the same base",
			Detail:     conflictDetail(*submission.Base, submitted),
			Extensions: map[string]any{"base": *submission.Base, "revision": submitted.Revision, "change": submitted.Change, "newest": submitted.Newest},
		}
	default:
		return &serve.ProblemError{
			Status: http.StatusUnprocessableEntity, Reason: "reused", Title: "The change identifier was used for another change",
			Detail:     fmt.Sprintf("change %q was submitted before with another base or text; its answer named revision %d", submission.Change, submitted.Revision),
			Extensions: map[string]any{"change": submission.Change, "revision": submitted.Revision},
		}
	}
}

func conflictDetail(base uint64, submitted *state.Submitted) string {
	if base > submitted.Newest {
		return fmt.Sprintf("revision %d does not exist, the newest one is %d", base, submitted.Newest)
	}
	if submitted.Change == "" {
		return fmt.Sprintf("revision %d was made from revision %d", submitted.Revision, base)
	}
	return fmt.Sprintf("revision %d was made from revision %d by change %q", submitted.Revision, base, submitted.Change)
}

func textProblem(err error) error {
	var textErrors spec.Errors
	if !errors.As(err, &textErrors) {
		return err
	}
	docs := make([]TextError, len(textErrors))
	for i, f := range textErrors {
		docs[i] = TextError{Line: f.Line, Key: f.Key, Reason: f.Reason}
	}
	return &serve.ProblemError{
		Status: http.StatusBadRequest, Reason: "badtext", Title: "The service text is invalid",
		Detail: textErrors[0].Error(), Extensions: map[string]any{"errors": docs},
	}
}

func (a *Admin) text(w http.ResponseWriter, r *http.Request) error {
	confirmed := a.catchUp(r)
	v := a.View()
	number := v.Newest().Number
	if s := r.URL.Query().Get("revision"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return &serve.ProblemError{Status: http.StatusBadRequest, Reason: "badrequest", Detail: fmt.Sprintf("%q is no revision", s)}
		}
		number = n
	}
	for _, h := range v.History() {
		if h.Number != number {
			continue
		}
		data, ok := v.Text(number)
		if !ok {
			break
		}
		doc := revision(h)
		text := string(spec.Redact(data))
		doc.Text = &text
		serve.WriteJSON(w, http.StatusOK, Text{Confirmed: confirmed, Revision: doc})
		return nil
	}
	detail := fmt.Sprintf("revision %d does not exist or is no longer kept", number)
	if v.Newest().Number == 0 {
		detail = "no text has been submitted yet"
	}
	return &serve.ProblemError{Status: http.StatusNotFound, Reason: "norevision", Detail: detail, Extensions: map[string]any{"confirmed": confirmed}}
}

func (a *Admin) history(w http.ResponseWriter, r *http.Request) error {
	doc := History{Confirmed: a.catchUp(r), Revisions: []Revision{}}
	for _, h := range a.View().History() {
		doc.Revisions = append(doc.Revisions, revision(h))
	}
	serve.WriteJSON(w, http.StatusOK, doc)
	return nil
}
