package daemon

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/galenalock/galenalock/core/serve"
)

// Status is the response to GET /v1/status of an entry.
type Status struct {
	Instance   string    `json:"instance"`
	Region     string    `json:"region"`
	DataCentre string    `json:"datacentre"`
	Start      time.Time `json:"start"`
	Ready      bool      `json:"ready"`
	Draining   bool      `json:"draining"`
	Revision   uint64    `json:"revision"`
	Inflight   int       `json:"inflight"`
	Neighbours int       `json:"neighbours"`
	Instances  int       `json:"instances"`
	Targets    int       `json:"targets"`
}

func (d *Daemon) adminRouter() *chi.Mux {
	r := serve.NewRouter(d.log)
	r.Get("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", func(w http.ResponseWriter, r *http.Request) {
		if !d.Ready() {
			serve.WriteProblem(w, r, &serve.ProblemError{Status: http.StatusServiceUnavailable, Reason: "notready"})
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	r.Handle("/metrics", d.meter.Handler())
	r.Get("/v1/status", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, http.StatusOK, d.status()) })
	r.Get(PreviewPath, d.preview)
	r.Get("/v1/targets", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, http.StatusOK, d.agent.Targets()) })
	return r
}

func (d *Daemon) status() Status {
	view, fleet := d.agent.View(), d.agent.Fleet()
	return Status{
		Instance: d.settings.Instance, Region: d.settings.Region, DataCentre: d.settings.DataCentre, Start: d.start,
		Ready: d.Ready(), Draining: view.Draining, Revision: view.Revision,
		Inflight: d.inflight(), Neighbours: len(d.agent.Mesh().Neighbours()),
		Instances: fleet.Instances, Targets: fleet.Targets,
	}
}
