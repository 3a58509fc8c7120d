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
	// lagLimit is how long another replica may be ahead of the primary before
	// the entry pulls from it; a push takes a round trip.
	lagLimit = 250 * time.Millisecond
	// lagFirst is the same for an entry that is not ready yet. Its primary may have
	// lost its disk.
	lagFirst = 50 * time.Millisecond
	// confirmRegistry is the time between confirmations of the revision when
	// control pushes it; each costs a round of the control group.
	confirmRegistry = 30 * time.Second
	// emptyAfter is how long an entry waits for targets before it takes the
	// registry for empty.
	emptyAfter = 2 * time.Second
)

// registry is the state of an entry that takes its targets from control. The
// control goroutine owns it.
type registry struct {
	attach  *attach.Core
	mirror  *enrol.Mirror
	primary *link.Conn
	ahead   map[*link.Conn]*lag
	regions map[string]int // live entries
	filled  bool           // the targets have arrived
}

// lag is what a replica that is not the primary has announced.
type lag struct {
	revision uint64
	targets  uint64
	since    time.Time // since when the entry is behind, zero: it is not
}

func newRegistry(s *Settings) *registry {
	here := attach.Here{Instance: s.Instance, Region: s.Region, DataCentre: s.DataCentre}
	r := &registry{
		attach: attach.New(here, s.Links), mirror: enrol.NewMirror(),
		ahead: map[*link.Conn]*lag{}, regions: map[string]int{},
	}
	r.attach.Seed(s.Attach)
	return r
}

// Reseed replaces the control replicas that the entry asks when it knows no
// others.
func (a *Agent) Reseed(seeds []netip.AddrPort) {
	a.post(func(now time.Time) {
		if a.registry != nil {
			a.registry.attach.Seed(seeds)
			a.log.WithField("seeds", len(seeds)).Info("seeds replaced")
			a.plan(now)
		}
	})
}

// plan opens and ends links as the core of the links wants.
func (a *Agent) plan(now time.Time) {
	dial, drop := a.registry.attach.Plan(now)
	for _, d := range dial {
		to := d.Address
		a.mesh.Attach(to, d.Limit, func(err error) {
			a.post(func(now time.Time) {
				a.log.WithField("to", to.String()).WithField(logs.FieldError, err.Error()).Info("control not reached")
				a.registry.attach.Failed(now, to)
			})
		})
	}
	for _, to := range drop {
		for _, c := range *a.control.Load() {
			if c.Peer().Peer == to {
				c.Close("a nearer replica is linked")
			}
		}
	}
}

// attached follows a link to a control replica.
func (a *Agent) attached(now time.Time, c *link.Conn, open bool) {
	r, peer := a.registry, c.Peer()
	next := slices.DeleteFunc(slices.Clone(*a.control.Load()), func(o *link.Conn) bool { return o == c })
	log := a.log.WithField("peer", peer.Instance)
	if open {
		r.attach.Opened(attach.Replica{Address: peer.Peer, Region: peer.Region, DataCentre: peer.DataCentre})
		r.ahead[c] = &lag{}
		next = append(next, c)
		log.Info("control linked")
	} else {
		r.attach.Closed(now, peer.Peer)
		delete(r.ahead, c)
		a.update.Lost(peer.Instance)
		log.WithField("reason", c.Reason()).Warn("control link ended")
	}
	slices.SortFunc(next, func(x, y *link.Conn) int { return r.attach.Rank(x.Peer().Peer, y.Peer().Peer) })
	next = slices.CompactFunc(next, func(x, y *link.Conn) bool { return x.Peer().Peer == y.Peer().Peer })
	a.control.Store(&next)
	a.follow(now, c, open)
	a.plan(now)
}

// follow makes the nearest replica the primary and tells the others that they
// are not.
func (a *Agent) follow(now time.Time, c *link.Conn, opened bool) {
	r, links := a.registry, *a.control.Load()
	before := r.primary
	r.primary = nil
	if len(links) > 0 {
		r.primary = links[0]
	}
	if opened && c != r.primary {
		_ = c.Send(wire.KindFollow, wire.Follow{Have: r.mirror.Have()}) // a failed send ends the link
	}
	if r.primary == before || r.primary == nil {
		return
	}
	if before != nil && !before.Ended() {
		_ = before.Send(wire.KindFollow, wire.Follow{Have: r.mirror.Have()})
	}
	_ = r.primary.Send(wire.KindFollow, wire.Follow{Primary: true, Have: r.mirror.Have()})
	a.pull(r.primary, a.update.Pull(now, r.primary.Peer().Instance))
	a.reportDue = true
	a.log.WithField("peer", r.primary.Peer().Instance).WithField("targets", r.mirror.Have()).
		WithField("revision", a.update.Number()).Info("primary control")
}

// targets takes rows of the registry, or a digest of them.
func (a *Agent) targets(now time.Time, c *link.Conn, u enrol.Update) {
	r := a.registry
	if len(u.Rows) == 0 && u.Base == u.Index {
		if l := r.ahead[c]; l != nil {
			l.targets = max(l.targets, u.Index)
		}
		return
	}
	changed, ok := r.mirror.Apply(now, u)
	if !ok {
		a.pullTargets(c)
		return
	}
	r.filled = true
	for service := range changed {
		if up := a.upstreams[service]; up != nil {
			up.dirty = true
		}
	}
	if len(changed) > 0 {
		a.log.WithField("targets", r.mirror.Have()).WithField("rows", len(u.Rows)).
			WithField("peer", c.Peer().Instance).Info("targets")
		a.tickUpstreams(now)
	}
}

// pullTargets asks a replica for the rows that the entry lacks.
func (a *Agent) pullTargets(c *link.Conn) {
	have := a.registry.mirror.Have()
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
				a.targets(now, c, u)
			}
		})
	}()
}

// lagging pulls from a replica that has been ahead of the primary for a while.
func (a *Agent) lagging(now time.Time) {
	r := a.registry
	limit := lagLimit
	if !a.view.Load().Ready {
		limit = lagFirst
	}
	for c, l := range r.ahead {
		behind := l.revision > a.update.Number() || l.targets > r.mirror.Have()
		switch {
		case !behind:
			l.since = time.Time{}
		case l.since.IsZero():
			l.since = now
		case now.Sub(l.since) >= limit:
			l.since = time.Time{}
			a.log.WithField("peer", c.Peer().Instance).WithField("revision", l.revision).WithField("targets", l.targets).
				Info("primary lags")
			if l.revision > a.update.Number() {
				a.pull(c, a.update.Pull(now, c.Peer().Instance))
			}
			if l.targets > r.mirror.Have() {
				a.pullTargets(c)
			}
		}
	}
}

// tickRegistry does what the passing of time asks for.
func (a *Agent) tickRegistry(now time.Time) {
	r := a.registry
	a.plan(now)
	a.lagging(now)
	if !r.filled && r.primary != nil && now.Sub(a.settings.Start) >= emptyAfter {
		r.filled = true
	}
}

// replicas takes the list of control replicas.
func (a *Agent) replicas(now time.Time, r wire.Replicas) {
	list := make([]attach.Replica, 0, len(r.List))
	for _, one := range r.List {
		list = append(list, attach.Replica{Address: one.Address, Region: one.Region, DataCentre: one.DataCentre})
	}
	a.registry.attach.Learn(list)
	a.plan(now)
}

// countEntries takes the number of live entries.
func (a *Agent) countEntries(e wire.Entries) {
	a.registry.regions = e.Regions
	a.peersDirty = true
}

// peersOf stands for the live entries of each region. Their names do not matter
// while every entry may use every target; beyond that each entry gets its share
// of the targets, but not the exact one.
func (r *registry) peersOf(self, region string) []route.Peer {
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

// known lists the targets of a service.
func (a *Agent) known(service string) []roster.Target {
	if a.registry == nil {
		return a.roster.Snapshot().Targets(service)
	}
	connections := defaultConnections
	if text := a.update.Text(); text != nil {
		if s := text.Service(service); s != nil && s.Connections > 0 {
			connections = s.Connections
		}
	}
	var out []roster.Target
	for _, k := range a.registry.mirror.Targets(service) {
		t := roster.Target{
			Name: k.Name, Service: k.Service, Address: k.Address, Region: k.Region, DataCentre: k.DataCentre,
			Slots: k.Slots, Connections: connections, Start: k.Start, State: gossip.StateReady,
			Since: k.Since, Cold: k.Cold, Silent: k.Silent,
		}
		if k.State == enrol.Draining {
			t.State = gossip.StateDraining
		}
		out = append(out, t)
	}
	slices.SortFunc(out, func(x, y roster.Target) int { return x.Address.Compare(y.Address) })
	return out
}

// defaultConnections is assumed of targets whose service does not say how many
// connections they accept.
const defaultConnections = 256
