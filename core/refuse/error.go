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

// Style is how a refusal is written.
type Style struct {
	Fractions bool // Retry-After has fractions of a second, against RFC 9110
	Status    int  // in place of the status of the reason, 0: none
}

// Write answers a request with the refusal in err. An error of another type is
// answered as a broken request of unknown outcome.
func Write(w http.ResponseWriter, request string, err error) { WriteAs(w, request, err, Style{}) }

// WriteAs is Write in another style.
func WriteAs(w http.ResponseWriter, request string, err error, style Style) {
	var refusal *Error
	if !errors.As(err, &refusal) {
		refusal = &Error{Reason: Broken, Run: Unknown, Detail: err.Error()}
	}
	status := refusal.Reason.Status()
	if style.Status != 0 {
		status = style.Status
	}
	if refusal.Retry > 0 {
		w.Header().Set("Retry-After", style.seconds(refusal.Retry))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Del("Content-Length")
	w.WriteHeader(status)
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(Document{
		Type:    "about:blank#" + string(refusal.Reason),
		Title:   refusal.Reason.Title(),
		Status:  status,
		Detail:  refusal.Detail,
		Reason:  refusal.Reason,
		Run:     refusal.Run,
		Request: request,
	})
}

// seconds writes a time for Retry-After, rounded up.
func (s Style) seconds(d time.Duration) string {
	if s.Fractions {
		return strconv.FormatFloat((d + time.Millisecond - 1).Truncate(time.Millisecond).Seconds(), 'f', -1, 64)
	}
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}
