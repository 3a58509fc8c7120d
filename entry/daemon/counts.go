package daemon

import (
	"sync/atomic"
	"time"

	"github.com/galenalock/galenalock/core/meter"
	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/proxy"
)

// counts are the metrics of the data path.
type counts struct {
	requests  *meter.Counter
	refusals  *meter.Counter
	retries   *meter.Counter
	verdicts  *meter.Counter
	claims    *meter.Counter
	crossing  *meter.Counter
	bytes     *meter.Counter
	cut       *meter.Counter
	durations *meter.Histogram
	inflight  atomic.Int64
}

func newCounts(m *meter.Meter) (*counts, error) {
	c := &counts{}
	for _, one := range []struct {
		name meter.Name
		into **meter.Counter
	}{
		{meter.Requests, &c.requests}, {meter.Refusals, &c.refusals}, {meter.Retries, &c.retries},
		{meter.Verdicts, &c.verdicts}, {meter.Claims, &c.claims}, {meter.Crossing, &c.crossing},
		{meter.LinkBytes, &c.bytes}, {meter.Cuts, &c.cut},
	} {
		counter, err := m.Counter(one.name)
		if err != nil {
			return nil, err
		}
		*one.into = counter
	}
	var err error
	if c.durations, err = m.Histogram(meter.Durations); err != nil {
		return nil, err
	}
	return c, m.Gauge(meter.Inflight, func() float64 { return float64(c.inflight.Load()) })
}

func (c *counts) answered(r proxy.Request, _ int, took time.Duration) {
	c.requests.Add(1, r.Service.Name)
	c.durations.Record(took.Seconds(), r.Service.Name)
}

func (c *counts) refused(reason refuse.Reason) { c.refusals.Add(1, string(reason)) }
func (c *counts) retried(reason proxy.Reason)  { c.retries.Add(1, string(reason)) }
func (c *counts) claimed(state wire.ClaimState) {
	c.claims.Add(1, string(state))
}

// verdict counts what the budget said to a further attempt. Allowed attempts
// are counted by reason.
func (c *counts) verdict(_, verdict string) { c.verdicts.Add(1, verdict) }

func (c *counts) crossed(sent, received int64) {
	c.crossing.Add(sent, "out")
	c.crossing.Add(received, "in")
}

func (c *counts) linked(direction string, bytes int) { c.bytes.Add(int64(bytes), direction) }
