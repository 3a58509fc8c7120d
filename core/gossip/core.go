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

// Intervals and timeouts of the protocol.
const (
	// DigestInterval is the time between digests on a link. A difference that
	// shows in two consecutive digests starts a repair, so a lost change is found
	// within about 2 s, below the 5 s in which a leaving target must be known.
	DigestInterval = time.Second
	sweepInterval  = 10 * time.Second
	// connectInterval limits the CPU time of callers that tick more often.
	connectInterval = 200 * time.Millisecond
	// joinTimeout bounds how long a new instance waits for its first exchange
	// before it links to its ring successors.
	joinTimeout = 2 * time.Second
	// refuteInterval limits the rate at which two instances started with the same
	// name flood refutations of each other.
	refuteInterval = 500 * time.Millisecond
)

// Core holds the replica of all records on one instance. It is not safe for
// concurrent use.
type Core struct {
	name          string
	start         time.Time
	body          Instance
	seeds         []netip.AddrPort
	rand          *rand.Rand
	newer         func(stored, arrived *Record) bool
	keepTombstone func(*Record) bool

	table     *table
	rings     hashRings
	peers     map[string]*peer
	pending   map[string]*pendingLink
	peerNames []string // keys of peers, sorted
	self      *Record
	revision  uint64
	checksum  uint64

	joined        bool
	firstTick     time.Time
	repair        repair
	suspects      map[string]time.Time // when a suspect is declared gone, or a leaving instance left
	lostAddresses []netip.AddrPort     // peer addresses of gone instances, newest last
	lastRefuted   time.Time
	recentChanges []recentChange

	nextConnect time.Time
	nextDigest  time.Time
	nextSweep   time.Time
	nextRejoin  time.Time

	out        []Action
	learned    []*Record // changes received from source in this step
	originated []*Record // changes made by this instance in this step
	source     string
	stats      Stats
}

// Stats holds the counters of a core and the sizes of its table.
type Stats struct {
	Live       int // records that are not tombstones
	Tombstones int
	Dropped    int // records rejected because the table is full or identities collide
	Repairs    int // exchanges of bucket digests started
	Suspicions int // suspicions raised
	Refuted    int // suspicions of this instance refuted
	// NameConflicts counts newer records with the name of this instance and a
	// later start time: of a second instance, or of a former incarnation whose
	// clock was ahead.
	NameConflicts int
}

// New returns a core that holds only the record of its own instance, in state
// cold.
func New(opts ...Option) *Core {
	c := &Core{
		rand:          rand.New(rand.NewPCG(1, 1)),
		newer:         Newer,
		keepTombstone: func(*Record) bool { return true },
		table:         newTable(),
		peers:         map[string]*peer{},
		pending:       map[string]*pendingLink{},
		suspects:      map[string]time.Time{},
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
	c.rings.add(c.name)
	return c
}

// SetState publishes a new state of this instance.
func (c *Core) SetState(now time.Time, state State) []Action {
	if c.self.State == state {
		return nil
	}
	next := *c.self
	next.State = state
	next.Seq++
	return c.Put(now, &next)
}

// Put publishes a record that this instance is responsible for. A record that
// is not newer than the stored one is ignored.
func (c *Core) Put(now time.Time, r *Record) []Action {
	if r.check() == nil && c.merge(now, r) {
		c.originated = append(c.originated, r)
	}
	return c.takeActions(now)
}

// SetRevision sets the revision and checksum of the service text that this
// instance holds, which its digests report.
func (c *Core) SetRevision(revision, checksum uint64) { c.revision, c.checksum = revision, checksum }

// Receive handles a message from a linked instance. An invalid one is ignored.
func (c *Core) Receive(now time.Time, from string, m *Message) []Action {
	if m.check() != nil {
		return nil
	}
	c.source = from
	for _, r := range m.Records {
		c.learn(now, r)
	}
	if m.Digest != nil {
		c.compareDigest(now, from, *m.Digest)
	}
	if len(m.Buckets) == bucketCount {
		c.answerBuckets(now, from, m.Buckets)
	}
	if len(m.Differ) > 0 {
		c.answerStamps(now, from, m.Differ, m.Stamps)
	}
	if len(m.Want) > 0 {
		c.answerWant(now, from, m.Want)
	}
	return c.takeActions(now)
}

// Tick runs the periodic work that is due. It must be called several times a
// second.
func (c *Core) Tick(now time.Time) []Action {
	if c.firstTick.IsZero() {
		c.firstTick = now
	}
	if now.Sub(c.firstTick) >= joinTimeout && len(c.peers) > 0 {
		c.joined = true
	}
	if !now.Before(c.nextConnect) {
		c.nextConnect = now.Add(connectInterval)
		c.connect(now)
		c.raiseSuspicions(now)
		c.expireSuspicions(now)
	}
	if !now.Before(c.nextDigest) {
		c.nextDigest = now.Add(DigestInterval)
		c.sendDigests()
	}
	if !now.Before(c.nextSweep) {
		c.nextSweep = now.Add(sweepInterval)
		c.table.sweep(now)
	}
	return c.takeActions(now)
}

// learn merges a record received from another instance.
func (c *Core) learn(now time.Time, r *Record) {
	if r.Kind == KindInstance && r.Key == c.name {
		c.refute(now, r)
		return
	}
	if c.merge(now, r) {
		c.learned = append(c.learned, r)
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
	if r.State.Dead() && !c.keepTombstone(r) {
		if old == nil {
			return false
		}
		c.table.remove(id)
	} else if !c.table.put(id, r, now.Add(-r.Age)) {
		return false
	}
	if r.Kind == KindInstance {
		c.updateMembership(now, r)
	}
	if r.Kind == KindInstance && r.Key == c.name {
		c.self = r
	}
	c.addRecent(now, id)
	c.out = append(c.out, Action{Type: Change, Record: r})
	return true
}

// refute publishes a newer record of this instance when others hold one that
// supersedes it: a suspicion, or a record of another incarnation whose clock was
// ahead.
func (c *Core) refute(now time.Time, r *Record) {
	if !c.newer(c.self, r) || now.Sub(c.lastRefuted) < refuteInterval {
		return
	}
	c.lastRefuted = now
	next := *c.self
	next.Seq = max(c.self.Seq, r.Seq) + 1
	if r.Start.After(c.self.Start) {
		c.stats.NameConflicts++
		next.Start = r.Start.Add(1)
	} else {
		c.stats.Refuted++
	}
	if c.merge(now, &next) {
		c.originated = append(c.originated, &next)
	}
}

// takeActions floods the changes of this step and returns its actions.
func (c *Core) takeActions(now time.Time) []Action {
	c.flood(now)
	c.learned, c.originated, c.source = c.learned[:0], c.originated[:0], ""
	out := c.out
	c.out = nil
	return out
}

// flood sends changes made here to all peers and received ones to all peers but
// their source.
func (c *Core) flood(now time.Time) {
	if !c.joined {
		c.learned = c.learned[:0] // records of the first exchange were already flooded by their source
	}
	for batch := range slices.Chunk(c.originated, MaxRecords) {
		c.broadcast("", c.message(now, batch))
	}
	for batch := range slices.Chunk(c.learned, MaxRecords) {
		c.broadcast(c.source, c.message(now, batch))
	}
}

func (c *Core) broadcast(except string, m *Message) {
	for _, name := range c.peerNames {
		if name != except {
			c.send(name, m)
		}
	}
}

func (c *Core) send(to string, m *Message) {
	c.out = append(c.out, Action{Type: Send, To: to, Message: m})
}

// message returns a message with records, in which tombstones carry their
// current age.
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

// Get returns the stored record of a key, or nil.
func (c *Core) Get(kind Kind, key string) *Record {
	e := c.table.get(recordID(kind, key))
	if e == nil || e.record.Key != key {
		return nil
	}
	return e.record
}

// Self returns the record of this instance.
func (c *Core) Self() *Record { return c.self }

// Records returns all records of a kind, sorted by key.
func (c *Core) Records(kind Kind) []*Record {
	var out []*Record
	for _, entries := range c.table.buckets {
		for _, e := range entries {
			if e.record.Kind == kind {
				out = append(out, e.record)
			}
		}
	}
	slices.SortFunc(out, func(a, b *Record) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Peers returns the names of the linked instances, sorted.
func (c *Core) Peers() []string { return slices.Clone(c.peerNames) }

// Root returns the digest of all records. Equal digests mean equal records.
func (c *Core) Root() uint64 { return c.table.root() }

// Joined reports whether the first exchange with another instance is complete or
// has timed out.
func (c *Core) Joined() bool { return c.joined }

// Stats returns the current counters and table sizes.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Live, s.Tombstones, s.Dropped = c.table.live, c.table.dead, c.table.dropped
	return s
}

func (c *Core) sortPeerNames() { c.peerNames = slices.Sorted(maps.Keys(c.peers)) }
