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

// Meter holds the metrics of one process.
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
		return nil, eris.Wrap(err, "create Prometheus exporter")
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
	return eris.Wrap(m.provider.Shutdown(ctx), "shut down meter provider")
}

// Counter counts events, by the value of one attribute if it has one.
type Counter struct {
	counter   metric.Int64Counter
	attribute string
}

// Counter registers the counter with the given name. It returns an
// UnknownError if the name is not defined.
func (m *Meter) Counter(name Name) (*Counter, error) {
	d, ok := definitions[name]
	if !ok {
		return nil, &UnknownError{Name: name}
	}
	counter, err := m.meter.Int64Counter(string(name), metric.WithDescription(d.help), metric.WithUnit(d.unit))
	if err != nil {
		return nil, eris.Wrapf(err, "register counter %s", name)
	}
	return &Counter{counter: counter, attribute: d.attribute}, nil
}

// Add adds n events with the given value of the counter's attribute. The value
// is ignored if the counter has no attribute.
func (c *Counter) Add(n int64, value string) {
	if c.attribute == "" {
		c.counter.Add(context.Background(), n)
		return
	}
	c.counter.Add(context.Background(), n, metric.WithAttributes(attribute.String(c.attribute, value)))
}

// Gauge registers the gauge with the given name. Its value is read whenever the
// metrics are collected.
func (m *Meter) Gauge(name Name, read func() float64) error {
	d, ok := definitions[name]
	if !ok {
		return &UnknownError{Name: name}
	}
	_, err := m.meter.Float64ObservableGauge(string(name),
		metric.WithDescription(d.help),
		metric.WithUnit(d.unit),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return eris.Wrapf(err, "register gauge %s", name)
}

// Histogram measures durations in seconds.
type Histogram struct {
	histogram metric.Float64Histogram
	attribute string
}

// Histogram registers the histogram with the given name.
func (m *Meter) Histogram(name Name) (*Histogram, error) {
	d, ok := definitions[name]
	if !ok {
		return nil, &UnknownError{Name: name}
	}
	histogram, err := m.meter.Float64Histogram(string(name),
		metric.WithDescription(d.help),
		metric.WithUnit(d.unit),
		metric.WithExplicitBucketBoundaries(.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30))
	if err != nil {
		return nil, eris.Wrapf(err, "register histogram %s", name)
	}
	return &Histogram{histogram: histogram, attribute: d.attribute}, nil
}

// Record adds a duration with the given value of the histogram's attribute.
func (h *Histogram) Record(seconds float64, value string) {
	h.histogram.Record(context.Background(), seconds, metric.WithAttributes(attribute.String(h.attribute, value)))
}
