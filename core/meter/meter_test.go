package meter_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/meter"
	"github.com/galenalock/galenalock/core/refuse"
)

const page = "../../docs/METRICS.md"

// Guards against a documentation page that lists other metrics than the code
// defines, or lacks a refusal reason. With the environment variable UPDATE=1,
// the test writes the table to the page instead.
func TestPage(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(page)
	is.NoErr(err)
	head, _, _ := strings.Cut(string(data), "| metric |")
	want := head + meter.MarkdownTable()
	if os.Getenv("UPDATE") == "1" {
		is.NoErr(os.WriteFile(page, []byte(want), 0o644))
		return
	}
	is.Equal(string(data), want)
	for _, reason := range refuse.Reasons() {
		if !strings.Contains(head, "`"+string(reason)+"`") {
			t.Errorf("reason %s is not listed", reason)
		}
	}
}

// Guards against documented names that differ from those in the Prometheus
// output, and against the registration of an undefined metric.
func TestEveryMetricIsExported(t *testing.T) {
	is := is.New(t)
	m, err := meter.New()
	is.NoErr(err)
	for _, metric := range meter.Metrics() {
		switch metric.Kind {
		case "counter":
			c, err := m.Counter(metric.Name)
			is.NoErr(err)
			c.Add(1, "x")
		case "gauge":
			is.NoErr(m.Gauge(metric.Name, func() float64 { return 1 }))
		case "histogram":
			h, err := m.Histogram(metric.Name)
			is.NoErr(err)
			h.Record(1, "x")
		}
	}
	_, err = m.Counter("other")
	var unknown *meter.UnknownError
	is.True(errors.As(err, &unknown))
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for line := range strings.Lines(meter.MarkdownTable()) {
		if name := strings.Split(line, "`"); len(name) > 1 && !strings.Contains(w.Body.String(), "\n# TYPE "+name[1]+" ") {
			t.Errorf("%s is not exported", name[1])
		}
	}
	is.NoErr(m.Close(t.Context()))
}
