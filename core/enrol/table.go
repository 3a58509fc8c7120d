package enrol

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// graveTime is how long the table remembers a target that has ended, to refuse
// its late announcements. Announcements are late by seconds.
const graveTime = 10 * time.Minute

// Target is one row of the table. Rows are immutable, because views share them.
type Target struct {
	Announcement
	Index  uint64    `cbor:"index"`            // of the command that changed the row last
	Silent bool      `cbor:"silent,omitempty"` // no replica hears the target any more
	Ended  time.Time `cbor:"ended,omitempty"`  // when it became Gone, by the time of the state
}

// Live reports whether the target may still serve.
func (t *Target) Live() bool { return t.State != Gone }

// Verdict is what an announcement means against the table.
type Verdict string

// The verdicts.
const (
	Changed Verdict = "changed" // the row has to be written
	Same    Verdict = "same"    // the announcement changes nothing
	Stale   Verdict = "stale"   // a later incarnation or announcement is known
)

// Table is the registry of targets. It is not safe for concurrent use.
type Table struct {
	rows      map[string]*Target
	addresses map[netip.AddrPort]string // name of the latest incarnation at an address
	pruned    uint64                    // ends up to this index are forgotten
	index     uint64                    // of the last change
	list      []*Target                 // by name, nil after a change
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[string]*Target{}, addresses: map[netip.AddrPort]string{}}
}

// Judge tells what an announcement would do, without doing it.
func (t *Table) Judge(a Announcement) Verdict { return judge(t.rows[a.Name], t.holder(a), a) }

// judge compares an announcement with the row of its name and the latest other
// target at its address; both may be nil.
func judge(known, holder *Target, a Announcement) Verdict {
	if a.State == Gone && a.Start.IsZero() && known != nil {
		a.Start = known.Start
	}
	switch {
	case known == nil && a.State == Gone:
		return Same
	case known != nil && a.Start.Before(known.Start):
		return Stale
	case known != nil && a.Start.Equal(known.Start):
		return known.follow(a)
	case holder != nil && !a.Start.After(holder.Start):
		return Stale
	}
	return Changed
}

// follow judges a further announcement of the same incarnation.
func (t *Target) follow(a Announcement) Verdict {
	switch {
	case a.State == Gone && t.State == Gone:
		return Same
	case a.State == Gone:
		return Changed
	case t.State == Gone || a.Seq < t.Seq:
		return Stale
	case t.Silent && a.Seq > t.Seq:
		return Changed
	}
	if a.Service == t.Service && a.Address == t.Address && a.DataCentre == t.DataCentre &&
		a.Slots == t.Slots && a.State == t.State {
		return Same
	}
	return Changed
}

// holder returns the row of another target that was the latest at the address.
func (t *Table) holder(a Announcement) *Target {
	name, ok := t.addresses[a.Address]
	if !ok || name == a.Name {
		return nil
	}
	return t.rows[name]
}

// Announce applies an announcement that was committed at an index.
func (t *Table) Announce(index uint64, now time.Time, a Announcement) Verdict {
	verdict := t.Judge(a)
	if verdict != Changed {
		return verdict
	}
	if a.State == Gone {
		t.end(index, now, t.rows[a.Name])
		return verdict
	}
	if holder := t.holder(a); holder != nil && holder.Live() {
		t.end(index, now, holder)
	}
	t.put(index, &Target{Announcement: a})
	t.addresses[a.Address] = a.Name
	t.prune(now)
	return verdict
}

// Incarnation names one life of a target.
type Incarnation struct {
	Name  string    `cbor:"name"`
	Start time.Time `cbor:"start"`
	Seq   uint64    `cbor:"seq"` // last announcement that was heard
}

// Silence marks targets that no replica hears any more. One that has announced
// a change since is left as it is.
func (t *Table) Silence(index uint64, silent []Incarnation) int {
	n := 0
	for _, i := range silent {
		known := t.rows[i.Name]
		if known == nil || !known.Live() || known.Silent || !known.Start.Equal(i.Start) || known.Seq > i.Seq {
			continue
		}
		next := *known
		next.Silent, next.Seq = true, i.Seq
		t.put(index, &next)
		n++
	}
	return n
}

func (t *Table) end(index uint64, now time.Time, known *Target) {
	next := *known
	next.State, next.Ended, next.Silent = Gone, now, false
	t.put(index, &next)
}

func (t *Table) put(index uint64, row *Target) {
	row.Index = index
	t.rows[row.Name] = row
	t.index, t.list = index, nil
}

// prune forgets ends that are too old to matter.
func (t *Table) prune(now time.Time) {
	for name, row := range t.rows {
		if row.Live() || now.Sub(row.Ended) < graveTime {
			continue
		}
		delete(t.rows, name)
		if t.addresses[row.Address] == name {
			delete(t.addresses, row.Address)
		}
		t.pruned, t.list = max(t.pruned, row.Index), nil
	}
}

// View returns an immutable picture of the table.
func (t *Table) View() View {
	if t.list == nil {
		t.list = make([]*Target, 0, len(t.rows))
		for _, row := range t.rows {
			t.list = append(t.list, row)
		}
		slices.SortFunc(t.list, func(a, b *Target) int { return strings.Compare(a.Name, b.Name) })
	}
	return View{Index: t.index, Pruned: t.pruned, rows: t.list}
}

// Saved is the table in a snapshot.
type Saved struct {
	Index  uint64    `cbor:"index"`
	Pruned uint64    `cbor:"pruned"`
	Rows   []*Target `cbor:"rows"` // by name
}

// Save returns the table for a snapshot.
func (t *Table) Save() Saved {
	v := t.View()
	return Saved{Index: v.Index, Pruned: v.Pruned, Rows: v.rows}
}

// Restore returns the table of a snapshot.
func Restore(s Saved) *Table {
	t := New()
	t.index, t.pruned = s.Index, s.Pruned
	for _, row := range s.Rows {
		row.Start, row.Ended = row.Start.UTC(), row.Ended.UTC()
		t.rows[row.Name] = row
		if other := t.rows[t.addresses[row.Address]]; row.Address.IsValid() && (other == nil || other.Start.Before(row.Start)) {
			t.addresses[row.Address] = row.Name
		}
	}
	return t
}
