package admin

import (
	"errors"
	"net/http"
	"time"

	"github.com/galenalock/galenalock/control/relay"
	"github.com/galenalock/galenalock/core/group"
	"github.com/galenalock/galenalock/core/serve"
)

// toProblem maps the errors of the replica to problem responses. For a command
// that may have been applied the outcome is unknown, never failed. Other errors
// are returned unchanged.
func toProblem(err error) error {
	var unknown *relay.UnknownError
	var commandUnknown *group.UnknownError
	var noQuorum *relay.NoQuorumError
	var malformed *relay.MalformedError
	var tooLarge *relay.SizeError
	var notLeader *group.NotLeaderError
	var changeRefused *group.ChangeError
	var shutdown *group.ShutdownError
	var stopped *relay.StoppedError
	switch {
	case errors.As(err, &unknown), errors.As(err, &commandUnknown):
		return &serve.ProblemError{
			Status: http.StatusGatewayTimeout, Reason: "unknown", Title: "Outcome unknown",
			Detail:     "the change may have been accepted; send it again unchanged, with the same identifier, to learn its outcome",
			RetryAfter: time.Second, Extensions: map[string]any{"run": "unknown"},
		}
	case errors.As(err, &noQuorum):
		return &serve.ProblemError{
			Status: http.StatusServiceUnavailable, Reason: "noquorum", Title: "No majority of the control replicas",
			Detail: err.Error(), RetryAfter: time.Second, Extensions: map[string]any{"run": "no"},
		}
	case errors.As(err, &malformed):
		return &serve.ProblemError{Status: http.StatusBadRequest, Reason: "badrequest", Detail: malformed.Reason, Extensions: map[string]any{"run": "no"}}
	case errors.As(err, &tooLarge):
		return &serve.ProblemError{Status: http.StatusRequestEntityTooLarge, Reason: "toolarge", Detail: err.Error(), Extensions: map[string]any{"run": "no"}}
	case errors.As(err, &notLeader):
		return &serve.ProblemError{
			Status: http.StatusMisdirectedRequest, Reason: "notleader", Title: "Another replica leads",
			Detail: "send the request to the leader", Extensions: map[string]any{"leader": notLeader.Leader, "run": "no"},
		}
	case errors.As(err, &changeRefused):
		return &serve.ProblemError{Status: http.StatusConflict, Reason: "refused", Detail: changeRefused.Reason, Extensions: map[string]any{"run": "no"}}
	case errors.As(err, &stopped), errors.As(err, &shutdown):
		return &serve.ProblemError{Status: http.StatusServiceUnavailable, Reason: "draining", Detail: "the replica is shutting down", Extensions: map[string]any{"run": "no"}}
	}
	return err
}

// addLeaderAddress turns a *group.NotLeaderError into a problem that includes
// the leader's address, if known. Other errors are returned unchanged.
func (a *Admin) addLeaderAddress(err error) error {
	var notLeader *group.NotLeaderError
	if !errors.As(err, &notLeader) {
		return err
	}
	problem := &serve.ProblemError{}
	if !errors.As(toProblem(err), &problem) {
		return err
	}
	if m, ok := a.Status().Members.Find(notLeader.Leader); ok {
		problem.Extensions["address"] = m.Addr
	}
	return problem
}
