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

// Timeouts of requests. Elections take up to three seconds.
const (
	writeTimeout = 8 * time.Second
	readTimeout  = 4 * time.Second
)

// Seams are the parts of a control replica that the interface works on.
type Seams struct {
	Propose   func(ctx context.Context, c state.Command) (state.Result, error)
	Fresh     func(ctx context.Context) error
	View      func() *state.View
	Status    func() group.Status
	Instances func() []fleet.Instance
	Targets   func() []Target
	Add       func(ctx context.Context, id uint64, addr netip.AddrPort) error
	Remove    func(ctx context.Context, id uint64) error
	Snapshot  func() ([]byte, error)
	Stopping  func() bool
	Metrics   http.Handler
	Clock     func() time.Time
	Auth      *auth.Auth
	Log       *logrus.Entry
}

// Admin answers the requests.
type Admin struct{ Seams }

// New returns the handler of the interface.
func New(seams Seams) http.Handler {
	a := &Admin{Seams: seams}
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
			r.Get("/text", a.problem(a.text))
			r.Get("/history", a.problem(a.history))
			r.Get("/status", a.problem(a.status))
			r.Get("/targets", a.problem(a.targets))
			r.Get("/drains", a.problem(a.drains))
			r.Get("/replicas", a.problem(a.replicas))
		})
		r.Group(func(r chi.Router) {
			r.Use(a.Auth.Require(auth.Operate))
			r.Post("/submit", a.problem(a.submit))
			r.Put("/drains/{name}", a.problem(a.drain(true)))
			r.Delete("/drains/{name}", a.problem(a.drain(false)))
			r.Put("/replicas/{id}", a.problem(a.addReplica))
			r.Delete("/replicas/{id}", a.problem(a.removeReplica))
			// Snapshots hold the stored answers of callers' requests.
			r.Get("/snapshot", a.problem(a.snapshot))
		})
	})
	return r
}

// problem adapts a handler that returns its failure.
func (a *Admin) problem(h func(w http.ResponseWriter, r *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := h(w, r); err != nil {
			serve.WriteProblem(w, r, problemOf(err))
		}
	}
}

// readyz reports readiness: the replica knows a leader and has heard from it,
// or as leader from a majority, within the time that a link may be silent.
func (a *Admin) readyz(w http.ResponseWriter, r *http.Request) {
	s := a.Status()
	switch {
	case a.Stopping():
		serve.WriteProblem(w, r, &serve.ProblemError{Status: http.StatusServiceUnavailable, Reason: "draining", Detail: "the replica is shutting down"})
	case s.Leader == 0 || s.Staleness > staleAge:
		serve.WriteProblem(w, r, &serve.ProblemError{Status: http.StatusServiceUnavailable, Reason: "noquorum", Detail: "no leader has been heard from for " + s.Staleness.Round(time.Millisecond).String()})
	default:
		serve.WriteJSON(w, http.StatusOK, map[string]bool{"ready": true})
	}
}

const staleAge = 3 * time.Second

// fresh reports whether the local state holds everything accepted before the
// request. Without a majority the answer is given from the local state and
// says so.
func (a *Admin) fresh(r *http.Request) bool {
	ctx, cancel := deadline(r, readTimeout)
	defer cancel()
	return a.Fresh(ctx) == nil
}

// DeadlineHeader carries how many milliseconds the caller waits.
const DeadlineHeader = "Galenalock-Deadline"

// deadline bounds a request by the time that its caller waits, and by the
// given limit.
func deadline(r *http.Request, limit time.Duration) (context.Context, context.CancelFunc) {
	left, err := strconv.ParseUint(r.Header.Get(DeadlineHeader), 10, 31)
	if wanted := time.Duration(left) * time.Millisecond; err == nil && wanted < limit {
		limit = wanted
	}
	return context.WithTimeout(r.Context(), limit)
}

func decode(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var large *http.MaxBytesError
	if err != nil && !errors.As(err, &large) {
		return &serve.ProblemError{Status: http.StatusBadRequest, Reason: "badrequest", Detail: err.Error()}
	}
	return err
}
