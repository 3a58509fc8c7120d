package agent

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/core/eject"
	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/mesh"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/update"
	"github.com/galenalock/galenalock/core/value"
	"github.com/galenalock/galenalock/entry/proxy"
)

const (
	queueLength = 4096 // events
	tickEvery   = 50 * time.Millisecond
)

// event is a change of the control state, applied by the control goroutine.
type event func(now time.Time)

// Agent owns the control state of an entry.
type Agent struct {
	settings Settings
	hooks    Hooks
	log      *logrus.Entry
	mesh     *mesh.Mesh

	events chan event
	over   chan struct{}

	// Owned by the control goroutine.
	update     *update.Core
	gossip     *gossip.Core
	roster     *roster.Roster
	keeper     *eject.Keeper
	upstreams  map[string]*upstream
	drains     value.Set[string]
	orderIndex uint64
	draining   bool // drained by an operator
	leaving    bool // the process is stopping
	reported   time.Time
	reportDue  bool
	confirmed  time.Time
	confirming bool
	refreshed  time.Time
	ticked     time.Time
	peersDirty bool
	peers      []route.Peer
	registry   *registry // nil with an overlay

	// Read by traffic goroutines.
	view    atomic.Pointer[proxy.View]
	start   *proxy.StartupGate
	routes  atomic.Pointer[map[string]*upstream]
	control atomic.Pointer[conns]
	fleet   atomic.Pointer[Fleet]
	rates   *rates

	sightings chan sighting // from traffic goroutines
}

// New returns an agent. Run starts its work.
func New(s Settings, hooks Hooks, log *logrus.Entry) *Agent {
	a := &Agent{
		settings: s, hooks: hooks, log: log,
		events: make(chan event, queueLength),
		over:   make(chan struct{}),
		update: update.New(s.Start),
		gossip: gossip.New(
			gossip.WithSelf(s.Instance, s.Start, gossip.Instance{
				Role: "entry", Region: s.Region, DataCentre: s.DataCentre, Peer: s.Peer,
			}),
			gossip.WithSeeds(s.Seeds...),
			gossip.WithRand(rand.New(rand.NewPCG(rand.Uint64(), uint64(s.Start.UnixNano())))),
		),
		roster:    roster.New(roster.WithSelf(s.Instance)),
		keeper:    eject.NewKeeper(),
		upstreams: map[string]*upstream{},
		drains:    value.NewSet[string](),
		rates:     newRates(),
		sightings: make(chan sighting, suspectQueue),
		start:     proxy.NewStartupGate(s.Start.Add(s.Wait)),
	}
	if len(s.Attach) > 0 {
		a.registry = newRegistry(&s)
		a.update = update.New(s.Start, update.WithControlOnly())
	}
	a.view.Store(&proxy.View{})
	a.routes.Store(&map[string]*upstream{})
	a.control.Store(&conns{})
	a.fleet.Store(&Fleet{})
	a.mesh = hooks.Mesh(
		mesh.WithHello(a.settings.hello),
		mesh.WithHandler(a.handle),
		mesh.WithOverlay(a.linked, a.unlinked),
		mesh.WithKept(a.keptLink),
		mesh.WithFailed(a.linkFailed),
	)
	return a
}

// Mesh returns the links of the instance; its handler accepts new ones.
func (a *Agent) Mesh() *mesh.Mesh { return a.mesh }

// View returns the current snapshot for the data path.
func (a *Agent) View() *proxy.View { return a.view.Load() }

// Await waits for the first configuration of an instance that has just started.
func (a *Agent) Await(ctx context.Context) { a.start.Wait(ctx, time.Now()) }

// Run works until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	// Links report their end to the control goroutine, so the queue must be
	// declared over before the links are closed.
	defer a.mesh.Close()
	defer close(a.over)
	now := time.Now()
	a.restore()
	if a.registry != nil {
		a.plan(now)
	} else {
		for _, to := range a.settings.Control {
			a.mesh.Keep(to)
		}
		a.perform(now, a.gossip.SetState(now, gossip.StateReady))
	}
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-a.events:
			e(time.Now())
		case s := <-a.sightings:
			a.tellSuspects(time.Now(), s)
		case now := <-ticker.C:
			a.tick(now)
		}
	}
}

// post hands an event to the control goroutine. A full queue blocks, which
// slows down the link that the event came from.
func (a *Agent) post(e event) {
	select {
	case a.events <- e:
	case <-a.over:
	}
}

// await posts an event and waits until it has been applied; false means that
// it was not.
func (a *Agent) await(ctx context.Context, e event) bool {
	done := make(chan struct{})
	a.post(func(now time.Time) { e(now); close(done) })
	select {
	case <-done:
		return true
	case <-ctx.Done():
	case <-a.over:
	}
	return false
}

// Leave announces that the instance is about to stop, so that its peers take
// over what it owns.
func (a *Agent) Leave(ctx context.Context) {
	a.await(ctx, func(now time.Time) {
		a.leaving = true
		if a.registry == nil {
			a.perform(now, a.gossip.SetState(now, gossip.StateLeaving))
		}
		a.reportDue = true
		a.report(now)
		a.publish(now)
	})
}

func (a *Agent) tick(now time.Time) {
	a.checkPause(now)
	a.ticked = now
	if a.registry != nil {
		a.tickRegistry(now)
	} else {
		a.perform(now, a.gossip.Tick(now))
		a.performRoster(now, a.roster.Tick(now))
	}
	a.confirm(now)
	a.tickUpstreams(now)
	a.report(now)
	a.publish(now)
	if now.Sub(a.refreshed) >= time.Second {
		a.refreshed = now
		a.fleet.Store(a.countFleet())
	}
}

func (a *Agent) countFleet() *Fleet {
	if r := a.registry; r != nil {
		f := &Fleet{Targets: r.mirror.Len()}
		for _, n := range r.regions {
			f.Instances += n
		}
		return f
	}
	return &Fleet{Instances: len(a.roster.Instances()), Targets: a.roster.Snapshot().Len()}
}
