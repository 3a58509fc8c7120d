package gossip

import (
	"slices"
	"time"
)

const (
	// repairTimeout is how long one exchange may take before another is started.
	// Only one runs at a time, since concurrent exchanges would send all records
	// to a new instance over each of its links, about six times.
	repairTimeout = 2 * time.Second
	// repairThreshold is the number of consecutive digests that must differ: the
	// first may have crossed a change in flight.
	repairThreshold = 2
	// recentAge and maxRecent bound the changes that are resent at the first
	// difference. This replaces a lost flood with one message, where an exchange
	// of bucket digests takes five. At 20% message loss the exchange alone missed
	// the 5 s limit for leaving targets in about one of 1,000 runs.
	recentAge = 10 * time.Second
	maxRecent = 32
)

// recentChange identifies a record that changed within recentAge.
type recentChange struct {
	id uint64
	at time.Time
}

// repair is the exchange of bucket digests that this instance has started.
type repair struct {
	peerName string
	until    time.Time
}

func (c *Core) digest(reply bool) *Digest {
	return &Digest{Revision: c.revision, Checksum: c.checksum, Root: c.table.root(), Reply: reply}
}

// sendDigests sends a digest over each link that this instance has dialled. The
// other side answers only if something differs, which halves the idle traffic.
func (c *Core) sendDigests() {
	m := &Message{Digest: c.digest(false)}
	for _, name := range c.peerNames {
		if c.peers[name].dialed {
			c.send(name, m)
		}
	}
}

// compareDigest handles the digest of a peer: it requests a newer service text
// and starts a repair when the records differ repeatedly.
func (c *Core) compareDigest(now time.Time, from string, d Digest) {
	if d.Revision > c.revision {
		c.out = append(c.out, Action{Type: Pull, To: from, RevisionNumber: d.Revision, Checksum: d.Checksum})
	}
	root := c.table.root()
	if !d.Reply {
		if d.Revision < c.revision || d.Root != root {
			c.send(from, c.withRecent(now, &Message{Digest: c.digest(true)}, d.Root != root))
		} else if p := c.peers[from]; p != nil {
			c.markInSync(from, p)
		}
		return
	}
	p := c.peers[from]
	if p == nil {
		return
	}
	if d.Root == root {
		c.markInSync(from, p)
		return
	}
	p.mismatch++
	if m := c.withRecent(now, &Message{}, true); len(m.Records) > 0 {
		c.send(from, m)
	}
	if p.mismatch < repairThreshold && c.joined || now.Before(c.repair.until) {
		return
	}
	p.mismatch = 0
	c.repair = repair{peerName: from, until: now.Add(repairTimeout)}
	c.stats.Repairs++
	c.send(from, &Message{Buckets: slices.Clone(c.table.digests[:])})
}

// addRecent adds a changed record to the recent changes and removes expired ones.
func (c *Core) addRecent(now time.Time, id uint64) {
	c.recentChanges = slices.DeleteFunc(c.recentChanges, func(o recentChange) bool { return o.id == id || now.Sub(o.at) > recentAge })
	if len(c.recentChanges) == maxRecent {
		c.recentChanges = slices.Delete(c.recentChanges, 0, 1)
	}
	c.recentChanges = append(c.recentChanges, recentChange{id: id, at: now})
}

// withRecent adds the recent changes to a message if include is true and this
// instance has joined.
func (c *Core) withRecent(now time.Time, m *Message, include bool) *Message {
	if !include || !c.joined {
		return m
	}
	var ids []uint64
	for _, o := range c.recentChanges {
		if now.Sub(o.at) <= recentAge {
			ids = append(ids, o.id)
		}
	}
	m.Records = c.message(now, c.lookup(ids)).Records
	return m
}

// markInSync handles a digest that shows that a peer holds the same records.
func (c *Core) markInSync(from string, p *peer) {
	p.mismatch = 0
	c.joined = true
	if c.repair.peerName == from {
		c.repair = repair{}
	}
}

// answerBuckets sends the records of buckets that are empty on the other side
// and the versions of the records in other buckets that differ.
func (c *Core) answerBuckets(now time.Time, to string, digests []uint64) {
	if !c.joined && c.repair.peerName != "" && c.repair.peerName != to {
		return // this replica is still incomplete; the peer repeats its request
	}
	m := &Message{}
	var records []*Record
	for b, sum := range digests {
		if sum == c.table.digests[b] {
			continue
		}
		ids := c.table.ids(b)
		if sum == 0 {
			records = append(records, c.lookup(ids)...)
			continue
		}
		if len(m.Stamps)+len(ids) > MaxStamps && len(m.Differ) > 0 {
			c.send(to, m)
			m = &Message{}
		}
		m.Differ = append(m.Differ, uint8(b))
		for _, id := range ids[:min(len(ids), MaxStamps)] {
			m.Stamps = append(m.Stamps, c.stamp(id))
		}
	}
	if len(m.Differ) > 0 {
		c.send(to, m)
	}
	c.sendRecords(now, to, records)
	c.send(to, &Message{Digest: c.digest(true)}) // lets the peer check whether it is in sync
}

func (c *Core) stamp(id uint64) Stamp {
	v := c.table.get(id).record.version()
	return Stamp{ID: id, Start: v.start, Seq: v.seq, Rank: v.rank}
}

// answerStamps sends records that are newer here and requests those that are
// newer on the other side.
func (c *Core) answerStamps(now time.Time, to string, differ []uint8, stamps []Stamp) {
	theirs := make(map[uint64]version, len(stamps))
	var want []uint64
	for _, s := range stamps {
		v := version{start: s.Start, seq: s.Seq, rank: s.Rank}
		theirs[s.ID] = v
		if e := c.table.get(s.ID); e == nil || v.compare(e.record.version()) > 0 {
			want = append(want, s.ID)
		}
	}
	var records []*Record
	for _, b := range differ {
		for _, id := range c.table.ids(int(b)) {
			r := c.table.get(id).record
			if v, known := theirs[id]; !known || r.version().compare(v) > 0 {
				records = append(records, r)
			}
		}
	}
	c.sendRecords(now, to, records)
	for batch := range slices.Chunk(want, MaxStamps) {
		c.send(to, &Message{Want: batch})
	}
}

func (c *Core) answerWant(now time.Time, to string, want []uint64) {
	c.sendRecords(now, to, c.lookup(want))
	c.send(to, &Message{Digest: c.digest(true)})
}

func (c *Core) lookup(ids []uint64) []*Record {
	out := make([]*Record, 0, len(ids))
	for _, id := range ids {
		if e := c.table.get(id); e != nil && !e.excluded {
			out = append(out, e.record)
		}
	}
	return out
}

func (c *Core) sendRecords(now time.Time, to string, records []*Record) {
	for batch := range slices.Chunk(records, MaxRecords) {
		c.send(to, c.message(now, batch))
	}
}
