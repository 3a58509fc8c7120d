package admin

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-chi/chi/v5"

	"github.com/galenalock/galenalock/core/serve"
	"github.com/galenalock/galenalock/core/state"
)

func listDrains(v *state.View) []Drain {
	out := []Drain{}
	for _, d := range v.Drains {
		out = append(out, Drain{Name: d.Name, Since: d.Since})
	}
	return out
}

func (a *Admin) drains(w http.ResponseWriter, r *http.Request) error {
	confirmed := a.catchUp(r)
	serve.WriteJSON(w, http.StatusOK, Drains{Confirmed: confirmed, Drains: listDrains(a.View())})
	return nil
}

// setDrain returns a handler that sets or removes a drain. Both operations are
// idempotent.
func (a *Admin) setDrain(drained bool) func(w http.ResponseWriter, r *http.Request) error {
	return func(w http.ResponseWriter, r *http.Request) error {
		name, err := url.PathUnescape(chi.URLParam(r, "name"))
		if err != nil {
			return &serve.ProblemError{Status: http.StatusBadRequest, Reason: "badrequest", Detail: err.Error()}
		}
		ctx, cancel := withDeadline(r, writeTimeout)
		defer cancel()
		if _, err := a.Propose(ctx, state.Command{Drain: &state.Drain{Name: name, On: drained}}); err != nil {
			return err
		}
		serve.WriteJSON(w, http.StatusOK, map[string]any{"name": name, "drained": drained})
		return nil
	}
}

func (a *Admin) replicas(w http.ResponseWriter, _ *http.Request) error {
	s := a.Status()
	doc := Replicas{Leader: s.Leader, Replicas: []Replica{}}
	for _, m := range s.Members {
		role := "voter"
		switch {
		case m.ID == s.Leader:
			role = "leader"
		case m.Joining:
			role = "joining"
		case m.Learner:
			role = "learner"
		}
		doc.Replicas = append(doc.Replicas, Replica{ID: m.ID, Address: m.Addr, Role: role})
	}
	serve.WriteJSON(w, http.StatusOK, doc)
	return nil
}

func replicaID(r *http.Request) (uint64, error) {
	id, err := strconv.ParseUint(chi.URLParam(r, "id"), 10, 32)
	if err != nil || id == 0 {
		return 0, &serve.ProblemError{Status: http.StatusBadRequest, Reason: "badrequest", Detail: fmt.Sprintf("%q is no number of a replica", chi.URLParam(r, "id"))}
	}
	return id, nil
}

func (a *Admin) addReplica(w http.ResponseWriter, r *http.Request) error {
	id, err := replicaID(r)
	if err != nil {
		return err
	}
	var body Address
	if err := decode(r, &body); err != nil {
		return err
	}
	if !body.Address.IsValid() || body.Address.Addr().IsUnspecified() || body.Address.Port() == 0 {
		return &serve.ProblemError{Status: http.StatusBadRequest, Reason: "badrequest", Detail: "address must be an IP address and a port that the other replicas can dial"}
	}
	ctx, cancel := withDeadline(r, writeTimeout)
	defer cancel()
	if err := a.AddReplica(ctx, id, body.Address); err != nil {
		return a.addLeaderAddress(err)
	}
	return a.replicas(w, r)
}

func (a *Admin) removeReplica(w http.ResponseWriter, r *http.Request) error {
	id, err := replicaID(r)
	if err != nil {
		return err
	}
	ctx, cancel := withDeadline(r, writeTimeout)
	defer cancel()
	if err := a.RemoveReplica(ctx, id); err != nil {
		return a.addLeaderAddress(err)
	}
	return a.replicas(w, r)
}

func (a *Admin) snapshot(w http.ResponseWriter, _ *http.Request) error {
	data, err := a.Snapshot()
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, err = w.Write(data)
	if err != nil {
		a.Log.WithField("error", err.Error()).Debug("writing the snapshot failed")
	}
	return nil
}
