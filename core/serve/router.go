package serve

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/core/logs"
)

// NewRouter returns a router for an administration interface. Each request is
// logged and gets an identifier, which the response returns in X-Request-Id.
// Unknown paths, methods that are not allowed, and panics are answered with
// problem+json.
func NewRouter(log *logrus.Entry) *chi.Mux {
	r := chi.NewRouter()
	r.Use(withRequestID, logRequests(log), recoverPanics(log))
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		WriteProblem(w, r, &ProblemError{Status: http.StatusNotFound, Reason: "nopath", Detail: r.URL.Path + " is no path of this interface"})
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		WriteProblem(w, r, &ProblemError{Status: http.StatusMethodNotAllowed, Reason: "nomethod", Detail: r.Method + " is not allowed on " + r.URL.Path})
	})
	return r
}

// maxRequestID is the maximum length in bytes of a request identifier that a
// caller sends.
const maxRequestID = 128

// withRequestID assigns an identifier to each request. It takes the one that the
// caller sent, unless it is empty or too long.
func withRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(middleware.RequestIDHeader)
		if id == "" || len(id) > maxRequestID {
			id = rand.Text()
		}
		w.Header().Set(middleware.RequestIDHeader, id)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), middleware.RequestIDKey, id)))
	})
}

func logRequests(log *logrus.Entry) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			started := time.Now()
			wrapped := middleware.NewWrapResponseWriter(w, r.ProtoMajor)
			next.ServeHTTP(wrapped, r)
			log.WithFields(logrus.Fields{
				logs.FieldRequest: middleware.GetReqID(r.Context()),
				"method":          r.Method, "path": r.URL.Path,
				"status": wrapped.Status(), "seconds": time.Since(started).Seconds(),
			}).Debug("request served")
		})
	}
}

func recoverPanics(log *logrus.Entry) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer func() {
				recovered := recover()
				if recovered == nil {
					return
				}
				if err, ok := recovered.(error); ok && errors.Is(err, http.ErrAbortHandler) {
					panic(recovered) // net/http handles this one by aborting the connection
				}
				log.WithFields(logrus.Fields{
					logs.FieldRequest: middleware.GetReqID(r.Context()),
					logs.FieldError:   fmt.Sprint(recovered), "stack": string(debug.Stack()),
				}).Error("request handler panicked")
				WriteProblem(w, r, &ProblemError{Status: http.StatusInternalServerError, Reason: "failed"})
			}()
			next.ServeHTTP(w, r)
		})
	}
}
