package agent

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/galenalock/galenalock/core/serve"
	"github.com/galenalock/galenalock/core/wire"
)

// AnnouncePath takes the announcements of targets.
const AnnouncePath = "/v1/announce"

// Announced answers an announcement.
type Announced struct {
	Instance string `json:"instance"`
	Accepted bool   `json:"accepted"`
}

// Announce takes an announcement of a target: wire.Renew as JSON.
func (a *Agent) Announce(w http.ResponseWriter, r *http.Request) {
	var renew wire.Renew
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&renew); err != nil {
		serve.WriteProblem(w, r, &serve.ProblemError{
			Status: http.StatusBadRequest, Reason: "badrequest", Detail: err.Error(),
		})
		return
	}
	var refused error
	applied := a.await(r.Context(), func(now time.Time) {
		actions, err := a.roster.Announce(now, renew)
		refused = err
		a.performRoster(now, actions)
	})
	switch {
	case !applied:
		serve.WriteProblem(w, r, &serve.ProblemError{
			Status: http.StatusServiceUnavailable, Reason: "draining", Detail: "the instance is stopping",
		})
	case refused != nil:
		serve.WriteProblem(w, r, problem(refused))
	default:
		serve.WriteJSON(w, http.StatusOK, Announced{Instance: a.settings.Instance, Accepted: true})
	}
}

func problem(err error) error {
	var known *serve.ProblemError
	if errors.As(err, &known) {
		return err
	}
	return &serve.ProblemError{Status: http.StatusBadRequest, Reason: "badrequest", Detail: err.Error()}
}
