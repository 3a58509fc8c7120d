package proxy

import (
	"time"

	"github.com/galenalock/galenalock/core/meter"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/wire"
)

// WithMetrics returns the hooks with Answered, Refused, Retried and Claimed set to
// record metrics in m.
func (h Hooks) WithMetrics(m *meter.Meter) (Hooks, error) {
	counters := map[meter.Name]*meter.Counter{}
	for _, name := range []meter.Name{meter.Requests, meter.Refusals, meter.Retries, meter.Claims} {
		counter, err := m.Counter(name)
		if err != nil {
			return h, err
		}
		counters[name] = counter
	}
	durations, err := m.Histogram(meter.Durations)
	if err != nil {
		return h, err
	}
	requests, refusals, retries, claims := counters[meter.Requests], counters[meter.Refusals], counters[meter.Retries], counters[meter.Claims]
	h.Answered = func(r Request, _ int, d time.Duration) {
		requests.Add(1, r.Service.Name)
		durations.Record(d.Seconds(), r.Service.Name)
	}
	h.Refused = func(reason refuse.Reason) { refusals.Add(1, string(reason)) }
	h.Retried = func(reason Reason) { retries.Add(1, string(reason)) }
	h.Claimed = func(state wire.ClaimState) { claims.Add(1, string(state)) }
	return h, nil
}
