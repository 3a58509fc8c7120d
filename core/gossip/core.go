package gossip

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

// Times of the protocol.
const (
	// DigestInterval is the time between digests on a link. A difference seen in
	// two of them is repaired, so a lost change is found within about 2 s, below
	// the 5 s in which a leaving target must be known.
	DigestInterval = time.Second
	sweepInterval  = 10 * time.Second
	// connectInterval bounds the processor time for shells that tick more often.
	connectInterval = 200 * time.Millisecond
	// joinLimit bounds how long a new instance waits for its first exchange
	// before it links to its ring successors.
	joinLimit = 2 * time.Second
	// refuteInterval bounds the flooding by two instances that were started with
	// the same name.
	refuteInterval = 500 * time.Millisecond
)

// Core is the replica of all records on one instance. It is not safe for
// concurrent use.
type Core struct {
	name  string
	start time.Time
	body  Instance
	seeds []netip.AddrPort
	rand  *rand.Rand
	newer func(stored, arrived *Record) bool
	bury  func(*Record) bool

	table  *table
	circle circle
	peers  map[string]*peer
	wanted map[string]*wanted
	order  []string // names of peers, sorted
	self   *Record
	number uint64
	sum    uint64

	joined   bool
	born     time.Time
	repair   repair
	suspects map[string]time.Time // suspected instances and when they are considered gone
	lost     []netip.AddrPort     // peer addresses of instances that disappeared, newest last
	refuted  time.Time
	recent   []change

	nextConnect time.Time
	nextDigest  time.Time
	nextSweep   time.Time
	nextRejoin  time.Time

	out   []Action
	news  []*Record // learned from source in this step
	own   []*Record // made in this step
	from  string
	stats Stats
}

// Stats counts what a core has seen.
type Stats struct {
	Live       int // records that are not tombstones
	Tombstones int
	Dropped    int // records refused because of a bound
	Repairs    int // exchanges of bucket digests begun
	Suspicions int // suspicions raised
	Refuted    int // suspicions of the own instance refuted
	Duplicate  int // live records of another instance with the own name
}

// New returns a core that holds only its own record, in state cold.
func New(opts ...Option) *Core {
	c := &Core{
		rand:     rand.New(rand.NewPCG(1, 1)),
		newer:    Newer,
		bury:     func(*Record) bool { return true },
		table:    newTable(),
		peers:    map[string]*peer{},
		wanted:   map[string]*wanted{},
		suspects: map[string]time.Time{},
	}
	for _, o := range opts {
		o(c)
	}
	body, err := wire.Encode(c.body)
	if err != nil {
		panic(err) // a struct of strings and an address always encodes
	}
	c.self = &Record{Key: c.name, Kind: KindInstance, Start: c.start, Seq: 1, State: StateCold, Body: body}
	c.table.put(c.self.id(), c.self, c.start)
	c.circle.add(c.name)
	return c
}

// SetState publishes a new state of the own instance.
func (c *Core) SetState(now time.Time, state State) []Action {
	if c.self.State == state {
		return nil
	}
	next := *c.self
	next.State = state
	next.Seq++
	return c.Put(now, &next)
}

// Put publishes a record that this instance is responsible for. An older one
// than the known one is ignored.
func (c *Core) Put(now time.Time, r *Record) []Action {
	if r.check() == nil && c.merge(now, r) {
		c.own = append(c.own, r)
	}
	return c.take(now)
}

// Revise sets the revision of the service text that the instance holds.
func (c *Core) Revise(number, sum uint64) { c.number, c.sum = number, sum }

// Receive takes in a message of a linked instance.
func (c *Core) Receive(now time.Time, from string, m *Message) []Action {
	if m.check() != nil {
		return nil
	}
	c.from = from
	for _, r := range m.Records {
		c.learn(now, r)
	}
	if m.Digest != nil {
		c.compare(now, from, *m.Digest)
	}
	if len(m.Buckets) == buckets {
		c.answerBuckets(now, from, m.Buckets)
	}
	if len(m.Differ) > 0 {
		c.answerStamps(now, from, m.Differ, m.Stamps)
	}
	if len(m.Want) > 0 {
		c.answerWant(now, from, m.Want)
	}
	return c.take(now)
}

// Tick does what is due. It is called several times a second.
func (c *Core) Tick(now time.Time) []Action {
	if c.born.IsZero() {
		c.born = now
	}
	if now.Sub(c.born) >= joinLimit && len(c.peers) > 0 {
		c.joined = true
	}
	if !now.Before(c.nextConnect) {
		c.nextConnect = now.Add(connectInterval)
		c.connect(now)
		c.suspect(now)
		c.expire(now)
	}
	if !now.Before(c.nextDigest) {
		c.nextDigest = now.Add(DigestInterval)
		c.sendDigests()
	}
	if !now.Before(c.nextSweep) {
		c.nextSweep = now.Add(sweepInterval)
		c.table.sweep(now)
	}
	return c.take(now)
}

// learn merges a record from another instance.
func (c *Core) learn(now time.Time, r *Record) {
	if r.Kind == KindInstance && r.Key == c.name {
		c.refute(now, r)
		return
	}
	if c.merge(now, r) {
		c.news = append(c.news, r)
	}
}

// merge stores a record if it is newer and reports whether it did.
func (c *Core) merge(now time.Time, r *Record) bool {
	id := r.id()
	old := c.table.get(id)
	if old != nil && (old.record == r || !c.newer(old.record, r)) {
		return false
	}
	if r.State.Dead() && r.Age >= tombstoneAge {
		return false
	}
	if r.State.Dead() && !c.bury(r) {
		if old == nil {
			return false
		}
		c.table.remove(id)
	} else if !c.table.put(id, r, now.Add(-r.Age)) {
		return false
	}
	if r.Kind == KindInstance {
		c.track(now, r)
	}
	if r.Kind == KindInstance && r.Key == c.name {
		c.self = r
	}
	c.remember(now, id)
	c.out = append(c.out, Action{Do: Change, Record: r})
	return true
}

// refute answers a record of the own instance that others hold and that is
// newer than the own one: a suspicion, or a former incarnation with a later
// clock.
func (c *Core) refute(now time.Time, r *Record) {
	if !c.newer(c.self, r) || now.Sub(c.refuted) < refuteInterval {
		return
	}
	c.refuted = now
	next := *c.self
	next.Seq = max(c.self.Seq, r.Seq) + 1
	if r.Start.After(c.self.Start) {
		c.stats.Duplicate++
		next.Start = r.Start.Add(1)
	} else {
		c.stats.Refuted++
	}
	if c.merge(now, &next) {
		c.own = append(c.own, &next)
	}
}

// take floods the changes of this step and returns its actions.
func (c *Core) take(now time.Time) []Action {
	c.flood(now)
	c.news, c.own, c.from = c.news[:0], c.own[:0], ""
	out := c.out
	c.out = nil
	return out
}

// flood sends own changes to all peers and learned ones to all but their source.
func (c *Core) flood(now time.Time) {
	if !c.joined {
		c.news = c.news[:0] // the first exchange teaches nothing that the source has not flooded
	}
	for rest := range slices.Chunk(c.own, MaxRecords) {
		c.broadcast("", c.message(now, rest))
	}
	for rest := range slices.Chunk(c.news, MaxRecords) {
		c.broadcast(c.from, c.message(now, rest))
	}
}

func (c *Core) broadcast(except string, m *Message) {
	for _, name := range c.order {
		if name != except {
			c.send(name, m)
		}
	}
}

func (c *Core) send(to string, m *Message) {
	c.out = append(c.out, Action{Do: Send, To: to, Message: m})
}

// message returns a message with records, tombstones with their present age.
func (c *Core) message(now time.Time, records []*Record) *Message {
	out := make([]*Record, len(records))
	for i, r := range records {
		out[i] = r
		if e := c.table.get(r.id()); r.State.Dead() && e != nil {
			aged := *r
			aged.Age = min(max(0, now.Sub(e.since)), tombstoneAge)
			out[i] = &aged
		}
	}
	return &Message{Records: out}
}

// Get returns what is known of a key, or nil.
func (c *Core) Get(kind Kind, key string) *Record {
	e := c.table.get(identify(kind, key))
	if e == nil || e.record.Key != key {
		return nil
	}
	return e.record
}

// Self returns the own record.
func (c *Core) Self() *Record { return c.self }

// Records returns all records of a kind, sorted by key.
func (c *Core) Records(kind Kind) []*Record {
	var out []*Record
	for _, row := range c.table.rows {
		for _, e := range row {
			if e.record.Kind == kind {
				out = append(out, e.record)
			}
		}
	}
	slices.SortFunc(out, func(a, b *Record) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Peers returns the names of the linked instances, sorted.
func (c *Core) Peers() []string { return slices.Clone(c.order) }

// Root returns the digest of all records. Equal digests mean equal records.
func (c *Core) Root() uint64 { return c.table.root() }

// Joined reports whether the first exchange with another instance is over.
func (c *Core) Joined() bool { return c.joined }

// Stats returns the counters.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Live, s.Tombstones, s.Dropped = c.table.live, c.table.dead, c.table.dropped
	return s
}

func (c *Core) reorder() { c.order = slices.Sorted(maps.Keys(c.peers)) }
