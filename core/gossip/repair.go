package gossip

import (
	"slices"
	"time"
)

const (
	// repairLimit is how long one exchange may take before another is begun.
	// One at a time keeps a new instance from being sent everything six times.
	repairLimit = 2 * time.Second
	// mismatches is the number of digests in a row that must differ: the first
	// may have crossed a change in flight.
	mismatches = 2
	// recentAge and maxRecent bound the changes that are sent again at the first
	// difference. One message then replaces a lost flood, which an exchange of
	// bucket digests does in five; with a loss of 20% the exchange alone missed
	// the 5 s for leaving targets in about one of 1,000 runs.
	recentAge = 10 * time.Second
	maxRecent = 32
)

// change is a record that changed lately.
type change struct {
	id uint64
	at time.Time
}

// repair is the exchange that this instance has begun.
type repair struct {
	with  string
	until time.Time
}

func (c *Core) digest(reply bool) *Digest {
	return &Digest{Number: c.number, Sum: c.sum, Root: c.table.root(), Reply: reply}
}

// sendDigests sends a digest over each link that this instance has dialled. The
// other side answers only when something differs, which halves the idle traffic.
func (c *Core) sendDigests() {
	m := &Message{Digest: c.digest(false)}
	for _, name := range c.order {
		if c.peers[name].dialed {
			c.send(name, m)
		}
	}
}

// compare looks for a newer revision and for different records.
func (c *Core) compare(now time.Time, from string, d Digest) {
	if d.Number > c.number {
		c.out = append(c.out, Action{Do: Pull, To: from, Number: d.Number, Sum: d.Sum})
	}
	root := c.table.root()
	if !d.Reply {
		if d.Number < c.number || d.Root != root {
			c.send(from, c.withRecent(now, &Message{Digest: c.digest(true)}, d.Root != root))
		} else if p := c.peers[from]; p != nil {
			c.settle(from, p)
		}
		return
	}
	p := c.peers[from]
	if p == nil {
		return
	}
	if d.Root == root {
		c.settle(from, p)
		return
	}
	p.mismatch++
	if m := c.withRecent(now, &Message{}, true); len(m.Records) > 0 {
		c.send(from, m)
	}
	if p.mismatch < mismatches && c.joined || now.Before(c.repair.until) {
		return
	}
	p.mismatch = 0
	c.repair = repair{with: from, until: now.Add(repairLimit)}
	c.stats.Repairs++
	c.send(from, &Message{Buckets: slices.Clone(c.table.sums[:])})
}

// remember keeps the identity of a changed record for recentAge.
func (c *Core) remember(now time.Time, id uint64) {
	c.recent = slices.DeleteFunc(c.recent, func(o change) bool { return o.id == id || now.Sub(o.at) > recentAge })
	if len(c.recent) == maxRecent {
		c.recent = slices.Delete(c.recent, 0, 1)
	}
	c.recent = append(c.recent, change{id: id, at: now})
}

// withRecent adds the lately changed records to a message.
func (c *Core) withRecent(now time.Time, m *Message, wanted bool) *Message {
	if !wanted || !c.joined {
		return m
	}
	var ids []uint64
	for _, o := range c.recent {
		if now.Sub(o.at) <= recentAge {
			ids = append(ids, o.id)
		}
	}
	m.Records = c.message(now, c.lookup(ids)).Records
	return m
}

// settle notes that a peer holds the same records.
func (c *Core) settle(from string, p *peer) {
	p.mismatch = 0
	c.joined = true
	if c.repair.with == from {
		c.repair = repair{}
	}
}

// answerBuckets sends the records of buckets that are empty on the other side
// and the versions of those that differ.
func (c *Core) answerBuckets(now time.Time, to string, sums []uint64) {
	if !c.joined && c.repair.with != "" && c.repair.with != to {
		return // incomplete here; the asker repeats its question
	}
	m := &Message{}
	var records []*Record
	for b, sum := range sums {
		if sum == c.table.sums[b] {
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
	c.send(to, &Message{Digest: c.digest(true)}) // tells the asker whether it is in step now
}

func (c *Core) stamp(id uint64) Stamp {
	v := c.table.get(id).record.version()
	return Stamp{ID: id, Start: v.start, Seq: v.seq, Rank: v.rank}
}

// answerStamps sends what is newer here and asks for what is newer there.
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
	for part := range slices.Chunk(want, MaxStamps) {
		c.send(to, &Message{Want: part})
	}
}

func (c *Core) answerWant(now time.Time, to string, want []uint64) {
	c.sendRecords(now, to, c.lookup(want))
	c.send(to, &Message{Digest: c.digest(true)})
}

func (c *Core) lookup(ids []uint64) []*Record {
	out := make([]*Record, 0, len(ids))
	for _, id := range ids {
		if e := c.table.get(id); e != nil && !e.silent {
			out = append(out, e.record)
		}
	}
	return out
}

func (c *Core) sendRecords(now time.Time, to string, records []*Record) {
	for part := range slices.Chunk(records, MaxRecords) {
		c.send(to, c.message(now, part))
	}
}
