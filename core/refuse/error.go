package refuse

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Error is the refusal of a request.
type Error struct {
	Reason     Reason        // why the request is refused
	Run        Run           // whether the request may have run
	Detail     string        // explanation for people, may be empty
	RetryAfter time.Duration // time after which a resend is sensible, sent as Retry-After; zero: not sent
	Err        error         // the cause, may be nil
}

// Error returns the reason, the run field, the detail and the cause.
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

// Style adapts the response for a refusal.
type Style struct {
	FractionalRetryAfter bool // send Retry-After with milliseconds, although RFC 9110 allows whole seconds only
	StatusOverride       int  // replaces the status of the reason, 0: keep it
	SetLength            bool // sets Content-Length, so that the response is complete once it is flushed
}

// Write responds with the refusal that err wraps. Any other error is sent with
// the reason Broken and an unknown outcome.
func Write(w http.ResponseWriter, request string, err error) { WriteStyled(w, request, err, Style{}) }

// WriteStyled is like Write with a style.
func WriteStyled(w http.ResponseWriter, request string, err error, style Style) {
	var refusal *Error
	if !errors.As(err, &refusal) {
		refusal = &Error{Reason: Broken, Run: Unknown, Detail: err.Error()}
	}
	status := refusal.Reason.Status()
	if style.StatusOverride != 0 {
		status = style.StatusOverride
	}
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", style.retryAfter(refusal.RetryAfter))
	}
	var body bytes.Buffer
	// A document of strings and numbers can always be encoded.
	_ = json.NewEncoder(&body).Encode(Document{
		Type:    "about:blank#" + string(refusal.Reason),
		Title:   refusal.Reason.Title(),
		Status:  status,
		Detail:  refusal.Detail,
		Reason:  refusal.Reason,
		Run:     refusal.Run,
		Request: request,
	})
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Del("Content-Length")
	if style.SetLength {
		w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	}
	w.WriteHeader(status)
	// An error means that the caller has disconnected; it cannot be reported.
	_, _ = w.Write(body.Bytes())
}

// retryAfter formats a duration for the Retry-After header, rounded up.
func (s Style) retryAfter(d time.Duration) string {
	if s.FractionalRetryAfter {
		return strconv.FormatFloat((d + time.Millisecond - 1).Truncate(time.Millisecond).Seconds(), 'f', -1, 64)
	}
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}
