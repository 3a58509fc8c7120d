package serve

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5/middleware"
)

// ProblemError is an error with an HTTP status, answered as problem+json.
type ProblemError struct {
	Status int
	Reason string         // one word
	Title  string         // empty: the text of the status
	Detail string         // the particulars for people
	Retry  time.Duration  // when a resend is sensible, zero for no advice
	Fields map[string]any // further members of the document
}

// Error returns the reason and the particulars.
func (p *ProblemError) Error() string {
	if p.Detail == "" {
		return p.Reason
	}
	return fmt.Sprintf("%s: %s", p.Reason, p.Detail)
}

func (p *ProblemError) document(request string) map[string]any {
	title := p.Title
	if title == "" {
		title = http.StatusText(p.Status)
	}
	doc := maps.Clone(p.Fields)
	if doc == nil {
		doc = map[string]any{}
	}
	doc["type"] = "about:blank#" + p.Reason
	doc["title"] = title
	doc["status"] = p.Status
	doc["reason"] = p.Reason
	if p.Detail != "" {
		doc["detail"] = p.Detail
	}
	if request != "" {
		doc["request"] = request
	}
	return doc
}

// WriteProblem answers a request with the ProblemError in err. A body over the
// limit is answered with status 413, any other error with status 500.
func WriteProblem(w http.ResponseWriter, r *http.Request, err error) {
	var problem *ProblemError
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &problem):
	case errors.As(err, &large):
		problem = &ProblemError{
			Status: http.StatusRequestEntityTooLarge, Reason: "toolarge",
			Detail: fmt.Sprintf("the body exceeds the limit of %d bytes", large.Limit),
		}
	default:
		problem = &ProblemError{Status: http.StatusInternalServerError, Reason: "failed", Detail: err.Error()}
	}
	if problem.Retry > 0 {
		seconds := int((problem.Retry + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(problem.Status)
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(problem.document(middleware.GetReqID(r.Context())))
}

// WriteJSON answers a request with a document.
func WriteJSON(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// The caller may be gone; there is nobody left to tell.
	_ = encoder.Encode(document)
}
