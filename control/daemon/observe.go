package daemon

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/galenalock/galenalock/control/admin"
	"github.com/galenalock/galenalock/control/fleet"
	"github.com/galenalock/galenalock/control/watch"
	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/mesh"
	"github.com/galenalock/galenalock/core/meter"
	"github.com/galenalock/galenalock/core/state"
	"github.com/galenalock/galenalock/core/wire"
)

// joinOverlay makes the replica a member of the overlay. While it is the leader it
// decides about ejections.
func (d *Daemon) joinOverlay() error {
	ejections, err := d.parts.meter.Counter(meter.Ejections)
	if err != nil {
		return err
	}
	hello := d.hello()
	hello.Use = wire.UseOverlay
	opts := []mesh.Option{mesh.WithByteCounter(func(direction string, n int) { d.parts.linkBytes.Add(int64(n), direction) })}
	if d.parts.certs != nil {
		opts = append(opts, mesh.WithTLS(d.parts.certs.ClientConfig()))
	}
	w := watch.New(watch.Settings{
		Hello:       hello,
		Seeds:       slices.Collect(maps.Values(d.settings.Replicas)),
		OnEvent:     func(event string) { ejections.Add(1, event) },
		MeshOptions: opts,
		Handle:      d.handleMessage,
	}, d.parts.log)
	d.Hooks = Hooks{
		Hooks:         fleet.Hooks{Evidence: w.RecordEvidence, Decide: w.Decide, CommandDone: w.HandleResult, WatchList: w.WatchList},
		ReceiveGossip: w.Receive,
		OverlayOpened: w.Adopt,
		OverlayClosed: w.Release,
		Targets:       func(v *state.View, now time.Time) []admin.Target { return listTargets(w, v, now) },
		Run:           func(ctx context.Context) { w.Run(ctx) },
	}
	return nil
}

// listTargets returns the announced targets with their leases and drains from the
// replicated state.
func listTargets(w *watch.Watcher, v *state.View, now time.Time) []admin.Target {
	type key struct {
		service string
		address netip.AddrPort
	}
	leased := map[key]admin.Target{}
	for _, target := range admin.LeasedTargets(v, now) {
		leased[key{target.Service, target.Address}] = target
	}
	drained := map[string]bool{}
	for _, d := range v.Drains {
		drained[d.Name] = true
	}
	out := []admin.Target{}
	snapshot := w.Targets()
	for _, service := range snapshot.Services() {
		for _, t := range snapshot.Targets(service) {
			target := admin.Target{
				Service: service, Address: t.Address, Region: t.Region, DataCentre: t.DataCentre,
				State: string(t.State), Reason: "announced by the target", Slots: t.Slots, Start: t.Start,
			}
			if l, ok := leased[key{service, t.Address}]; ok && l.Start.Equal(t.Start) {
				target.State, target.Reason, target.Left, target.Score = l.State, l.Reason, l.Left, l.Score
			}
			if drained[t.Address.String()] && t.State != gossip.StateLeaving {
				target.State, target.Reason = "drained", "drained by an operator"
			}
			out = append(out, target)
		}
	}
	return out
}
