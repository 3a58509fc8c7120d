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
	var s Submission
	if err := decode(r, &s); err != nil {
		return err
	}
	if s.Base == nil || s.Change == "" {
		return &serve.ProblemError{Status: http.StatusBadRequest, Reason: "badrequest", Detail: "base, change and text are required"}
	}
	if _, err := spec.Parse([]byte(s.Text)); err != nil {
		return textProblem(err)
	}
	ctx, cancel := deadline(r, writeTimeout)
	defer cancel()
	result, err := a.Propose(ctx, state.Command{Submit: &state.Submit{Base: *s.Base, Change: s.Change, Text: []byte(s.Text)}})
	if err != nil {
		return err
	}
	got := result.Submitted
	switch got.Outcome {
	case state.Accepted:
		serve.WriteJSON(w, http.StatusOK, Accepted{
			Outcome: "accepted", Revision: got.Revision, Change: got.Change, Newest: got.Newest, Time: got.Time,
		})
		return nil
	case state.Conflict:
		return &serve.ProblemError{
			Status: http.StatusConflict, Reason: "conflict", Title: "Another change was made from the same base",
			Detail:     conflictDetail(*s.Base, got),
			Extensions: map[string]any{"base": *s.Base, "revision": got.Revision, "change": got.Change, "newest": got.Newest},
		}
	default:
		return &serve.ProblemError{
			Status: http.StatusUnprocessableEntity, Reason: "reused", Title: "The change identifier was used for another change",
			Detail:     fmt.Sprintf("change %q was submitted before with another base or text; its answer named revision %d", s.Change, got.Revision),
			Extensions: map[string]any{"change": s.Change, "revision": got.Revision},
		}
	}
}

func conflictDetail(base uint64, got *state.Submitted) string {
	if base > got.Newest {
		return fmt.Sprintf("revision %d does not exist, the newest one is %d", base, got.Newest)
	}
	if got.Change == "" {
		return fmt.Sprintf("revision %d was made from revision %d", got.Revision, base)
	}
	return fmt.Sprintf("revision %d was made from revision %d by change %q", got.Revision, base, got.Change)
}

func textProblem(err error) error {
	var faults spec.Errors
	if !errors.As(err, &faults) {
		return err
	}
	list := make([]Fault, len(faults))
	for i, f := range faults {
		list[i] = Fault{Line: f.Line, Key: f.Key, Reason: f.Reason}
	}
	return &serve.ProblemError{
		Status: http.StatusBadRequest, Reason: "badtext", Title: "The service text is invalid",
		Detail: faults[0].Error(), Extensions: map[string]any{"errors": list},
	}
}

func (a *Admin) text(w http.ResponseWriter, r *http.Request) error {
	confirmed := a.fresh(r)
	v := a.View()
	wanted := v.Newest().Number
	if s := r.URL.Query().Get("revision"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return &serve.ProblemError{Status: http.StatusBadRequest, Reason: "badrequest", Detail: fmt.Sprintf("%q is no revision", s)}
		}
		wanted = n
	}
	for _, h := range v.History() {
		if h.Number != wanted {
			continue
		}
		data, ok := v.Text(wanted)
		if !ok {
			break
		}
		doc := revision(h)
		text := string(data)
		doc.Text = &text
		serve.WriteJSON(w, http.StatusOK, Text{Confirmed: confirmed, Revision: doc})
		return nil
	}
	detail := fmt.Sprintf("revision %d does not exist or is no longer kept", wanted)
	if v.Newest().Number == 0 {
		detail = "no text has been submitted yet"
	}
	return &serve.ProblemError{Status: http.StatusNotFound, Reason: "norevision", Detail: detail, Extensions: map[string]any{"confirmed": confirmed}}
}

func (a *Admin) history(w http.ResponseWriter, r *http.Request) error {
	doc := History{Confirmed: a.fresh(r), Revisions: []Revision{}}
	for _, h := range a.View().History() {
		doc.Revisions = append(doc.Revisions, revision(h))
	}
	serve.WriteJSON(w, http.StatusOK, doc)
	return nil
}
