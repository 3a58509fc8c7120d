package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"time"

	"github.com/galenalock/galenalock/core/boot"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/update"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/proxy"
)

const (
	pullTimeout     = 2 * time.Second
	confirmTimeout  = 2 * time.Second
	confirmInterval = 5 * time.Second
)

// restore installs the configuration stored by an earlier run.
func (a *Agent) restore() {
	if a.settings.DataDir == "" {
		return
	}
	number, text, err := readStoredConfig(a.settings.DataDir)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err == nil {
		err = a.update.Restore(number, text)
	}
	if err != nil {
		// Not fatal: control and the peers have the configuration as well.
		a.log.WithField(logs.FieldError, err.Error()).Warn("stored configuration is unusable")
		return
	}
	a.applyRevision(time.Now(), "data directory")
}

// receiveRevision handles a revision or a digest received on a link.
func (a *Agent) receiveRevision(now time.Time, c *link.Conn, r wire.Revision) {
	if a.registry != nil {
		if announced := a.registry.progress[c]; announced != nil {
			announced.revision = max(announced.revision, r.Number)
		}
		if !r.HasData && c != a.registry.primary {
			return
		}
	}
	result, err := a.update.Receive(now, c.Peer().Instance, r)
	if err != nil {
		a.log.WithField(logs.FieldError, err.Error()).WithField("peer", c.Peer().Instance).WithField("revision", r.Number).Error("revision refused")
		if !a.update.Lacks(r.Number) {
			a.lag.Refuse(r.Number)
		}
		return
	}
	if result.Installed {
		a.applyRevision(now, c.Peer().Instance)
	}
	if result.Pull != nil {
		a.pullRevision(c, *result.Pull)
	}
}

// pullRevision requests a newer revision in the background.
func (a *Agent) pullRevision(c *link.Conn, request wire.Pull) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		var r wire.Revision
		err := c.Call(ctx, wire.KindPull, request, &r)
		a.post(func(now time.Time) {
			if err != nil {
				a.update.RemovePeer(c.Peer().Instance)
				a.log.WithField("peer", c.Peer().Instance).WithField(logs.FieldError, err.Error()).Info("revision not pulled")
				return
			}
			a.receiveRevision(now, c, r)
		})
	}()
}

// applyRevision activates the revision that was just installed. source is where it
// came from.
func (a *Agent) applyRevision(now time.Time, source string) {
	number := a.update.Number()
	a.gossip.SetRevision(number, a.update.Digest().Checksum)
	a.updateServices(now)
	a.reportDue = true
	a.publish(now)
	applied := time.Now()
	a.log.WithField("revision", number).WithField("peer", source).WithField("bytes", len(a.update.Source())).
		WithField("lag", a.lag.Apply(applied, number).String()).WithField("duration", applied.Sub(now).String()).Info("revision in force")
	if a.settings.DataDir != "" {
		if err := writeStoredConfig(a.settings.DataDir, number, a.update.Source()); err != nil {
			a.log.WithField(logs.FieldError, err.Error()).Warn("configuration not stored")
		}
	}
	for _, c := range a.mesh.Neighbours() {
		// A neighbour that lags pulls the revision. A lost digest does no harm, since
		// gossip carries it as well.
		_ = c.Send(wire.KindRevision, a.update.Digest())
	}
}

// newConfirmer returns the confirmer of an entry with these settings.
func newConfirmer(s *Settings) *update.Confirmer {
	interval := confirmInterval
	if s.hasRegistry() {
		interval = registryConfirmInterval
	}
	return update.NewConfirmer(interval, update.WithFirst(rand.IntN(1<<16)))
}

// confirm asks a control replica which revision the majority of control holds.
func (a *Agent) confirm(now time.Time) {
	links := *a.controlLinks.Load()
	names := make([]string, len(links))
	for i, c := range links {
		names[i] = c.Peer().Instance
	}
	a.confirmer.SetFrequent(a.askInterval())
	position, ok := a.confirmer.Ask(now, a.update.Ready(now), names)
	if !ok {
		return
	}
	c := links[position]
	asked := boot.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		defer cancel()
		var response wire.Confirmed
		err := c.Call(ctx, wire.KindConfirm, wire.Confirm{}, &response)
		askedAt := now
		a.post(func(now time.Time) {
			a.confirmer.Answered(c.Peer().Instance)
			if err != nil {
				return
			}
			a.confirmer.Confirmed(askedAt)
			a.age.Confirm(asked, response.Number)
			a.lag.Hear(now, response.Number)
			a.update.Confirm(now, response)
			a.publish(now)
			if response.Number > a.update.Number() {
				a.pullRevision(c, a.update.Pull(now, c.Peer().Instance))
			}
		})
	}()
}

// publish replaces the view of the data path if it has changed.
func (a *Agent) publish(now time.Time) {
	ready := a.update.Ready(now) && (a.registry == nil || a.registry.populated)
	if ready && !a.view.Load().Ready {
		// The routers need their targets before the first request arrives.
		a.tickUpstreams(now)
	}
	next := proxy.View{
		Text:     a.update.Text(),
		Revision: a.update.Number(),
		Ready:    ready,
		Draining: a.draining || a.leaving,
	}
	if *a.view.Load() != next {
		a.view.Store(&next)
		if next.Ready {
			a.startupGate.Open()
		}
		a.reportDue = true
	}
	a.age.Apply(next.Revision)
}

// report sends the state of the instance to control when it has changed, and
// periodically.
func (a *Agent) report(now time.Time) {
	if !a.reportDue && now.Sub(a.lastReport) < wire.ReportInterval {
		return
	}
	a.lastReport, a.reportDue = now, false
	state := wire.StateStarting
	switch {
	case a.draining || a.leaving:
		state = wire.StateDraining
	case a.update.Ready(now) && a.PathLost():
		state = wire.StateNoPath
	case a.update.Ready(now):
		state = wire.StateReady
	}
	r := wire.Report{
		Instance: a.settings.Instance, Start: a.settings.Start, Number: a.update.Number(),
		State: state, Inflight: a.hooks.Inflight(), Confirmed: a.update.SinceConfirmed(now),
	}
	for _, c := range *a.controlLinks.Load() {
		_ = c.Send(wire.KindReport, r) // a failed send closes the link
		if a.registry != nil {
			break // the primary forwards it
		}
	}
}
