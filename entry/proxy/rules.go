package proxy

import (
	"context"
	"net/http"

	"github.com/galenalock/galenalock/core/pool"
	"github.com/galenalock/galenalock/core/spec"
)

// Rules are the decisions on which the guarantees of the data path depend. Tests
// replace single rules to show which guarantee each one provides.
type Rules struct {
	// Unsent reports whether an error proves that no byte of a request was sent.
	Unsent func(err error) bool
	// AtMostOnce reports whether requests of a kind must not be repeated.
	AtMostOnce func(kind *spec.Kind) bool
	// RetryAfterShed reports whether a request of a kind may be sent to another
	// target after one declared that it did not run it.
	RetryAfterShed func(kind *spec.Kind) bool
	// CallerGone reports whether the caller of a request has left, so that the
	// request is not sent to another target.
	CallerGone func(ctx context.Context) bool
	// AbortTruncated reports whether a truncated response aborts the caller's
	// connection or stream.
	AbortTruncated func(err error) bool
	// UploadError maps the error of a truncated upload to the error with which
	// the body sent to the target ends.
	UploadError func(err error) error
	// ExpectedDigest returns the Content-Digest that a body must match, or "".
	ExpectedDigest func(header http.Header) string
	// Detach reports whether a dispatched request of a kind continues after its
	// caller has left.
	Detach func(kind *spec.Kind) bool
}

func (r Rules) withDefaults() Rules {
	if r.Unsent == nil {
		r.Unsent = pool.Unsent
	}
	if r.AtMostOnce == nil {
		r.AtMostOnce = func(kind *spec.Kind) bool { return !kind.Repeatable }
	}
	if r.RetryAfterShed == nil {
		r.RetryAfterShed = func(kind *spec.Kind) bool { return kind.Repeatable }
	}
	if r.CallerGone == nil {
		r.CallerGone = func(ctx context.Context) bool { return ctx.Err() != nil }
	}
	if r.AbortTruncated == nil {
		r.AbortTruncated = func(error) bool { return true }
	}
	if r.UploadError == nil {
		r.UploadError = func(err error) error { return err }
	}
	if r.ExpectedDigest == nil {
		r.ExpectedDigest = func(header http.Header) string { return header.Get(headerDigest) }
	}
	if r.Detach == nil {
		r.Detach = func(kind *spec.Kind) bool { return !kind.Repeatable }
	}
	return r
}
