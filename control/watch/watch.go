package watch

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/logs"
	"github.com/galenalock/galenalock/core/mesh"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	eventQueueLength = 4096 // events
	tickInterval     = 100 * time.Millisecond
)

type event func(now time.Time)

// Watcher follows the targets of the fleet on a control replica and decides
// ejections while the replica leads.
type Watcher struct {
	log     *logrus.Entry
	mesh    *mesh.Mesh
	events  chan event
	stopped chan struct{}

	gossip  *gossip.Core // owned by Run
	roster  *roster.Roster
	targets atomic.Pointer[roster.Snapshot]

	ejector ejector // owned by the goroutine of the fleet, as are the methods that use it
}

// Settings are the settings of a Watcher.
type Settings struct {
	Hello       wire.Hello         // hello message of the replica; its Replica number is not used
	Seeds       []netip.AddrPort   // peer addresses of the other replicas
	OnEvent     func(event string) // called with each change of a target's ejection state, may be nil
	MeshOptions []mesh.Option      // further options, such as TLS and counters
	Handle      link.Handler       // handles messages other than gossip
}

// New returns a watcher, which Run starts.
func New(settings Settings, log *logrus.Entry) *Watcher {
	// Peers would use a link whose hello has a replica number for messages of
	// the replicated log.
	settings.Hello.Replica = 0
	w := &Watcher{
		log: log, events: make(chan event, eventQueueLength), stopped: make(chan struct{}),
		gossip: gossip.New(
			gossip.WithSelf(settings.Hello.Instance, settings.Hello.Start, gossip.Instance{
				Role: wire.RoleControl, Region: settings.Hello.Region, DataCentre: settings.Hello.DataCentre, Peer: settings.Hello.PeerAddress,
			}),
			gossip.WithSeeds(settings.Seeds...),
			gossip.WithRand(rand.New(rand.NewPCG(rand.Uint64(), uint64(settings.Hello.Start.UnixNano())))),
		),
		roster: roster.New(roster.WithSelf(settings.Hello.Instance)),
	}
	w.ejector.onEvent = settings.OnEvent
	w.ejector.log = log
	w.targets.Store(w.roster.Snapshot())
	opts := append([]mesh.Option{
		mesh.WithHello(func() wire.Hello { return settings.Hello }),
		mesh.WithOverlay(w.overlayLinked, w.overlayUnlinked),
		mesh.WithDialError(func(_ wire.Use, err error) {
			log.WithField(logs.FieldError, err.Error()).Debug("overlay link failed")
		}),
		mesh.WithPanicHook(link.LogPanics(log)),
		mesh.WithHandler(func(c *link.Conn, m wire.Message) (any, error) {
			if m.Kind == wire.KindGossip {
				return nil, w.Receive(c, m.Body)
			}
			return settings.Handle(c, m)
		}),
	}, settings.MeshOptions...)
	w.mesh = mesh.New(opts...)
	return w
}

// Adopt adds an overlay link that the replica accepted.
func (w *Watcher) Adopt(c *link.Conn) { w.mesh.Adopt(c) }

// Release removes a link added by Adopt. It must be called when the link has
// ended.
func (w *Watcher) Release(c *link.Conn) { w.mesh.Release(c) }

// Receive decodes a gossip message and queues it for Run.
func (w *Watcher) Receive(c *link.Conn, body []byte) error {
	message, err := gossip.Decode(body)
	if err != nil {
		return err
	}
	w.post(func(now time.Time) { w.performGossip(now, w.gossip.Receive(now, c.Peer().Instance, message)) })
	return nil
}

// Targets returns the newest snapshot of the targets.
func (w *Watcher) Targets() *roster.Snapshot { return w.targets.Load() }

// Run runs the overlay until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	// Links that close report to this goroutine, so stopped must be closed
	// before them; otherwise they could block on a full queue.
	defer w.mesh.Close()
	defer close(w.stopped)
	now := time.Now()
	w.performGossip(now, w.gossip.SetState(now, gossip.StateReady))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-w.events:
			e(time.Now())
		case now := <-ticker.C:
			w.performGossip(now, w.gossip.Tick(now))
			w.performRoster(now, w.roster.Tick(now))
			w.targets.Store(w.roster.Snapshot())
		}
	}
}

func (w *Watcher) post(e event) {
	select {
	case w.events <- e:
	case <-w.stopped:
	}
}

func (w *Watcher) overlayLinked(name string, dialed bool) {
	w.post(func(now time.Time) { w.performGossip(now, w.gossip.Linked(now, name, dialed)) })
}

func (w *Watcher) overlayUnlinked(name string) {
	w.post(func(now time.Time) { w.performGossip(now, w.gossip.Unlinked(now, name)) })
}

func (w *Watcher) performGossip(now time.Time, actions []gossip.Action) {
	for _, action := range actions {
		switch action.Type {
		case gossip.Send:
			w.mesh.Send(action.To, wire.KindGossip, action.Message)
		case gossip.Dial:
			w.mesh.Dial(action.Address)
		case gossip.Drop:
			w.mesh.Drop(action.To)
		case gossip.Change:
			w.performRoster(now, w.roster.Learn(now, action.Record))
		case gossip.Pull:
			// A replica gets its revisions from the replicated log.
		}
	}
}

// performRoster publishes the records that the roster corrects. A replica owns no
// targets, so other actions are ignored.
func (w *Watcher) performRoster(now time.Time, actions []roster.Action) {
	for _, action := range actions {
		if action.Type == roster.Publish {
			w.performGossip(now, w.gossip.Put(now, action.Record))
		}
	}
}
