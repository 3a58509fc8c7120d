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
	// Interval is the time between the ticks of a core.
	Interval = 200 * time.Millisecond
	// broken is the time after which a link notices a cut or a crashed peer; it
	// is the bound that core/link puts on its pings.
	broken = 3 * time.Second
)

// Faults are the faults of messages on links.
type Faults struct {
	Loss      float64       // share of messages lost
	Duplicate float64       // share of messages that arrive twice
	Delay     time.Duration // least time on the way
	Jitter    time.Duration // further random time, which reorders messages
}

// Mesh is a fleet in virtual time.
type Mesh struct {
	Faults  Faults
	now     time.Time
	rand    *rand.Rand
	nodes   []*Node
	byName  map[string]*Node
	byAddr  map[netip.AddrPort]*Node
	links   map[pair]int  // open links and their number
	cuts    map[pair]bool // directions that lose everything
	serial  int
	targets int
	events  events
	seeds   []netip.AddrPort
	core    []gossip.Option
	codec   bool
	clock   func() time.Time
	roster  []roster.Option

	lastMessage *gossip.Message
	lastSize    int
}

type pair struct{ from, to string }

func link(a, b string) pair { return pair{min(a, b), max(a, b)} }

// Option configures a mesh.
type Option func(*Mesh)

// WithFaults sets the faults of messages.
func WithFaults(f Faults) Option { return func(m *Mesh) { m.Faults = f } }

// WithCore adds options to each core.
func WithCore(opts ...gossip.Option) Option { return func(m *Mesh) { m.core = opts } }

// WithCodec encodes and decodes each message on its way.
func WithCodec() Option { return func(m *Mesh) { m.codec = true } }

// WithClock measures the processor time of the cores with a real clock.
func WithClock(clock func() time.Time) Option { return func(m *Mesh) { m.clock = clock } }

// WithRoster adds options to each roster.
func WithRoster(opts ...roster.Option) Option { return func(m *Mesh) { m.roster = opts } }

// New returns an empty fleet.
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

// Nodes returns all nodes in the order in which they were added.
func (m *Mesh) Nodes() []*Node { return m.nodes }

// Add starts a node. The first three serve as seeds.
func (m *Mesh) Add(region, dataCentre string) *Node {
	i := len(m.nodes)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
	n := &Node{
		Name:    fmt.Sprintf("entry-%03d", i),
		Address: address,
		Place:   gossip.Instance{Role: wire.RoleEntry, Region: region, DataCentre: dataCentre, Peer: address},
	}
	m.nodes = append(m.nodes, n)
	m.byName[n.Name], m.byAddr[address] = n, n
	if i < 3 {
		m.seeds = append(m.seeds, address)
	}
	m.boot(n)
	return n
}

// Crash stops a node without notice.
func (m *Mesh) Crash(n *Node) {
	if !n.Up {
		return
	}
	n.Up = false
	for _, other := range m.nodes {
		m.fail(n.Name, other.Name)
	}
}

// Restart gives a node an empty core and a new incarnation. Its new process
// resets the old links.
func (m *Mesh) Restart(n *Node) {
	m.Crash(n)
	for _, other := range m.nodes {
		m.unlink(n.Name, other.Name, m.links[link(n.Name, other.Name)])
	}
	m.boot(n)
}

// Cut makes one direction between two nodes lose everything.
func (m *Mesh) Cut(from, to *Node) {
	m.cuts[pair{from.Name, to.Name}] = true
	m.fail(from.Name, to.Name)
}

// Heal ends all cuts.
func (m *Mesh) Heal() { clear(m.cuts) }

// Run lets virtual time pass.
func (m *Mesh) Run(d time.Duration) {
	end := m.now.Add(d)
	for len(m.events) > 0 && !m.events[0].at.After(end) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	m.now = end
}

// Step calls a core and carries out its actions.
func (m *Mesh) Step(n *Node, call func() []gossip.Action) {
	var actions []gossip.Action
	m.measure(n, func() { actions = call() })
	for _, a := range actions {
		m.act(n, a)
	}
}

func (m *Mesh) measure(n *Node, call func()) {
	if m.clock == nil {
		call()
		return
	}
	begin := m.clock()
	call()
	n.Busy += m.clock().Sub(begin)
}

func (m *Mesh) act(n *Node, a gossip.Action) {
	switch a.Do {
	case gossip.Send:
		m.send(n, a.To, a.Message)
	case gossip.Dial:
		m.dial(n, a.Address)
	case gossip.Drop:
		m.unlink(n.Name, a.To, m.links[link(n.Name, a.To)])
	case gossip.Change:
		m.register(n, func() []roster.Action { return n.Roster.Learn(m.now, a.Record) })
	}
}

func (m *Mesh) send(n *Node, to string, message *gossip.Message) {
	n.Traffic.Messages++
	n.Traffic.Bytes += m.size(message)
	serial, open := m.links[link(n.Name, to)]
	if !open || m.cuts[pair{n.Name, to}] || m.rand.Float64() < m.Faults.Loss {
		return
	}
	m.deliver(n.Name, m.byName[to], serial, message)
	if m.rand.Float64() < m.Faults.Duplicate {
		m.deliver(n.Name, m.byName[to], serial, message)
	}
}

// deliver hands a message over unless its link has closed on the way.
func (m *Mesh) deliver(from string, to *Node, serial int, message *gossip.Message) {
	if m.codec {
		message = recode(message)
	}
	life := to.life
	m.at(m.delay(), func() {
		if m.links[link(from, to.Name)] == serial && to.life == life && to.Up {
			m.Step(to, func() []gossip.Action { return to.Core.Receive(m.now, from, message) })
		}
	})
}

func recode(message *gossip.Message) *gossip.Message {
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

// dial opens a link after a round trip when both directions work.
func (m *Mesh) dial(n *Node, address netip.AddrPort) {
	to := m.byAddr[address]
	if to == nil || to == n {
		return
	}
	lives := [2]int{n.life, to.life}
	m.at(2*m.delay(), func() {
		if !n.Up || !to.Up || lives != [2]int{n.life, to.life} || m.cuts[pair{n.Name, to.Name}] || m.cuts[pair{to.Name, n.Name}] {
			return
		}
		l := link(n.Name, to.Name)
		if _, open := m.links[l]; !open {
			m.serial++
			m.links[l] = m.serial
			m.Step(to, func() []gossip.Action { return to.Core.Linked(m.now, n.Name, false) })
		}
		m.Step(n, func() []gossip.Action { return n.Core.Linked(m.now, to.Name, true) })
	})
}

// fail closes a link after the time in which its ends notice.
func (m *Mesh) fail(a, b string) {
	if serial, open := m.links[link(a, b)]; open {
		m.at(broken, func() { m.unlink(a, b, serial) })
	}
}

func (m *Mesh) unlink(a, b string, serial int) {
	l := link(a, b)
	if serial == 0 || m.links[l] != serial {
		return
	}
	delete(m.links, l)
	for _, ends := range [2]pair{{a, b}, {b, a}} {
		if n := m.byName[ends.from]; n.Up {
			m.Step(n, func() []gossip.Action { return n.Core.Unlinked(m.now, ends.to) })
		}
	}
}

// Connected returns the running nodes that open links join to n, with n.
func (m *Mesh) Connected(n *Node) []*Node {
	seen := map[*Node]bool{n: true}
	out := []*Node{n}
	for i := 0; i < len(out); i++ {
		for _, name := range out[i].Core.Peers() {
			next := m.byName[name]
			works := !m.cuts[pair{out[i].Name, name}] && !m.cuts[pair{name, out[i].Name}]
			if _, open := m.links[link(out[i].Name, name)]; open && works && next.Up && !seen[next] {
				seen[next] = true
				out = append(out, next)
			}
		}
	}
	return out
}
