package agent

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/enrol"
	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/wire"
	"github.com/galenalock/galenalock/entry/attach"
)

const (
	// primaryLagLimit is how long a replica may be ahead of the entry before the
	// entry pulls from it. A push of the primary takes a round trip.
	primaryLagLimit = 250 * time.Millisecond
	// startupLagLimit replaces primaryLagLimit while the entry is not ready, since
	// the primary may have lost its disk.
	startupLagLimit = 50 * time.Millisecond
	// registryConfirmInterval replaces confirmInterval if control pushes the
	// revision. Each confirmation costs a round of the control group.
	registryConfirmInterval = 30 * time.Second
	// emptyRegistryDelay is the time since the start of the entry after which a
	// linked entry without targets considers the registry empty.
	emptyRegistryDelay = 2 * time.Second
)

// registry is the state of an entry that receives its targets from control. Only
// the control goroutine accesses it.
type registry struct {
	attach    *attach.Core
	mirror    *enrol.Mirror
	primary   *link.Conn
	progress  map[*link.Conn]*replicaProgress
	regions   map[string]int // number of live entries by region
	populated bool           // the targets are known, or the registry is considered empty
	appliedAt time.Time      // when an update was last passed on to the routers outside of a tick
}

// replicaProgress is what a linked replica has announced in digests.
type replicaProgress struct {
	revision    uint64
	targets     uint64
	behindSince time.Time // when the entry fell behind the replica, zero if it has not
}

func newRegistry(s *Settings) *registry {
	location := attach.Location{Instance: s.Instance, Region: s.Region, DataCentre: s.DataCentre}
	r := &registry{
		attach: attach.New(location, s.ControlLinks), mirror: enrol.NewMirror(),
		progress: map[*link.Conn]*replicaProgress{}, regions: map[string]int{},
	}
	r.attach.SetSeeds(s.ControlSeeds)
	return r
}

// ReplaceSeeds replaces the control replicas that the entry connects to when it
// knows no others.
func (a *Agent) ReplaceSeeds(seeds []netip.AddrPort) {
	a.post(func(now time.Time) {
		if a.registry != nil {
			a.registry.attach.SetSeeds(seeds)
			a.log.WithField("seeds", len(seeds)).Info("seeds replaced")
			a.planLinks(now)
		}
	})
}

// planLinks opens and closes links to control replicas as the attach core plans.
func (a *Agent) planLinks(now time.Time) {
	dial, drop := a.registry.attach.Plan(now)
	for _, d := range dial {
		to := d.Address
		a.mesh.OpenControlLink(to, d.Timeout, func(err error) {
			a.post(func(now time.Time) {
				a.log.WithField("to", to.String()).WithField(logs.FieldError, err.Error()).Info("control replica not reached")
				a.registry.attach.DialFailed(now, to)
			})
		})
	}
	for _, to := range drop {
		for _, c := range *a.controlLinks.Load() {
			if c.Peer().PeerAddress == to {
				c.Close("a nearer replica is linked")
			}
		}
	}
}

// registryLinkChanged handles the opening or closing of a link to a control
// replica.
func (a *Agent) registryLinkChanged(now time.Time, c *link.Conn, open bool) {
	r, peer := a.registry, c.Peer()
	next := slices.DeleteFunc(slices.Clone(*a.controlLinks.Load()), func(o *link.Conn) bool { return o == c })
	log := a.log.WithField("peer", peer.Instance)
	if open {
		r.attach.LinkOpened(attach.Replica{Address: peer.PeerAddress, Region: peer.Region, DataCentre: peer.DataCentre})
		r.progress[c] = &replicaProgress{}
		next = append(next, c)
		log.Info("control replica linked")
	} else {
		r.attach.LinkClosed(now, peer.PeerAddress)
		delete(r.progress, c)
		a.update.RemovePeer(peer.Instance)
		a.lag.Retain(r.newestAnnounced())
		log.WithField("reason", c.Reason()).WithField("silence", c.Silence().String()).Warn("link to control replica ended")
	}
	slices.SortFunc(next, func(x, y *link.Conn) int { return r.attach.ByDistance(x.Peer().PeerAddress, y.Peer().PeerAddress) })
	next = slices.CompactFunc(next, func(x, y *link.Conn) bool { return x.Peer().PeerAddress == y.Peer().PeerAddress })
	a.controlLinks.Store(&next)
	a.updatePrimary(now, c, open)
	a.planLinks(now)
}

// newestAnnounced returns the newest revision that a linked replica has announced.
func (r *registry) newestAnnounced() uint64 {
	newest := uint64(0)
	for _, announced := range r.progress {
		newest = max(newest, announced.revision)
	}
	return newest
}

// updatePrimary makes the nearest linked replica the primary. The primary pushes
// changes; the other replicas are told to send only digests.
func (a *Agent) updatePrimary(now time.Time, c *link.Conn, opened bool) {
	r, links := a.registry, *a.controlLinks.Load()
	previous := r.primary
	r.primary = nil
	if len(links) > 0 {
		r.primary = links[0]
	}
	if opened && c != r.primary {
		_ = c.Send(wire.KindFollow, wire.Follow{Have: r.mirror.AppliedIndex()}) // a failed send closes the link
	}
	if r.primary == previous || r.primary == nil {
		return
	}
	if previous != nil && !previous.Ended() {
		_ = previous.Send(wire.KindFollow, wire.Follow{Have: r.mirror.AppliedIndex()})
	}
	_ = r.primary.Send(wire.KindFollow, wire.Follow{Primary: true, Have: r.mirror.AppliedIndex()})
	a.sendHeldCrashes(now)
	a.pullRevision(r.primary, a.update.Pull(now, r.primary.Peer().Instance))
	a.reportDue = true
	a.log.WithField("peer", r.primary.Peer().Instance).WithField("targets", r.mirror.AppliedIndex()).
		WithField("revision", a.update.Number()).Info("primary control replica selected")
}

// receiveTargets handles rows of the registry or a digest of it.
func (a *Agent) receiveTargets(now time.Time, c *link.Conn, u enrol.Update) {
	r := a.registry
	if len(u.Rows) == 0 && u.Base == u.Index {
		if announced := r.progress[c]; announced != nil {
			announced.targets = max(announced.targets, u.Index)
		}
		return
	}
	changed, ok := r.mirror.Apply(now, u)
	if !ok {
		a.pullTargets(c)
		return
	}
	r.populated = true
	for service := range changed {
		if up := a.upstreams[service]; up != nil {
			up.dirty = true
		}
	}
	if len(changed) > 0 {
		a.log.WithField("targets", r.mirror.AppliedIndex()).WithField("rows", len(u.Rows)).
			WithField("peer", c.Peer().Instance).Info("targets updated")
		// Updates in quick succession wait for the next tick.
		if now.Sub(r.appliedAt) >= registryTickInterval {
			r.appliedAt = now
			a.tickUpstreams(now)
		}
	}
}

// pullTargets requests the rows that the entry lacks from a replica.
func (a *Agent) pullTargets(c *link.Conn) {
	have := a.registry.mirror.AppliedIndex()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		var u enrol.Update
		err := c.Call(ctx, wire.KindTargets, wire.Follow{Have: have}, &u)
		a.post(func(now time.Time) {
			if err != nil {
				a.log.WithField("peer", c.Peer().Instance).WithField(logs.FieldError, err.Error()).Info("targets not pulled")
				return
			}
			if u.Index > u.Base {
				a.receiveTargets(now, c, u)
			}
		})
	}()
}

// pullFromAhead pulls from replicas that have been ahead of the entry for longer than
// the limit: the primary lags, or a pull from it failed.
func (a *Agent) pullFromAhead(now time.Time) {
	r := a.registry
	limit := primaryLagLimit
	if !a.view.Load().Ready {
		limit = startupLagLimit
	}
	for c, announced := range r.progress {
		lacksRevision := a.update.Lacks(announced.revision) && !a.update.IsPulling(now, c.Peer().Instance)
		behind := lacksRevision || announced.targets > r.mirror.AppliedIndex()
		switch {
		case !behind:
			announced.behindSince = time.Time{}
		case announced.behindSince.IsZero():
			announced.behindSince = now
		case now.Sub(announced.behindSince) >= limit:
			announced.behindSince = time.Time{}
			a.log.WithField("peer", c.Peer().Instance).WithField("revision", announced.revision).WithField("targets", announced.targets).
				Info("control replica is ahead")
			if lacksRevision {
				a.pullRevision(c, a.update.Pull(now, c.Peer().Instance))
			}
			if announced.targets > r.mirror.AppliedIndex() {
				a.pullTargets(c)
			}
		}
	}
}

// tickRegistry plans the links, checks for a lagging primary and for an empty
// registry.
func (a *Agent) tickRegistry(now time.Time) {
	r := a.registry
	a.planLinks(now)
	a.pullFromAhead(now)
	if !r.populated && r.primary != nil && now.Sub(a.settings.Start) >= emptyRegistryDelay {
		r.populated = true
	}
}

// receiveReplicas handles the list of control replicas.
func (a *Agent) receiveReplicas(now time.Time, r wire.Replicas) {
	list := make([]attach.Replica, 0, len(r.List))
	for _, replica := range r.List {
		list = append(list, attach.Replica{Address: replica.Address, Region: replica.Region, DataCentre: replica.DataCentre})
	}
	a.registry.attach.SetReplicas(list)
	a.planLinks(now)
}

// receiveEntryCounts handles the number of live entries of each region.
func (a *Agent) receiveEntryCounts(e wire.Entries) {
	a.registry.regions = e.Regions
	a.peersDirty = true
}

// placeholderPeers returns this entry and a placeholder for each other live entry,
// whose names are not known here. The names do not matter while every entry may
// use every target. Otherwise each entry uses a subset of the right size, but the
// subsets of the entries are not coordinated exactly.
func (r *registry) placeholderPeers(self, region string) []route.Peer {
	out := []route.Peer{{Instance: self, Region: region}}
	for name, count := range r.regions {
		if name == region {
			count--
		}
		for i := range count {
			out = append(out, route.Peer{Instance: name + "#" + string(rune('0'+i)), Region: name})
		}
	}
	return out
}

// knownTargets returns the targets of a service.
func (a *Agent) knownTargets(service string) []roster.Target {
	if a.registry == nil {
		return a.roster.Snapshot().Targets(service)
	}
	connections := defaultConnections
	if text := a.update.Text(); text != nil {
		if s := text.Service(service); s != nil && s.MaxConnections > 0 {
			connections = s.MaxConnections
		}
	}
	var out []roster.Target
	for _, k := range a.registry.mirror.Targets(service) {
		t := roster.Target{
			Name: k.Name, Service: k.Service, Address: k.Address, Region: k.Region, DataCentre: k.DataCentre,
			Slots: k.Slots, Connections: connections, Start: k.Start, State: gossip.StateReady,
			Since: k.Since, ColdRemaining: k.Cold, Silent: k.Silent,
		}
		if k.State == enrol.Draining {
			t.State = gossip.StateDraining
		}
		out = append(out, t)
	}
	slices.SortFunc(out, func(x, y roster.Target) int { return x.Address.Compare(y.Address) })
	return out
}

// defaultConnections is the number of connections per target if the service does
// not set one.
const defaultConnections = 256
