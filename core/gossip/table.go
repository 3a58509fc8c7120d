package gossip

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of the table.
const (
	// tombstoneAge is how long a tombstone takes part in digests. It exceeds the
	// longest time to live (60 s) and the usual partition (minutes), after which
	// the far side still holds the record as alive.
	tombstoneAge = time.Hour
	// tombstoneKeep is how long a tombstone blocks older records. It exceeds
	// tombstoneAge, so that two cores that drop it from their digests at slightly
	// different times do not hand it back to each other.
	tombstoneKeep = tombstoneAge + 5*time.Minute
	// maxTombstones bounds memory. 2,500 restarts a day leave about 100 an hour.
	maxTombstones = 16384
	// maxLive bounds memory at about ten times the target size.
	maxLive = 65536
)

// entry is a stored record.
type entry struct {
	record *Record
	since  time.Time // when the record was learned; for tombstones, when the end happened
	silent bool      // no longer part of the digest
}

// table holds records by identity in buckets, with a digest of each bucket.
type table struct {
	rows    [buckets]map[uint64]*entry
	sums    [buckets]uint64
	live    int
	dead    int
	dropped int // records refused because the table is full or identities collide
}

func newTable() *table {
	t := new(table)
	for i := range t.rows {
		t.rows[i] = make(map[uint64]*entry)
	}
	return t
}

func bucketOf(id uint64) int { return int(id % buckets) }

func (t *table) get(id uint64) *entry { return t.rows[bucketOf(id)][id] }

// put stores a record and reports whether there was room.
func (t *table) put(id uint64, r *Record, since time.Time) bool {
	old := t.get(id)
	if old != nil && (old.record.Key != r.Key || old.record.Kind != r.Kind) || old == nil && !t.room(r) {
		t.dropped++
		return false
	}
	if old != nil {
		t.remove(id)
	}
	b := bucketOf(id)
	t.rows[b][id] = &entry{record: r, since: since}
	t.sums[b] ^= r.version().digest(id)
	t.count(r, 1)
	return true
}

func (t *table) room(r *Record) bool {
	if r.State.Dead() {
		return t.dead < 2*maxTombstones // the sweep brings the number down to maxTombstones
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
	t.mute(id, e)
	t.count(e.record, -1)
	delete(t.rows[bucketOf(id)], id)
}

// mute takes a record out of the digest.
func (t *table) mute(id uint64, e *entry) {
	if !e.silent {
		e.silent = true
		t.sums[bucketOf(id)] ^= e.record.version().digest(id)
	}
}

// root is the digest of all records.
func (t *table) root() uint64 {
	var root uint64
	for i, sum := range t.sums {
		root ^= version{start: int64(i)}.digest(sum)
	}
	return root
}

// sweep mutes and removes old tombstones.
func (t *table) sweep(now time.Time) {
	if t.dead == 0 {
		return
	}
	type grave struct {
		id uint64
		e  *entry
	}
	var graves []grave
	for _, row := range t.rows {
		for id, e := range row {
			if e.record.State.Dead() {
				graves = append(graves, grave{id, e})
			}
		}
	}
	slices.SortFunc(graves, func(a, b grave) int {
		return cmp.Or(a.e.since.Compare(b.e.since), cmp.Compare(a.id, b.id))
	})
	for i, g := range graves {
		age := now.Sub(g.e.since)
		if age >= tombstoneAge {
			t.mute(g.id, g.e)
		}
		if age >= tombstoneKeep || len(graves)-i > maxTombstones {
			t.remove(g.id)
		}
	}
}

// ids returns the identities in a bucket that take part in its digest, sorted,
// so that a run with one seed repeats exactly.
func (t *table) ids(bucket int) []uint64 {
	out := make([]uint64, 0, len(t.rows[bucket]))
	for id, e := range t.rows[bucket] {
		if !e.silent {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
