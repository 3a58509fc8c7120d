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

// ProblemError is an error with an HTTP status that is sent as problem+json.
type ProblemError struct {
	Status     int
	Reason     string         // machine-readable, one word
	Title      string         // empty: the standard text of the status
	Detail     string         // explanation for people, may be empty
	RetryAfter time.Duration  // time after which a resend is sensible, sent as Retry-After; zero: not sent
	Extensions map[string]any // extension members of the document
}

// Error returns the reason and the detail.
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
	doc := maps.Clone(p.Extensions)
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

// WriteProblem responds with the ProblemError that err wraps. An
// *http.MaxBytesError is sent with status 413, any other error with status 500.
func WriteProblem(w http.ResponseWriter, r *http.Request, err error) {
	var problem *ProblemError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &problem):
	case errors.As(err, &tooLarge):
		problem = &ProblemError{
			Status: http.StatusRequestEntityTooLarge, Reason: "toolarge",
			Detail: fmt.Sprintf("the body exceeds the limit of %d bytes", tooLarge.Limit),
		}
	default:
		problem = &ProblemError{Status: http.StatusInternalServerError, Reason: "failed", Detail: err.Error()}
	}
	if problem.RetryAfter > 0 {
		seconds := int((problem.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(problem.Status)
	// An error means that the caller has disconnected; it cannot be reported.
	_ = json.NewEncoder(w).Encode(problem.document(middleware.GetReqID(r.Context())))
}

// WriteJSON responds with a document as indented JSON.
func WriteJSON(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// An error means that the caller has disconnected; it cannot be reported.
	_ = encoder.Encode(document)
}
