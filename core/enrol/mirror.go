package enrol

import (
	"net/netip"
	"time"
)

// Update carries rows of the table to an entry. Without rows and with Base
// equal to Index it is a digest.
type Update struct {
	Index uint64 `cbor:"index"`          // the rows hold all changes up to this index
	Base  uint64 `cbor:"base,omitempty"` // that lie behind this one, 0: the whole table
	Rows  []Row  `cbor:"rows,omitempty"`
}

// Row is a target on the wire. It is an array, since names of fields would be
// most of it.
type Row struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	Service    string
	Address    netip.AddrPort
	Region     string
	DataCentre string
	Slots      int
	Start      int64 // Unix milliseconds
	State      State
	Silent     bool
	Cold       int64 // milliseconds
	Index      uint64
}

func (t *Target) compact() Row {
	if !t.Live() {
		return Row{Name: t.Name, Start: t.Start.UnixMilli(), State: t.State, Index: t.Index}
	}
	return Row{
		Name: t.Name, Service: t.Service, Address: t.Address, Region: t.Region, DataCentre: t.DataCentre,
		Slots: t.Slots, Start: t.Start.UnixMilli(), State: t.State, Silent: t.Silent,
		Cold: t.Cold.Milliseconds(), Index: t.Index,
	}
}

// Known is a live target as an entry knows it.
type Known struct {
	Name       string
	Service    string
	Address    netip.AddrPort
	Region     string
	DataCentre string
	Slots      int
	Start      time.Time
	State      State
	Silent     bool
	Cold       time.Duration // announced with the last change
	Index      uint64
	Since      time.Time // when this entry learned of the incarnation
}

// Mirror is an entry's copy of the table. Updates may come from several
// replicas, which are not equally far. It is not safe for concurrent use.
type Mirror struct {
	have uint64
	rows map[string]*Known
}

// NewMirror returns an empty copy.
func NewMirror() *Mirror { return &Mirror{rows: map[string]*Known{}} }

// Have returns the index up to which the copy is complete, 0 for none.
func (m *Mirror) Have() uint64 { return m.have }

// Apply takes an update and returns the services whose targets changed. It
// takes nothing and reports false when the copy lacks changes that the update
// is built on.
func (m *Mirror) Apply(now time.Time, u Update) (changed map[string]bool, ok bool) {
	changed = map[string]bool{}
	switch {
	case u.Index <= m.have:
		return changed, true
	case u.Base > m.have:
		return changed, false
	case u.Base == 0:
		m.drop(u, changed)
	}
	for _, row := range u.Rows {
		// A row of a replica that lags may be older than what is known here.
		if row.Index > m.have {
			m.merge(now, row, changed)
		}
	}
	m.have = u.Index
	return changed, true
}

func (m *Mirror) merge(now time.Time, row Row, changed map[string]bool) {
	known := m.rows[row.Name]
	if known != nil {
		changed[known.Service] = true
	}
	if row.State == Gone {
		delete(m.rows, row.Name)
		return
	}
	next := &Known{
		Name: row.Name, Service: row.Service, Address: row.Address, Region: row.Region, DataCentre: row.DataCentre,
		Slots: row.Slots, Start: time.UnixMilli(row.Start).UTC(), State: row.State, Silent: row.Silent,
		Cold: time.Duration(row.Cold) * time.Millisecond, Index: row.Index, Since: now,
	}
	if known != nil && known.Start.Equal(next.Start) {
		next.Since = known.Since
	}
	m.rows[row.Name] = next
	changed[next.Service] = true
}

// drop removes what a whole table does not hold.
func (m *Mirror) drop(u Update, changed map[string]bool) {
	held := make(map[string]bool, len(u.Rows))
	for _, row := range u.Rows {
		held[row.Name] = true
	}
	for name, known := range m.rows {
		if !held[name] {
			delete(m.rows, name)
			changed[known.Service] = true
		}
	}
}

// Targets returns the live targets of a service in no particular order.
func (m *Mirror) Targets(service string) []*Known {
	var out []*Known
	for _, k := range m.rows {
		if k.Service == service {
			out = append(out, k)
		}
	}
	return out
}

// Len returns the number of live targets.
func (m *Mirror) Len() int { return len(m.rows) }
