package enrol

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// tombstoneRetention is how long the table keeps the row of a target that is
// gone, to reject its delayed announcements. Announcements are delayed by
// seconds.
const tombstoneRetention = 10 * time.Minute

// Target is one row of the table. It is immutable, because views share it.
type Target struct {
	Announcement
	Index  uint64    `cbor:"index"`            // index of the command that changed the row last
	Silent bool      `cbor:"silent,omitempty"` // no replica receives announcements of the target any more
	Ended  time.Time `cbor:"ended,omitempty"`  // when it became Gone, by the clock of the state machine
}

// Live reports whether the target is not gone.
func (t *Target) Live() bool { return t.State != Gone }

// Effect is the effect of an announcement on the table.
type Effect string

// Effects of an announcement.
const (
	Changed Effect = "changed" // the row must be written
	Same    Effect = "same"    // the announcement changes nothing
	Stale   Effect = "stale"   // a later incarnation or announcement is known
)

// Table is the registry of targets. It is not safe for concurrent use.
type Table struct {
	rows      map[string]*Target
	addresses map[netip.AddrPort]string // name of the latest incarnation at an address
	pruned    uint64                    // rows of gone targets up to this index may have been deleted
	index     uint64                    // index of the last change
	list      []*Target                 // sorted by name, nil after a change
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[string]*Target{}, addresses: map[netip.AddrPort]string{}}
}

// Evaluate returns the effect of an announcement without applying it.
func (t *Table) Evaluate(a Announcement) Effect { return evaluate(t.rows[a.Name], t.holder(a), a) }

// evaluate compares an announcement with the row of the same name and with the
// latest other target at its address; both may be nil.
func evaluate(known, holder *Target, a Announcement) Effect {
	if a.State == Gone && a.Start.IsZero() && known != nil {
		a.Start = known.Start
	}
	switch {
	case known == nil && a.State == Gone:
		return Same
	case known != nil && a.Start.Before(known.Start):
		return Stale
	case known != nil && a.Start.Equal(known.Start):
		return known.evaluateSameIncarnation(a)
	case holder != nil && !a.Start.After(holder.Start):
		return Stale
	}
	return Changed
}

// evaluateSameIncarnation returns the effect of a further announcement of the
// same incarnation.
func (t *Target) evaluateSameIncarnation(a Announcement) Effect {
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
	// The cold phase becomes shorter with each announcement; a longer one is new.
	if a.Service == t.Service && a.Address == t.Address && a.Region == t.Region && a.DataCentre == t.DataCentre &&
		a.Slots == t.Slots && a.State == t.State && a.Cold <= t.Cold {
		return Same
	}
	return Changed
}

// holder returns the row of the latest incarnation at the address of the
// announcement if it belongs to another target, or nil.
func (t *Table) holder(a Announcement) *Target {
	name, ok := t.addresses[a.Address]
	if !ok || name == a.Name {
		return nil
	}
	return t.rows[name]
}

// Announce applies an announcement that was committed at the given index.
func (t *Table) Announce(index uint64, now time.Time, a Announcement) Effect {
	effect := t.Evaluate(a)
	if effect != Changed {
		return effect
	}
	if a.State == Gone {
		t.markGone(index, now, t.rows[a.Name])
		return effect
	}
	if holder := t.holder(a); holder != nil && holder.Live() {
		t.markGone(index, now, holder)
	}
	t.put(index, &Target{Announcement: a})
	t.addresses[a.Address] = a.Name
	t.prune(now)
	return effect
}

// Incarnation identifies one incarnation of a target.
type Incarnation struct {
	Name  string    `cbor:"name"`
	Start time.Time `cbor:"start"`
	Seq   uint64    `cbor:"seq"` // sequence number of the last announcement that was received
}

// MarkSilent marks targets from which no replica receives announcements any more
// and returns how many it marked. A target that has announced a change since is
// not marked.
func (t *Table) MarkSilent(index uint64, silent []Incarnation) int {
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

func (t *Table) markGone(index uint64, now time.Time, known *Target) {
	next := *known
	next.State, next.Ended, next.Silent = Gone, now, false
	t.put(index, &next)
}

func (t *Table) put(index uint64, row *Target) {
	row.Index = index
	t.rows[row.Name] = row
	t.index, t.list = index, nil
}

// prune deletes the rows of targets that have been gone for tombstoneRetention.
func (t *Table) prune(now time.Time) {
	for name, row := range t.rows {
		if row.Live() || now.Sub(row.Ended) < tombstoneRetention {
			continue
		}
		delete(t.rows, name)
		if t.addresses[row.Address] == name {
			delete(t.addresses, row.Address)
		}
		t.pruned, t.list = max(t.pruned, row.Index), nil
	}
}

// View returns an immutable view of the table.
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

// Saved is the form of the table in a snapshot.
type Saved struct {
	Index  uint64    `cbor:"index"`
	Pruned uint64    `cbor:"pruned"`
	Rows   []*Target `cbor:"rows"` // sorted by name
}

// Save returns the table in its snapshot form.
func (t *Table) Save() Saved {
	v := t.View()
	return Saved{Index: v.Index, Pruned: v.Pruned, Rows: v.rows}
}

// Restore returns the table that a snapshot holds.
func Restore(s Saved) *Table {
	t := New()
	t.index, t.pruned = s.Index, s.Pruned
	for _, row := range s.Rows {
		if row == nil {
			continue
		}
		row.Start, row.Ended = row.Start.UTC(), row.Ended.UTC()
		t.rows[row.Name] = row
		if other := t.rows[t.addresses[row.Address]]; row.Address.IsValid() && (other == nil || other.Start.Before(row.Start)) {
			t.addresses[row.Address] = row.Name
		}
	}
	return t
}
