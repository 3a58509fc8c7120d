package enrol

import (
	"sort"
)

// View is an immutable picture of a table.
type View struct {
	Index  uint64 // of the last change
	Pruned uint64 // ends up to this index are forgotten

	rows []*Target // by name
}

// Find returns the row of a target, or nil.
func (v *View) Find(name string) *Target {
	i := sort.Search(len(v.rows), func(i int) bool { return v.rows[i].Name >= name })
	if i < len(v.rows) && v.rows[i].Name == name {
		return v.rows[i]
	}
	return nil
}

// Rows returns all rows by name, ended ones included. The slice must not be
// changed.
func (v *View) Rows() []*Target { return v.rows }

// Judge is Table.Judge on the picture.
func (v *View) Judge(a Announcement) Verdict {
	known := v.Find(a.Name)
	if known != nil && (a.Start.IsZero() || known.Start.Equal(a.Start)) {
		return judge(known, nil, a) // a heartbeat does not look for its address
	}
	var holder *Target
	for _, row := range v.rows {
		if row.Address == a.Address && row.Name != a.Name && (holder == nil || row.Start.After(holder.Start)) {
			holder = row
		}
	}
	return judge(known, holder, a)
}

// Since returns what an entry lacks that has all changes up to an index.
func (v *View) Since(have uint64) Update {
	u := Update{Index: v.Index, Base: have}
	if have < v.Pruned {
		u.Base = 0
	}
	for _, row := range v.rows {
		if row.Index > u.Base && (u.Base > 0 || row.Live()) {
			u.Rows = append(u.Rows, row.compact())
		}
	}
	return u
}
