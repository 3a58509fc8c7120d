package daemon

import (
	"cmp"
	"net/http"
	"strconv"
	"time"

	"github.com/galenalock/galenalock/core/serve"
	"github.com/galenalock/galenalock/entry/agent"
)

// PreviewPath is the path of the preview of a request on the admin address.
const PreviewPath = "/v1/preview"

// preview responds with what this entry would do with the request that the query
// describes. It reads only.
func (d *Daemon) preview(w http.ResponseWriter, r *http.Request) {
	in := r.URL.Query()
	q := agent.Query{
		Method: cmp.Or(in.Get("method"), http.MethodGet), Host: in.Get("host"), Path: cmp.Or(in.Get("path"), "/"),
		Workspace: in.Get("workspace"),
	}
	var err error
	if size := in.Get("size"); size != "" {
		q.Size, err = strconv.ParseInt(size, 10, 64)
	}
	var out agent.Preview
	if err == nil {
		out, err = d.agent.Preview(q, time.Now())
	}
	if err != nil {
		serve.WriteProblem(w, r, &serve.ProblemError{Status: http.StatusBadRequest, Reason: "invalid", Detail: err.Error()})
		return
	}
	serve.WriteJSON(w, http.StatusOK, out)
}
