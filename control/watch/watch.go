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
	queueLength = 4096 // events
	tickEvery   = 100 * time.Millisecond
)

type event func(now time.Time)

// Watch follows the targets of the fleet at a control replica.
type Watch struct {
	log    *logrus.Entry
	mesh   *mesh.Mesh
	events chan event
	over   chan struct{}

	gossip  *gossip.Core // owned by Run
	roster  *roster.Roster
	targets atomic.Pointer[roster.Snapshot]

	ejector ejector // owned by the goroutine of the fleet
}

// Settings describe the replica.
type Settings struct {
	Hello  wire.Hello         // introduces the replica; its Replica number is not used
	Seeds  []netip.AddrPort   // peer addresses of the other replicas
	Note   func(event string) // counts events in the life of targets, may be nil
	Mesh   []mesh.Option      // TLS and counters
	Handle link.Handler       // receives what is not gossip
}

// New returns a watch. Run starts its work.
func New(s Settings, log *logrus.Entry) *Watch {
	// A hello with the number of a replica would make the link one of the
	// replicated log.
	s.Hello.Replica = 0
	w := &Watch{
		log: log, events: make(chan event, queueLength), over: make(chan struct{}),
		gossip: gossip.New(
			gossip.WithSelf(s.Hello.Instance, s.Hello.Start, gossip.Instance{
				Role: wire.RoleControl, Region: s.Hello.Region, DataCentre: s.Hello.DataCentre, Peer: s.Hello.Peer,
			}),
			gossip.WithSeeds(s.Seeds...),
			gossip.WithRand(rand.New(rand.NewPCG(rand.Uint64(), uint64(s.Hello.Start.UnixNano())))),
		),
		roster: roster.New(roster.WithSelf(s.Hello.Instance)),
	}
	w.ejector.note = s.Note
	w.ejector.log = log
	w.targets.Store(w.roster.Snapshot())
	opts := append([]mesh.Option{
		mesh.WithHello(func() wire.Hello { return s.Hello }),
		mesh.WithOverlay(w.linked, w.unlinked),
		mesh.WithDialError(func(_ wire.Use, err error) {
			log.WithField(logs.FieldError, err.Error()).Debug("overlay link failed")
		}),
		mesh.WithHandler(func(c *link.Conn, m wire.Message) (any, error) {
			if m.Kind == wire.KindGossip {
				return nil, w.Receive(c, m.Body)
			}
			return s.Handle(c, m)
		}),
	}, s.Mesh...)
	w.mesh = mesh.New(opts...)
	return w
}

// Adopt takes in an accepted overlay link, Release its end.
func (w *Watch) Adopt(c *link.Conn) { w.mesh.Adopt(c) }

// Release ends what Adopt began.
func (w *Watch) Release(c *link.Conn) { w.mesh.Release(c) }

// Receive takes a message of the overlay.
func (w *Watch) Receive(c *link.Conn, body []byte) error {
	message, err := gossip.Decode(body)
	if err != nil {
		return err
	}
	w.post(func(now time.Time) { w.perform(now, w.gossip.Receive(now, c.Peer().Instance, message)) })
	return nil
}

// Targets returns the newest snapshot of the targets.
func (w *Watch) Targets() *roster.Snapshot { return w.targets.Load() }

// Run works until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	// Links report their end to this goroutine, so the queue must be declared
	// over before the links are closed.
	defer w.mesh.Close()
	defer close(w.over)
	now := time.Now()
	w.perform(now, w.gossip.SetState(now, gossip.StateReady))
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-w.events:
			e(time.Now())
		case now := <-ticker.C:
			w.perform(now, w.gossip.Tick(now))
			w.carry(now, w.roster.Tick(now))
			w.targets.Store(w.roster.Snapshot())
		}
	}
}

func (w *Watch) post(e event) {
	select {
	case w.events <- e:
	case <-w.over:
	}
}

func (w *Watch) linked(name string, dialed bool) {
	w.post(func(now time.Time) { w.perform(now, w.gossip.Linked(now, name, dialed)) })
}

func (w *Watch) unlinked(name string) {
	w.post(func(now time.Time) { w.perform(now, w.gossip.Unlinked(now, name)) })
}

func (w *Watch) perform(now time.Time, actions []gossip.Action) {
	for _, action := range actions {
		switch action.Type {
		case gossip.Send:
			w.mesh.Send(action.To, wire.KindGossip, action.Message)
		case gossip.Dial:
			w.mesh.Dial(action.Address)
		case gossip.Drop:
			w.mesh.Drop(action.To)
		case gossip.Change:
			w.carry(now, w.roster.Learn(now, action.Record))
		case gossip.Pull:
			// The replicated log is where a replica has its revisions from.
		}
	}
}

// carry publishes what the roster corrects. A replica owns no targets, so
// nothing is forwarded.
func (w *Watch) carry(now time.Time, actions []roster.Action) {
	for _, action := range actions {
		if action.Type == roster.Publish {
			w.perform(now, w.gossip.Put(now, action.Record))
		}
	}
}
