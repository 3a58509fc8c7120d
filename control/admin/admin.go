package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/control/fleet"
	"github.com/galenalock/galenalock/core/auth"
	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/serve"
	"github.com/galenalock/galenalock/core/state"
)

// Request timeouts. Both exceed the three seconds that an election can take, so
// that a request can outlast a change of leader.
const (
	writeTimeout = 8 * time.Second
	readTimeout  = 4 * time.Second
)

// Dependencies are the parts of a control replica that the API reads and
// changes. Metrics may be nil.
type Dependencies struct {
	Propose       func(ctx context.Context, c state.Command) (state.Result, error)
	CatchUp       func(ctx context.Context) error
	View          func() *state.View
	Status        func() group.Status
	Instances     func() []fleet.Instance
	Targets       func() []Target
	AddReplica    func(ctx context.Context, id uint64, addr netip.AddrPort) error
	RemoveReplica func(ctx context.Context, id uint64) error
	Snapshot      func() ([]byte, error)
	Stopping      func() bool
	Metrics       http.Handler
	Clock         func() time.Time
	Auth          *auth.Auth
	Log           *logrus.Entry
}

// Admin serves the administration API.
type Admin struct{ Dependencies }

// New returns the HTTP handler of the administration API.
func New(deps Dependencies) http.Handler {
	a := &Admin{Dependencies: deps}
	r := serve.NewRouter(a.Log)
	r.Get("/livez", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, map[string]bool{"live": true})
	})
	r.Get("/readyz", a.readyz)
	if a.Metrics != nil {
		r.Method(http.MethodGet, "/metrics", a.Metrics)
	}
	r.Route("/v1", func(r chi.Router) {
		r.Group(func(r chi.Router) {
			r.Use(a.Auth.Require(auth.Read))
			r.Get("/text", a.handle(a.text))
			r.Get("/history", a.handle(a.history))
			r.Get("/status", a.handle(a.status))
			r.Get("/targets", a.handle(a.targets))
			r.Get("/drains", a.handle(a.drains))
			r.Get("/replicas", a.handle(a.replicas))
		})
		r.Group(func(r chi.Router) {
			r.Use(a.Auth.Require(auth.Operate))
			r.Post("/submit", a.handle(a.submit))
			r.Put("/drains/{name}", a.handle(a.setDrain(true)))
			r.Delete("/drains/{name}", a.handle(a.setDrain(false)))
			r.Put("/replicas/{id}", a.handle(a.addReplica))
			r.Delete("/replicas/{id}", a.handle(a.removeReplica))
			// Snapshots contain the stored responses to callers' requests, so
			// reading one needs more than the read role.
			r.Get("/snapshot", a.handle(a.snapshot))
		})
	})
	return r
}

// handle adapts a handler that returns an error, which is written as a problem
// response.
func (a *Admin) handle(f func(w http.ResponseWriter, r *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := f(w, r); err != nil {
			serve.WriteProblem(w, r, toProblem(err))
		}
	}
}

// readyz reports the replica as ready while it knows a leader and has heard
// from it, or as leader from a majority, within maxLeaderSilence.
func (a *Admin) readyz(w http.ResponseWriter, r *http.Request) {
	s := a.Status()
	switch {
	case a.Stopping():
		serve.WriteProblem(w, r, &serve.ProblemError{Status: http.StatusServiceUnavailable, Reason: "draining", Detail: "the replica is shutting down"})
	case s.Leader == 0 || s.Staleness > maxLeaderSilence:
		serve.WriteProblem(w, r, &serve.ProblemError{Status: http.StatusServiceUnavailable, Reason: "noquorum", Detail: "no leader has been heard from for " + s.Staleness.Round(time.Millisecond).String()})
	default:
		serve.WriteJSON(w, http.StatusOK, map[string]bool{"ready": true})
	}
}

// maxLeaderSilence is also how long a link may be silent before it is closed.
const maxLeaderSilence = 3 * time.Second

// catchUp waits until the local state contains every revision accepted before
// the request, and reports whether a majority confirmed it in time. Otherwise
// the response is made from the local state and marked as not confirmed.
func (a *Admin) catchUp(r *http.Request) bool {
	ctx, cancel := withDeadline(r, readTimeout)
	defer cancel()
	return a.CatchUp(ctx) == nil
}

// DeadlineHeader is the request header with the time, in milliseconds, that the
// caller waits for a response.
const DeadlineHeader = "Galenalock-Deadline"

// withDeadline returns the context of a request with a timeout: the lower of
// limit and the time that the caller waits.
func withDeadline(r *http.Request, limit time.Duration) (context.Context, context.CancelFunc) {
	millis, err := strconv.ParseUint(r.Header.Get(DeadlineHeader), 10, 31)
	if requested := time.Duration(millis) * time.Millisecond; err == nil && requested < limit {
		limit = requested
	}
	return context.WithTimeout(r.Context(), limit)
}

func decode(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var tooLarge *http.MaxBytesError
	if err != nil && !errors.As(err, &tooLarge) {
		return &serve.ProblemError{Status: http.StatusBadRequest, Reason: "badrequest", Detail: err.Error()}
	}
	return err
}
