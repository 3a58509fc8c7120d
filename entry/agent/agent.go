package agent

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/core/eject"
	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/limit"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/mesh"
	"github.com/galenalock/galenalock/core/poison"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/route"
	"github.com/galenalock/galenalock/core/update"
	"github.com/galenalock/galenalock/core/value"
	"github.com/galenalock/galenalock/entry/proxy"
)

const (
	eventQueueLength = 4096 // events
	tickInterval     = 50 * time.Millisecond
	// registryTickInterval replaces tickInterval if control pushes the targets. The
	// health monitor, which needs the shorter one, is not used then.
	registryTickInterval = 100 * time.Millisecond
)

// event changes the control state. It runs on the control goroutine.
type event func(now time.Time)

// Agent manages the control state of an entry.
type Agent struct {
	settings Settings
	hooks    Hooks
	log      *logrus.Entry
	mesh     *mesh.Mesh

	events  chan event
	stopped chan struct{}

	// Accessed only by the control goroutine.
	update         *update.Core
	gossip         *gossip.Core
	roster         *roster.Roster
	leaseTable     *eject.LeaseTable
	upstreams      map[string]*upstream
	drains         value.Set[string]
	orderIndex     uint64
	draining       bool // drained by an operator
	leaving        bool // the process is shutting down
	lastReport     time.Time
	reportDue      bool
	confirmer      *update.Confirmer
	lastFleetCount time.Time
	lastLagLog     time.Time
	lastTick       time.Time
	peersDirty     bool
	peers          []route.Peer
	crashes        crashes
	registry       *registry // nil if targets come from the overlay

	// Shared with traffic goroutines.
	view             atomic.Pointer[proxy.View]
	startupGate      *proxy.StartupGate
	upstreamSnapshot atomic.Pointer[map[string]*upstream]
	controlLinks     atomic.Pointer[conns]
	fleet            atomic.Pointer[Fleet]
	rates            *rates
	tokens           *tokens
	poisons          *poison.Table
	path             path
	lag              update.Lag
	age              *update.Age
	loggedOutdated   bool // the last line about the age of the view told that it is outdated

	suspectReports chan suspectReport // sent by traffic goroutines
}

// New returns an agent that does nothing until Run is called.
func New(s Settings, hooks Hooks, log *logrus.Entry) *Agent {
	a := &Agent{
		settings: s, hooks: hooks, log: log,
		events:  make(chan event, eventQueueLength),
		stopped: make(chan struct{}),
		update:  update.New(s.Start), confirmer: newConfirmer(&s),
		gossip: gossip.New(
			gossip.WithSelf(s.Instance, s.Start, gossip.Instance{
				Role: "entry", Region: s.Region, DataCentre: s.DataCentre, Peer: s.Peer,
			}),
			gossip.WithSeeds(s.OverlaySeeds...),
			gossip.WithRand(rand.New(rand.NewPCG(rand.Uint64(), uint64(s.Start.UnixNano())))),
		),
		roster:         roster.New(roster.WithSelf(s.Instance)),
		leaseTable:     eject.NewLeaseTable(),
		upstreams:      map[string]*upstream{},
		drains:         value.NewSet[string](),
		rates:          newRates(),
		poisons:        poison.New(poison.WithHold(s.Quarantine), poison.WithSpread(quarantineSpread*rand.Float64())),
		suspectReports: make(chan suspectReport, suspectQueueLength),
		startupGate:    proxy.NewStartupGate(s.Start.Add(s.StartupWait)),
		age:            update.NewAge(s.Revoke),
	}
	a.tokens = newTokens(func() conns { return *a.controlLinks.Load() }, log)
	a.crashes.probing = map[*target]bool{}
	if a.hooks.CountAdmission == nil {
		a.hooks.CountAdmission = func(limit.Event) {}
	}
	if a.hooks.Connect == nil {
		a.hooks.Connect = connect
	}
	if s.hasRegistry() {
		a.registry = newRegistry(&s)
		a.update = update.New(s.Start, update.WithControlOnly())
	}
	a.view.Store(&proxy.View{})
	a.upstreamSnapshot.Store(&map[string]*upstream{})
	a.controlLinks.Store(&conns{})
	a.path.tracker = s.Path
	a.fleet.Store(&Fleet{})
	a.mesh = hooks.OpenMesh(
		mesh.WithControlPing(a.settings.controlPing()),
		mesh.WithHello(a.settings.hello),
		mesh.WithHandler(a.handle),
		mesh.WithOverlay(a.overlayLinked, a.overlayUnlinked),
		mesh.WithControl(a.controlLinkChanged),
		mesh.WithDialError(a.linkFailed),
		mesh.WithPanicHook(link.LogPanics(log)),
	)
	return a
}

// Mesh returns the mesh of links to other instances. Its handler accepts new
// links.
func (a *Agent) Mesh() *mesh.Mesh { return a.mesh }

// View returns the current snapshot for the data path.
func (a *Agent) View() *proxy.View { return a.view.Load() }

// Await blocks until the first configuration is active, the startup wait is over
// or ctx ends.
func (a *Agent) Await(ctx context.Context) { a.startupGate.Wait(ctx, time.Now()) }

// Run processes events until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	// A closing link posts an event. stopped must be closed first, because nothing
	// reads the queue any more and post would block.
	defer a.mesh.Close()
	defer close(a.stopped)
	now := time.Now()
	a.restore()
	if a.registry != nil {
		a.planLinks(now)
	} else {
		for _, to := range a.settings.Control {
			a.mesh.KeepControlLink(to)
		}
		a.performGossip(now, a.gossip.SetState(now, gossip.StateReady))
	}
	interval := tickInterval
	if a.registry != nil {
		interval = registryTickInterval
	}
	defer a.startTokens(ctx)()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-a.events:
			e(time.Now())
		case s := <-a.suspectReports:
			a.sendSuspects(time.Now(), s)
		case now := <-ticker.C:
			a.tick(now)
		}
	}
}

// post queues an event for the control goroutine. It blocks while the queue is
// full, which applies backpressure to the link that the event came from.
func (a *Agent) post(e event) {
	select {
	case a.events <- e:
	case <-a.stopped:
	}
}

// tryPost queues an event like post, but drops it if the queue is full. It is meant
// for traffic goroutines, which must not block.
func (a *Agent) tryPost(e event) {
	select {
	case a.events <- e:
	default:
	}
}

// applyAndWait posts an event and waits until it has been applied. It returns
// false if ctx or the agent ended first; the event may still be applied later.
func (a *Agent) applyAndWait(ctx context.Context, e event) bool {
	done := make(chan struct{})
	a.post(func(now time.Time) { e(now); close(done) })
	select {
	case <-done:
		return true
	case <-ctx.Done():
	case <-a.stopped:
	}
	return false
}

// Leave announces the shutdown of the instance, so that its peers take over the
// targets that it owns.
func (a *Agent) Leave(ctx context.Context) {
	a.applyAndWait(ctx, func(now time.Time) {
		a.leaving = true
		if a.registry == nil {
			a.performGossip(now, a.gossip.SetState(now, gossip.StateLeaving))
		}
		a.reportDue = true
		a.report(now)
		a.publish(now)
	})
}

func (a *Agent) tick(now time.Time) {
	a.checkPause(now)
	a.lastTick = now
	if a.registry != nil {
		a.tickRegistry(now)
	} else {
		a.performGossip(now, a.gossip.Tick(now))
		a.performRoster(now, a.roster.Tick(now))
	}
	a.confirm(now)
	a.logLag(now)
	a.logFreshness()
	a.tickUpstreams(now)
	a.tickPath(now)
	a.report(now)
	a.publish(now)
	if now.Sub(a.lastFleetCount) >= time.Second {
		a.lastFleetCount = now
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
