package refuse

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Error is a refusal on its way to the caller.
type Error struct {
	Reason Reason        // why
	Run    Run           // whether the request may have run
	Detail string        // the particulars for people, may be empty
	Retry  time.Duration // when a resend is sensible, zero for no advice
	Err    error         // the cause, may be nil
}

// Error returns the reason, the run field and the particulars.
func (e *Error) Error() string {
	s := fmt.Sprintf("refused: %s (run: %s)", e.Reason, e.Run)
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Document is the JSON form of a refusal.
type Document struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Reason  Reason `json:"reason"`
	Run     Run    `json:"run"`
	Request string `json:"request,omitempty"`
}

// Write answers a request with the refusal in err. An error of another type is
// answered as a broken request of unknown outcome.
func Write(w http.ResponseWriter, request string, err error) {
	var refusal *Error
	if !errors.As(err, &refusal) {
		refusal = &Error{Reason: Broken, Run: Unknown, Detail: err.Error()}
	}
	if refusal.Retry > 0 {
		seconds := int((refusal.Retry + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Del("Content-Length")
	w.WriteHeader(refusal.Reason.Status())
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(Document{
		Type:    "about:blank#" + string(refusal.Reason),
		Title:   refusal.Reason.Title(),
		Status:  refusal.Reason.Status(),
		Detail:  refusal.Detail,
		Reason:  refusal.Reason,
		Run:     refusal.Run,
		Request: request,
	})
}
