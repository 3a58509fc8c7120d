package proxy

import (
	"context"
	"net/http"

	"github.com/galenalock/galenalock/core/pool"
	"github.com/galenalock/galenalock/core/spec"
)

// Rules are the decisions behind the promises of the data path. Tests replace
// single ones to show which promise each of them keeps.
type Rules struct {
	// Unsent reports whether an error proves that no byte of a request left.
	Unsent func(err error) bool
	// Once reports whether requests of a kind must not be repeated.
	Once func(kind *spec.Kind) bool
	// Reshed reports whether a request of a kind may go to a further target
	// after one declared that it did not run it.
	Reshed func(kind *spec.Kind) bool
	// Gone reports whether the caller of a request has left, so that no further
	// target gets it.
	Gone func(ctx context.Context) bool
	// Cut reports whether a response that broke off aborts the caller's
	// connection.
	Cut func(err error) bool
	// Short returns what an upload that broke off with an error ends with
	// towards the target.
	Short func(err error) error
	// Digest returns the Content-Digest that a body must match, or "".
	Digest func(header http.Header) string
	// Detach reports whether a dispatched request of a kind goes on without
	// its caller.
	Detach func(kind *spec.Kind) bool
}

func (r Rules) withDefaults() Rules {
	if r.Unsent == nil {
		r.Unsent = pool.Unsent
	}
	if r.Once == nil {
		r.Once = func(kind *spec.Kind) bool { return !kind.Repeat }
	}
	if r.Reshed == nil {
		r.Reshed = func(kind *spec.Kind) bool { return kind.Repeat }
	}
	if r.Gone == nil {
		r.Gone = func(ctx context.Context) bool { return ctx.Err() != nil }
	}
	if r.Cut == nil {
		r.Cut = func(error) bool { return true }
	}
	if r.Short == nil {
		r.Short = func(err error) error { return err }
	}
	if r.Digest == nil {
		r.Digest = func(header http.Header) string { return header.Get(headerDigest) }
	}
	if r.Detach == nil {
		r.Detach = func(kind *spec.Kind) bool { return !kind.Repeat }
	}
	return r
}
