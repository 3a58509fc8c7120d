package mesh

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/wire"
)

// Node is a simulated instance.
type Node struct {
	Name        string
	Address     netip.AddrPort
	Description gossip.Instance
	Core        *gossip.Core
	Roster      *roster.Roster
	Up          bool
	Traffic     Traffic
	StepTime    time.Duration // elapsed time of calls of Core and Roster, see WithClock

	incarnation int // events scheduled for earlier incarnations are dropped
}

// Traffic counts the messages that a node has sent.
type Traffic struct {
	Messages int
	Bytes    int // of encoded messages, including the envelope of package wire
}

// startCore starts a new incarnation of a node with a new core and roster.
func (m *Mesh) startCore(n *Node) {
	n.incarnation++
	n.Up = true
	opts := []gossip.Option{
		gossip.WithSelf(n.Name, m.now, n.Description),
		gossip.WithSeeds(m.seeds...),
		gossip.WithRand(rand.New(rand.NewPCG(m.rand.Uint64(), m.rand.Uint64()))),
	}
	n.Core = gossip.New(append(opts, m.coreOptions...)...)
	n.Roster = roster.New(append([]roster.Option{roster.WithSelf(n.Name)}, m.rosterOptions...)...)
	m.Step(n, func() []gossip.Action { return n.Core.SetState(m.now, gossip.StateReady) })
	m.tick(n, n.incarnation, time.Duration(m.rand.Int64N(int64(Interval))))
}

// tick ticks a node after a delay and from then on every Interval.
func (m *Mesh) tick(n *Node, incarnation int, after time.Duration) {
	m.schedule(after, func() {
		if n.incarnation != incarnation || !n.Up {
			return
		}
		m.Step(n, func() []gossip.Action { return n.Core.Tick(m.now) })
		m.stepRoster(n, func() []roster.Action { return n.Roster.Tick(m.now) })
		m.tick(n, incarnation, Interval)
	})
}

// size returns the encoded size of a message. It caches the last result, since a
// flood sends the same message over several links.
func (m *Mesh) size(message *gossip.Message) int {
	if message == m.lastMessage {
		return m.lastSize
	}
	body, err := message.Encode()
	if err != nil {
		panic(err) // cores produce only messages that encode
	}
	frame, err := wire.Encode(wire.Message{Kind: wire.KindGossip, Body: body})
	if err != nil {
		panic(err)
	}
	m.lastMessage, m.lastSize = message, len(frame)
	return len(frame)
}
