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

// NewRouter returns a router for an administration interface: each request
// gets an identifier, which the answer carries in X-Request-Id, and is logged;
// unknown paths and panics are answered as problem+json.
func NewRouter(log *logrus.Entry) *chi.Mux {
	r := chi.NewRouter()
	r.Use(identify, logged(log), recovered(log))
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		WriteProblem(w, r, &ProblemError{Status: http.StatusNotFound, Reason: "nopath", Detail: r.URL.Path + " is no path of this interface"})
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		WriteProblem(w, r, &ProblemError{Status: http.StatusMethodNotAllowed, Reason: "nomethod", Detail: r.Method + " is not allowed on " + r.URL.Path})
	})
	return r
}

// maxRequestID bounds the identifiers that callers choose.
const maxRequestID = 128

// identify gives each request an identifier, that of the caller if it sent one.
func identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(middleware.RequestIDHeader)
		if id == "" || len(id) > maxRequestID {
			id = rand.Text()
		}
		w.Header().Set(middleware.RequestIDHeader, id)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), middleware.RequestIDKey, id)))
	})
}

func logged(log *logrus.Entry) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			started := time.Now()
			wrapped := middleware.NewWrapResponseWriter(w, r.ProtoMajor)
			next.ServeHTTP(wrapped, r)
			log.WithFields(logrus.Fields{
				logs.FieldRequest: middleware.GetReqID(r.Context()),
				"method":          r.Method, "path": r.URL.Path,
				"status": wrapped.Status(), "seconds": time.Since(started).Seconds(),
			}).Debug("request")
		})
	}
}

func recovered(log *logrus.Entry) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer func() {
				fault := recover()
				if fault == nil {
					return
				}
				if err, ok := fault.(error); ok && errors.Is(err, http.ErrAbortHandler) {
					panic(fault) // the server's own way to cut a connection
				}
				log.WithFields(logrus.Fields{
					logs.FieldRequest: middleware.GetReqID(r.Context()),
					logs.FieldError:   fmt.Sprint(fault), "stack": string(debug.Stack()),
				}).Error("panic")
				WriteProblem(w, r, &ProblemError{Status: http.StatusInternalServerError, Reason: "failed"})
			}()
			next.ServeHTTP(w, r)
		})
	}
}
