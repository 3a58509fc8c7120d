package daemon

import (
	"github.com/galenalock/galenalock/core/budget"
	"github.com/galenalock/galenalock/core/meter"
	"github.com/galenalock/galenalock/core/serve"
)

// callerLimits returns the options of a server. All servers of the process share its
// memory for callers and its connections.
func (d *Daemon) callerLimits(b *budget.Budget, closures *meter.Counter) []serve.Option {
	limits := serve.DefaultLimits()
	limits.StallTimeout = d.settings.Stall
	return []serve.Option{
		serve.WithLimits(limits), serve.WithBudget(b), serve.WithBufferedBodies(),
		serve.WithConnections(serve.NewConnections(d.settings.Connections)),
		serve.WithCloseHook(func(reason string) { closures.Add(1, reason) }),
	}
}

// guardCallers sets the options of the servers before they are created.
func (d *Daemon) guardCallers() error {
	b := budget.OfInstance(int64(d.settings.Memory) << 20)
	closures, err := d.parts.meter.Counter(meter.ClosedConnections)
	if err != nil {
		return err
	}
	d.parts.serverOpts = d.callerLimits(b, closures)
	return d.parts.meter.Gauge(meter.HeldBytes, func() float64 { return float64(b.Used()) })
}
