package proxy

import (
	"errors"
	"io"
	"net/http"
)

// IdentityError is a response that is not the target's response to this
// request.
type IdentityError struct {
	Header string
	Got    string
	Want   string // empty: any value
}

// Error names the header.
func (e *IdentityError) Error() string {
	if e.Want == "" {
		return "the response lacks " + e.Header
	}
	return "the response has " + e.Header + " " + e.Got + ", want " + e.Want
}

// genuine checks that a response belongs to the request and, if it tells of
// success, that a target made it.
func (a *attempt) genuine(response *http.Response) error {
	d := &a.call.proxy.dialect
	if d.Request != "" {
		if want, got := a.call.r.Header.Get(d.Request), response.Header.Get(d.Request); want != "" && got != want {
			return &IdentityError{Header: d.Request, Got: got, Want: want}
		}
	}
	if d.Proof != "" && response.StatusCode < http.StatusMultipleChoices && response.Header.Get(d.Proof) == "" {
		return &IdentityError{Header: d.Proof}
	}
	return nil
}

// fetch reads a short response before any of it goes to the caller, so that one
// that breaks off can still be replaced. Of a longer one it reads the first part.
func (a *attempt) fetch() error {
	limit := a.call.proxy.limits.Whole
	if limit == 0 || a.response.ContentLength > limit || !bodied(a.call.r.Method, a.response.StatusCode) {
		return nil
	}
	head := make([]byte, 0, max(min(a.response.ContentLength, limit), 512))
	for int64(len(head)) < limit {
		if len(head) == cap(head) {
			head = append(head, 0)[:len(head)]
		}
		n, err := a.response.Body.Read(head[len(head):min(int64(cap(head)), limit)])
		head = head[:len(head)+n]
		if err == io.EOF { //nolint:errorlint // only the bare value means a complete body
			a.fetched, a.whole = head, true
			return nil
		}
		if err != nil {
			return err
		}
	}
	a.fetched = head
	return nil
}

// read reads the body: first what was fetched, then what is left.
func (a *attempt) read(p []byte) (int, error) {
	if len(a.fetched) > 0 {
		n := copy(p, a.fetched)
		a.fetched = a.fetched[n:]
		if len(a.fetched) == 0 && a.whole {
			return n, io.EOF
		}
		return n, nil
	}
	if a.whole {
		return 0, io.EOF
	}
	return a.response.Body.Read(p)
}

// faulty reports whether the target answered that it failed.
func (a *attempt) faulty() bool {
	return a.response.StatusCode >= http.StatusInternalServerError
}

// errFaulty is a response with which a target tells that it failed.
var errFaulty = errors.New("the target answered that it failed")
