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
)

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
			c.send(from, &Message{Digest: c.digest(true)})
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
	if p.mismatch < mismatches && c.joined || now.Before(c.repair.until) {
		return
	}
	p.mismatch = 0
	c.repair = repair{with: from, until: now.Add(repairLimit)}
	c.stats.Repairs++
	c.send(from, &Message{Buckets: slices.Clone(c.table.sums[:])})
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
