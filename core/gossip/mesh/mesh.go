package mesh

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/gossip"
	"github.com/galenalock/galenalock/core/roster"
	"github.com/galenalock/galenalock/core/wire"
)

const (
	// Interval is the time between ticks of a core.
	Interval = 200 * time.Millisecond
	// linkTimeout is the time after which a link notices a cut or a crashed peer.
	// It equals the default ping timeout of core/link.
	linkTimeout = 3 * time.Second
)

// Faults configures the message faults of links.
type Faults struct {
	Loss      float64       // share of messages lost
	Duplicate float64       // share of messages that arrive twice
	Delay     time.Duration // minimum latency
	Jitter    time.Duration // maximum random latency in addition, which reorders messages
}

// Mesh is a simulated fleet.
type Mesh struct {
	Faults        Faults
	now           time.Time
	rand          *rand.Rand
	nodes         []*Node
	byName        map[string]*Node
	byAddr        map[netip.AddrPort]*Node
	links         map[pair]int  // serial numbers of open links
	cuts          map[pair]bool // directions in which all messages are lost
	serial        int
	targets       int
	events        events
	seeds         []netip.AddrPort
	coreOptions   []gossip.Option
	codec         bool
	clock         func() time.Time
	rosterOptions []roster.Option

	lastMessage *gossip.Message
	lastSize    int
}

type pair struct{ from, to string }

func linkKey(a, b string) pair { return pair{min(a, b), max(a, b)} }

// Option configures a Mesh.
type Option func(*Mesh)

// WithFaults sets the message faults.
func WithFaults(f Faults) Option { return func(m *Mesh) { m.Faults = f } }

// WithCore adds options for each core.
func WithCore(opts ...gossip.Option) Option { return func(m *Mesh) { m.coreOptions = opts } }

// WithCodec makes links encode and decode each message.
func WithCodec() Option { return func(m *Mesh) { m.codec = true } }

// WithClock sets the real clock that measures the time spent in cores and rosters.
func WithClock(clock func() time.Time) Option { return func(m *Mesh) { m.clock = clock } }

// WithRoster adds options for each roster.
func WithRoster(opts ...roster.Option) Option { return func(m *Mesh) { m.rosterOptions = opts } }

// New returns a fleet without nodes.
func New(seed uint64, opts ...Option) *Mesh {
	m := &Mesh{
		Faults: Faults{Delay: time.Millisecond},
		now:    time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		rand:   rand.New(rand.NewPCG(seed, 0)),
		byName: map[string]*Node{},
		byAddr: map[netip.AddrPort]*Node{},
		links:  map[pair]int{},
		cuts:   map[pair]bool{},
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Now returns the virtual time.
func (m *Mesh) Now() time.Time { return m.now }

// Nodes returns all nodes, including crashed ones, in the order in which they were
// added.
func (m *Mesh) Nodes() []*Node { return m.nodes }

// Add adds a node and starts it. The first three nodes serve as seeds.
func (m *Mesh) Add(region, dataCentre string) *Node {
	i := len(m.nodes)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
	n := &Node{
		Name:        fmt.Sprintf("entry-%03d", i),
		Address:     address,
		Description: gossip.Instance{Role: wire.RoleEntry, Region: region, DataCentre: dataCentre, Peer: address},
	}
	m.nodes = append(m.nodes, n)
	m.byName[n.Name], m.byAddr[address] = n, n
	if i < 3 {
		m.seeds = append(m.seeds, address)
	}
	m.startCore(n)
	return n
}

// Crash stops a node without a leaving announcement.
func (m *Mesh) Crash(n *Node) {
	if !n.Up {
		return
	}
	n.Up = false
	for _, other := range m.nodes {
		m.failLink(n.Name, other.Name)
	}
}

// Restart starts a new incarnation of a node with an empty core. Its old links
// end at once, as a restarted process resets the old connections.
func (m *Mesh) Restart(n *Node) {
	m.Crash(n)
	for _, other := range m.nodes {
		m.unlink(n.Name, other.Name, m.links[linkKey(n.Name, other.Name)])
	}
	m.startCore(n)
}

// Cut makes one direction between two nodes lose all messages.
func (m *Mesh) Cut(from, to *Node) {
	m.cuts[pair{from.Name, to.Name}] = true
	m.failLink(from.Name, to.Name)
}

// Heal removes all cuts.
func (m *Mesh) Heal() { clear(m.cuts) }

// Run advances virtual time by d and runs the events that fall due.
func (m *Mesh) Run(d time.Duration) {
	end := m.now.Add(d)
	for len(m.events) > 0 && !m.events[0].at.After(end) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	m.now = end
}

// Step calls the core of a node and carries out the resulting actions.
func (m *Mesh) Step(n *Node, call func() []gossip.Action) {
	var actions []gossip.Action
	m.measure(n, func() { actions = call() })
	for _, a := range actions {
		m.perform(n, a)
	}
}

func (m *Mesh) measure(n *Node, call func()) {
	if m.clock == nil {
		call()
		return
	}
	begin := m.clock()
	call()
	n.StepTime += m.clock().Sub(begin)
}

func (m *Mesh) perform(n *Node, a gossip.Action) {
	switch a.Type {
	case gossip.Send:
		m.send(n, a.To, a.Message)
	case gossip.Dial:
		m.dial(n, a.Address)
	case gossip.Drop:
		m.unlink(n.Name, a.To, m.links[linkKey(n.Name, a.To)])
	case gossip.Change:
		m.stepRoster(n, func() []roster.Action { return n.Roster.Learn(m.now, a.Record) })
	}
}

func (m *Mesh) send(n *Node, to string, message *gossip.Message) {
	n.Traffic.Messages++
	n.Traffic.Bytes += m.size(message)
	serial, open := m.links[linkKey(n.Name, to)]
	if !open || m.cuts[pair{n.Name, to}] || m.rand.Float64() < m.Faults.Loss {
		return
	}
	m.deliver(n.Name, m.byName[to], serial, message)
	if m.rand.Float64() < m.Faults.Duplicate {
		m.deliver(n.Name, m.byName[to], serial, message)
	}
}

// deliver delivers a message after the link latency, unless the link has closed
// or the receiver has restarted by then.
func (m *Mesh) deliver(from string, to *Node, serial int, message *gossip.Message) {
	if m.codec {
		message = encodeAndDecode(message)
	}
	incarnation := to.incarnation
	m.schedule(m.delay(), func() {
		if m.links[linkKey(from, to.Name)] == serial && to.incarnation == incarnation && to.Up {
			m.Step(to, func() []gossip.Action { return to.Core.Receive(m.now, from, message) })
		}
	})
}

func encodeAndDecode(message *gossip.Message) *gossip.Message {
	data, err := message.Encode()
	if err != nil {
		panic(err)
	}
	out, err := gossip.Decode(data)
	if err != nil {
		panic(err)
	}
	return out
}

func (m *Mesh) delay() time.Duration {
	d := m.Faults.Delay
	if m.Faults.Jitter > 0 {
		d += time.Duration(m.rand.Int64N(int64(m.Faults.Jitter)))
	}
	return d
}

// dial opens a link after one round trip if both directions work.
func (m *Mesh) dial(n *Node, address netip.AddrPort) {
	to := m.byAddr[address]
	if to == nil || to == n {
		return
	}
	incarnations := [2]int{n.incarnation, to.incarnation}
	m.schedule(2*m.delay(), func() {
		if !n.Up || !to.Up || incarnations != [2]int{n.incarnation, to.incarnation} || m.cuts[pair{n.Name, to.Name}] || m.cuts[pair{to.Name, n.Name}] {
			return
		}
		key := linkKey(n.Name, to.Name)
		if _, open := m.links[key]; !open {
			m.serial++
			m.links[key] = m.serial
			m.Step(to, func() []gossip.Action { return to.Core.Linked(m.now, n.Name, false) })
		}
		m.Step(n, func() []gossip.Action { return n.Core.Linked(m.now, to.Name, true) })
	})
}

// failLink closes a link after linkTimeout.
func (m *Mesh) failLink(a, b string) {
	if serial, open := m.links[linkKey(a, b)]; open {
		m.schedule(linkTimeout, func() { m.unlink(a, b, serial) })
	}
}

func (m *Mesh) unlink(a, b string, serial int) {
	key := linkKey(a, b)
	if serial == 0 || m.links[key] != serial {
		return
	}
	delete(m.links, key)
	for _, ends := range [2]pair{{a, b}, {b, a}} {
		if n := m.byName[ends.from]; n.Up {
			m.Step(n, func() []gossip.Action { return n.Core.Unlinked(m.now, ends.to) })
		}
	}
}

// Connected returns n and all running nodes that it reaches over open links
// without cuts.
func (m *Mesh) Connected(n *Node) []*Node {
	seen := map[*Node]bool{n: true}
	out := []*Node{n}
	for i := 0; i < len(out); i++ {
		for _, name := range out[i].Core.Peers() {
			next := m.byName[name]
			works := !m.cuts[pair{out[i].Name, name}] && !m.cuts[pair{name, out[i].Name}]
			if _, open := m.links[linkKey(out[i].Name, name)]; open && works && next.Up && !seen[next] {
				seen[next] = true
				out = append(out, next)
			}
		}
	}
	return out
}
