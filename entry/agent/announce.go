package agent

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/galenalock/galenalock/core/serve"
	"github.com/galenalock/galenalock/core/wire"
)

// AnnouncePath is the HTTP path for announcements of targets.
const AnnouncePath = "/v1/announce"

// maxAnnouncement is the size of an announcement in bytes. Most have a few hundred.
const maxAnnouncement = 16 << 10

// AnnounceResponse is the response to an accepted announcement.
type AnnounceResponse struct {
	Instance string `json:"instance"`
	Accepted bool   `json:"accepted"`
}

// Announce handles an announcement of a target, a wire.Renew encoded as JSON.
func (a *Agent) Announce(w http.ResponseWriter, r *http.Request) {
	var renew wire.Renew
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&renew)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		serve.WriteProblem(w, r, err)
		return
	}
	if err != nil {
		serve.WriteProblem(w, r, &serve.ProblemError{
			Status: http.StatusBadRequest, Reason: "badrequest", Detail: err.Error(),
		})
		return
	}
	var refusal error
	applied := a.applyAndWait(r.Context(), func(now time.Time) {
		actions, err := a.roster.Announce(now, renew)
		refusal = err
		a.performRoster(now, actions)
	})
	switch {
	case !applied:
		serve.WriteProblem(w, r, &serve.ProblemError{
			Status: http.StatusServiceUnavailable, Reason: "draining", Detail: "the instance is stopping",
		})
	case refusal != nil:
		serve.WriteProblem(w, r, toProblem(refusal))
	default:
		serve.WriteJSON(w, http.StatusOK, AnnounceResponse{Instance: a.settings.Instance, Accepted: true})
	}
}

func toProblem(err error) error {
	var known *serve.ProblemError
	if errors.As(err, &known) {
		return err
	}
	return &serve.ProblemError{Status: http.StatusBadRequest, Reason: "badrequest", Detail: err.Error()}
}
