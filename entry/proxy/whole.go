package proxy

import (
	"errors"
	"io"
	"net/http"

	"github.com/galenalock/galenalock/core/budget"
	"github.com/galenalock/galenalock/core/pool"
)

// IdentityError means that a response does not belong to the request or was not
// made by a target.
type IdentityError struct {
	Header string
	Got    string
	Want   string // empty if any value is accepted
}

// Error returns the header and the values that differ.
func (e *IdentityError) Error() string {
	if e.Want == "" {
		return "the response lacks " + e.Header
	}
	return "the response has " + e.Header + " " + e.Got + ", want " + e.Want
}

// checkDeclaration checks that a response which declares that a request was not
// run belongs to this request. On a connection that carried an earlier request it
// may be a late copy of the response to that one. In a dialect with identifiers, a
// declaration without one counts on a new connection only.
func (a *attempt) checkDeclaration(response *pool.Response) error {
	d := &a.call.proxy.dialect
	if d.Request == "" || !response.Reused && response.Header.Get(d.Request) == "" {
		return nil // a connection that carried such a declaration is not reused
	}
	return a.checkRequest(response.Response)
}

// checkRequest checks that a response bears the identifier of the request.
func (a *attempt) checkRequest(response *http.Response) error {
	d := &a.call.proxy.dialect
	if d.Request == "" {
		return nil
	}
	if want, got := a.call.r.Header.Get(d.Request), response.Header.Get(d.Request); want != "" && got != want {
		return &IdentityError{Header: d.Request, Got: got, Want: want}
	}
	return nil
}

// checkIdentity checks that a response belongs to the request and, if its status
// is below 300, that a target made it.
func (a *attempt) checkIdentity(response *http.Response) error {
	if err := a.checkRequest(response); err != nil {
		return err
	}
	d := &a.call.proxy.dialect
	if d.Proof != "" && response.StatusCode < http.StatusMultipleChoices && response.Header.Get(d.Proof) == "" {
		return &IdentityError{Header: d.Proof}
	}
	return nil
}

// minPrefetch is the size of the first buffer of a response with unknown length.
const minPrefetch = 512

// prefetch reads a short response completely before any of it is forwarded, so
// that a truncated one can still be retried. Of a longer one with unknown length
// it reads the first part, and of any one only as much as there is memory for.
func (a *attempt) prefetch() error {
	limit := a.call.proxy.limits.WholeResponse
	if limit == 0 || a.response.ContentLength > limit || !allowsBody(a.call.r.Method, a.response.StatusCode) {
		return nil
	}
	charge := budget.FromContext(a.call.r.Context())
	size := min(max(a.response.ContentLength, minPrefetch), limit)
	if !charge.TryAdd(size) {
		return nil
	}
	prefix := make([]byte, 0, size)
	for int64(len(prefix)) < limit {
		if len(prefix) == cap(prefix) {
			if size = min(2*size, limit); !charge.TryAdd(size) {
				break
			}
			prefix = append(make([]byte, 0, size), prefix...)
		}
		n, err := a.response.Body.Read(prefix[len(prefix):cap(prefix)])
		prefix = prefix[:len(prefix)+n]
		if err == io.EOF { //nolint:errorlint // only the bare value means a complete body
			a.prefetched, a.prefetchComplete = prefix, true
			return nil
		}
		if err != nil {
			return err
		}
	}
	a.prefetched = prefix
	return nil
}

// read reads the body: first the prefetched part, then the rest.
func (a *attempt) read(p []byte) (int, error) {
	if len(a.prefetched) > 0 {
		n := copy(p, a.prefetched)
		a.prefetched = a.prefetched[n:]
		if len(a.prefetched) == 0 && a.prefetchComplete {
			return n, io.EOF
		}
		return n, nil
	}
	if a.prefetchComplete {
		return 0, io.EOF
	}
	return a.response.Body.Read(p)
}

// faulty reports whether the response has a 5xx status.
func (a *attempt) faulty() bool {
	return a.response.StatusCode >= http.StatusInternalServerError
}

// errServerError is the error of an attempt whose response has a 5xx status.
var errServerError = errors.New("the target answered with a 5xx status")
