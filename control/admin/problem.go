package admin

import (
	"errors"
	"net/http"
	"time"

	"github.com/galenalock/galenalock/control/relay"
	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/serve"
)

// problemOf turns the failures of the replica into answers. A command that may
// have been applied is never called failed.
func problemOf(err error) error {
	var unknown *relay.UnknownError
	var maybe *group.UnknownError
	var quorum *relay.NoQuorumError
	var malformed *relay.MalformedError
	var size *relay.SizeError
	var leader *group.NotLeaderError
	var change *group.ChangeError
	var closed *group.ShutdownError
	var stopped *relay.StoppedError
	switch {
	case errors.As(err, &unknown), errors.As(err, &maybe):
		return &serve.ProblemError{
			Status: http.StatusGatewayTimeout, Reason: "unknown", Title: "Outcome unknown",
			Detail:     "the change may have been accepted; send it again unchanged, with the same identifier, to learn its outcome",
			RetryAfter: time.Second, Extensions: map[string]any{"run": "unknown"},
		}
	case errors.As(err, &quorum):
		return &serve.ProblemError{
			Status: http.StatusServiceUnavailable, Reason: "noquorum", Title: "No majority of the control replicas",
			Detail: err.Error(), RetryAfter: time.Second, Extensions: map[string]any{"run": "no"},
		}
	case errors.As(err, &malformed):
		return &serve.ProblemError{Status: http.StatusBadRequest, Reason: "badrequest", Detail: malformed.Reason, Extensions: map[string]any{"run": "no"}}
	case errors.As(err, &size):
		return &serve.ProblemError{Status: http.StatusRequestEntityTooLarge, Reason: "toolarge", Detail: err.Error(), Extensions: map[string]any{"run": "no"}}
	case errors.As(err, &leader):
		return &serve.ProblemError{
			Status: http.StatusMisdirectedRequest, Reason: "notleader", Title: "Another replica leads",
			Detail: "send the request to the leader", Extensions: map[string]any{"leader": leader.Leader, "run": "no"},
		}
	case errors.As(err, &change):
		return &serve.ProblemError{Status: http.StatusConflict, Reason: "refused", Detail: change.Reason, Extensions: map[string]any{"run": "no"}}
	case errors.As(err, &stopped), errors.As(err, &closed):
		return &serve.ProblemError{Status: http.StatusServiceUnavailable, Reason: "draining", Detail: "the replica is shutting down", Extensions: map[string]any{"run": "no"}}
	}
	return err
}

// leaderAddress adds the leader's address to a refusal that names the leader.
func (a *Admin) leaderAddress(err error) error {
	var leader *group.NotLeaderError
	if !errors.As(err, &leader) {
		return err
	}
	problem := &serve.ProblemError{}
	if !errors.As(problemOf(err), &problem) {
		return err
	}
	if m, ok := a.Status().Members.Find(leader.Leader); ok {
		problem.Extensions["address"] = m.Addr
	}
	return problem
}
