package gossip

import (
	"cmp"
	"slices"
	"time"
)

// Retention times and size limits of the table.
const (
	// tombstoneAge is how long a tombstone is included in digests. It exceeds the
	// maximum TTL (60 s) and the duration of usual partitions (minutes), after
	// which the other side still holds the record as live.
	tombstoneAge = time.Hour
	// tombstoneRetention is how long a tombstone blocks older records. It exceeds
	// tombstoneAge, so that two cores that exclude it from their digests at
	// slightly different times do not send it back to each other.
	tombstoneRetention = tombstoneAge + 5*time.Minute
	// maxTombstones bounds memory. 2,500 restarts a day leave about 100 tombstones
	// an hour.
	maxTombstones = 16384
	// maxLive bounds memory. It is about ten times the number of records of a fleet
	// of the size that the design aims at.
	maxLive = 65536
)

// entry is a record stored in a table.
type entry struct {
	record   *Record
	since    time.Time // when the record was stored; for tombstones, when the instance or target ended
	excluded bool      // not included in the digest of its bucket
}

// table stores records by identity in buckets and maintains a digest of each
// bucket.
type table struct {
	buckets [bucketCount]map[uint64]*entry
	digests [bucketCount]uint64
	live    int
	dead    int
	dropped int // records rejected because the table is full or identities collide
}

func newTable() *table {
	t := new(table)
	for i := range t.buckets {
		t.buckets[i] = make(map[uint64]*entry)
	}
	return t
}

func bucketOf(id uint64) int { return int(id % bucketCount) }

func (t *table) get(id uint64) *entry { return t.buckets[bucketOf(id)][id] }

// put stores a record. It reports false if the table is full or the identity
// belongs to another key.
func (t *table) put(id uint64, r *Record, since time.Time) bool {
	old := t.get(id)
	if old != nil && (old.record.Key != r.Key || old.record.Kind != r.Kind) || old == nil && !t.hasRoom(r) {
		t.dropped++
		return false
	}
	if old != nil {
		t.remove(id)
	}
	b := bucketOf(id)
	t.buckets[b][id] = &entry{record: r, since: since}
	t.digests[b] ^= r.version().digest(id)
	t.count(r, 1)
	return true
}

func (t *table) hasRoom(r *Record) bool {
	if r.State.Dead() {
		return t.dead < 2*maxTombstones // sweep reduces the number to maxTombstones
	}
	return t.live < maxLive
}

func (t *table) count(r *Record, n int) {
	if r.State.Dead() {
		t.dead += n
	} else {
		t.live += n
	}
}

func (t *table) remove(id uint64) {
	e := t.get(id)
	if e == nil {
		return
	}
	t.exclude(id, e)
	t.count(e.record, -1)
	delete(t.buckets[bucketOf(id)], id)
}

// exclude removes a record from the digest of its bucket.
func (t *table) exclude(id uint64, e *entry) {
	if !e.excluded {
		e.excluded = true
		t.digests[bucketOf(id)] ^= e.record.version().digest(id)
	}
}

// root returns the digest of all records.
func (t *table) root() uint64 {
	var root uint64
	for i, sum := range t.digests {
		root ^= version{start: int64(i)}.digest(sum)
	}
	return root
}

// sweep excludes old tombstones from digests, and removes those that exceed
// tombstoneRetention or maxTombstones.
func (t *table) sweep(now time.Time) {
	if t.dead == 0 {
		return
	}
	type tombstone struct {
		id uint64
		e  *entry
	}
	var tombstones []tombstone
	for _, entries := range t.buckets {
		for id, e := range entries {
			if e.record.State.Dead() {
				tombstones = append(tombstones, tombstone{id, e})
			}
		}
	}
	slices.SortFunc(tombstones, func(a, b tombstone) int {
		return cmp.Or(a.e.since.Compare(b.e.since), cmp.Compare(a.id, b.id))
	})
	for i, ts := range tombstones {
		age := now.Sub(ts.e.since)
		if age >= tombstoneAge {
			t.exclude(ts.id, ts.e)
		}
		if age >= tombstoneRetention || len(tombstones)-i > maxTombstones {
			t.remove(ts.id)
		}
	}
}

// ids returns the identities in a bucket that its digest includes. They are
// sorted, so that a simulation with a fixed seed is reproducible.
func (t *table) ids(bucket int) []uint64 {
	out := make([]uint64, 0, len(t.buckets[bucket]))
	for id, e := range t.buckets[bucket] {
		if !e.excluded {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
