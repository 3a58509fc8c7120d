package enrol

import (
	"sort"
)

// View is an immutable view of a table.
type View struct {
	Index  uint64 // index of the last change
	Pruned uint64 // rows of gone targets up to this index may have been deleted

	rows []*Target // sorted by name
}

// Find returns the row of a target, or nil.
func (v *View) Find(name string) *Target {
	i := sort.Search(len(v.rows), func(i int) bool { return v.rows[i].Name >= name })
	if i < len(v.rows) && v.rows[i].Name == name {
		return v.rows[i]
	}
	return nil
}

// Rows returns all rows sorted by name, including those of gone targets. Callers
// must not change the slice.
func (v *View) Rows() []*Target { return v.rows }

// Evaluate returns the effect of an announcement, as Table.Evaluate does.
func (v *View) Evaluate(a Announcement) Effect {
	known := v.Find(a.Name)
	if known != nil && (a.Start.IsZero() || known.Start.Equal(a.Start)) {
		return evaluate(known, nil, a) // no search for the address on each heartbeat
	}
	var holder *Target
	for _, row := range v.rows {
		if row.Address == a.Address && row.Name != a.Name && (holder == nil || row.Start.After(holder.Start)) {
			holder = row
		}
	}
	return evaluate(known, holder, a)
}

// Since returns the update for an entry that has all changes up to an index. It
// is the whole table if rows that the entry must delete may have been pruned.
func (v *View) Since(have uint64) Update {
	u := Update{Index: v.Index, Base: have}
	if have < v.Pruned {
		u.Base = 0
	}
	for _, row := range v.rows {
		if row.Index > u.Base && (u.Base > 0 || row.Live()) {
			u.Rows = append(u.Rows, row.wireRow())
		}
	}
	return u
}
