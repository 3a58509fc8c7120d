package meter

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Meter owns the metrics of one process.
type Meter struct {
	provider *sdk.MeterProvider
	registry *prometheus.Registry
	meter    metric.Meter
}

// New returns a meter with its own registry.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithNamespace("galenalock"))
	if err != nil {
		return nil, eris.Wrap(err, "prometheus exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	return &Meter{provider: provider, registry: registry, meter: provider.Meter("galenalock")}, nil
}

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close flushes and stops the provider.
func (m *Meter) Close(ctx context.Context) error {
	return eris.Wrap(m.provider.Shutdown(ctx), "meter shutdown")
}

// Counter counts events by one attribute.
type Counter struct {
	counter   metric.Int64Counter
	attribute string
}

// Counter registers a counter of the instance table. An empty attribute makes
// it a plain counter.
func (m *Meter) Counter(name Name) (*Counter, error) {
	row, ok := table[name]
	if !ok {
		return nil, &UnknownError{Name: name}
	}
	counter, err := m.meter.Int64Counter(string(name), metric.WithDescription(row.help), metric.WithUnit(row.unit))
	if err != nil {
		return nil, eris.Wrapf(err, "counter %s", name)
	}
	return &Counter{counter: counter, attribute: row.attribute}, nil
}

// Add counts n events with the value of the counter's attribute.
func (c *Counter) Add(n int64, value string) {
	if c.attribute == "" {
		c.counter.Add(context.Background(), n)
		return
	}
	c.counter.Add(context.Background(), n, metric.WithAttributes(attribute.String(c.attribute, value)))
}

// Gauge registers a gauge whose value is read when the metrics are.
func (m *Meter) Gauge(name Name, read func() float64) error {
	row, ok := table[name]
	if !ok {
		return &UnknownError{Name: name}
	}
	_, err := m.meter.Float64ObservableGauge(string(name),
		metric.WithDescription(row.help),
		metric.WithUnit(row.unit),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return eris.Wrapf(err, "gauge %s", name)
}

// Histogram measures durations in seconds.
type Histogram struct {
	histogram metric.Float64Histogram
	attribute string
}

// Histogram registers a histogram of durations.
func (m *Meter) Histogram(name Name) (*Histogram, error) {
	row, ok := table[name]
	if !ok {
		return nil, &UnknownError{Name: name}
	}
	histogram, err := m.meter.Float64Histogram(string(name),
		metric.WithDescription(row.help),
		metric.WithUnit(row.unit),
		metric.WithExplicitBucketBoundaries(.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30))
	if err != nil {
		return nil, eris.Wrapf(err, "histogram %s", name)
	}
	return &Histogram{histogram: histogram, attribute: row.attribute}, nil
}

// Record adds one duration in seconds.
func (h *Histogram) Record(seconds float64, value string) {
	h.histogram.Record(context.Background(), seconds, metric.WithAttributes(attribute.String(h.attribute, value)))
}
