package agent

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/proxy"
)

const (
	pullTimeout    = 2 * time.Second
	confirmTimeout = 2 * time.Second
	confirmEvery   = 5 * time.Second
	// confirmFirst is the pause between questions until a majority has answered. A
	// round trip between regions takes 50 ms.
	confirmFirst = 100 * time.Millisecond
)

// restore installs the copy of the configuration that the instance kept.
func (a *Agent) restore() {
	if a.settings.Data == "" {
		return
	}
	number, text, err := readCopy(a.settings.Data)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err == nil {
		err = a.update.Restore(number, text)
	}
	if err != nil {
		// Control and the peers have the configuration as well.
		a.log.WithField(logs.FieldError, err.Error()).Warn("kept configuration is unusable")
		return
	}
	a.installed(time.Now())
}

// revision takes a revision or a digest that arrived on a link.
func (a *Agent) revision(now time.Time, c *link.Conn, r wire.Revision) {
	if a.registry != nil && !r.Whole && c != a.registry.primary {
		if l := a.registry.ahead[c]; l != nil {
			l.revision = max(l.revision, r.Number)
		}
		return
	}
	result, err := a.update.Receive(now, c.Peer().Instance, r)
	if err != nil {
		a.log.WithField(logs.FieldError, err.Error()).WithField("peer", c.Peer().Instance).Error("revision refused")
		return
	}
	if result.Installed {
		a.installed(now)
	}
	if result.Pull != nil {
		a.pull(c, *result.Pull)
	}
}

// pull asks for a newer revision in the background.
func (a *Agent) pull(c *link.Conn, question wire.Pull) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		var r wire.Revision
		err := c.Call(ctx, wire.KindPull, question, &r)
		a.post(func(now time.Time) {
			if err != nil {
				a.update.Lost(c.Peer().Instance)
				return
			}
			a.revision(now, c, r)
		})
	}()
}

// installed puts a new revision in force.
func (a *Agent) installed(now time.Time) {
	number := a.update.Number()
	a.log.WithField("revision", number).Info("revision in force")
	a.gossip.Revise(number, a.update.Digest().Sum)
	a.updateServices(now)
	a.reportDue = true
	a.publish(now)
	if a.settings.Data != "" {
		if err := writeCopy(a.settings.Data, number, a.update.Source()); err != nil {
			a.log.WithField(logs.FieldError, err.Error()).Warn("configuration not kept")
		}
	}
	for _, c := range a.mesh.Neighbours() {
		// A neighbour that is behind pulls; a lost digest is repeated by gossip.
		_ = c.Send(wire.KindRevision, a.update.Digest())
	}
}

// confirm asks control which revision its majority holds.
func (a *Agent) confirm(now time.Time) {
	every := confirmEvery
	if a.registry != nil {
		every = confirmRegistry
	}
	if !a.update.Ready(now) {
		every = confirmFirst
	}
	links := *a.control.Load()
	if a.confirming || len(links) == 0 || now.Sub(a.confirmed) < every {
		return
	}
	a.confirming, a.confirmed = true, now
	c := links[int(now.UnixNano()/int64(time.Millisecond))%len(links)]
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		defer cancel()
		var answer wire.Confirmed
		err := c.Call(ctx, wire.KindConfirm, wire.Confirm{}, &answer)
		a.post(func(now time.Time) {
			a.confirming = false
			if err != nil {
				return
			}
			a.update.Confirm(now, answer)
			a.publish(now)
			if answer.Number > a.update.Number() {
				a.pull(c, a.update.Pull(now, c.Peer().Instance))
			}
		})
	}()
}

// publish replaces the view of the data path when it has changed.
func (a *Agent) publish(now time.Time) {
	ready := a.update.Ready(now) && (a.registry == nil || a.registry.filled)
	if ready && !a.view.Load().Ready {
		// The routers need the targets before the first request comes.
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
			a.start.Open()
		}
		a.reportDue = true
	}
}

// report tells control the state of the instance when it has changed, and from
// time to time.
func (a *Agent) report(now time.Time) {
	const every = 15 * time.Second // shorter than the time for which control counts the instance as live
	if !a.reportDue && now.Sub(a.reported) < every {
		return
	}
	a.reported, a.reportDue = now, false
	state := "starting"
	switch {
	case a.draining || a.leaving:
		state = "draining"
	case a.update.Ready(now):
		state = "ready"
	}
	r := wire.Report{
		Instance: a.settings.Instance, Start: a.settings.Start, Number: a.update.Number(),
		State: state, Inflight: a.hooks.Inflight(), Confirmed: a.update.Confirmed(now),
	}
	for _, c := range *a.control.Load() {
		_ = c.Send(wire.KindReport, r) // a failed send ends the link
		if a.registry != nil {
			break // the primary passes it on
		}
	}
}
