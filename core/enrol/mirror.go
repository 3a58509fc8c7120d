package enrol

import (
	"net/netip"
	"time"
)

// Update carries rows of the table to an entry. An update without rows whose
// Base equals Index is a digest: it only announces the index.
type Update struct {
	Index uint64 `cbor:"index"`          // the update contains all changes up to this index
	Base  uint64 `cbor:"base,omitempty"` // and after this one; 0: the rows are the whole table
	Rows  []Row  `cbor:"rows,omitempty"`
}

// Row is the wire form of a target. It is encoded as an array, because field
// names would make up most of its size.
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

func (t *Target) wireRow() Row {
	if !t.Live() {
		return Row{Name: t.Name, Start: t.Start.UnixMilli(), State: t.State, Index: t.Index}
	}
	return Row{
		Name: t.Name, Service: t.Service, Address: t.Address, Region: t.Region, DataCentre: t.DataCentre,
		Slots: t.Slots, Start: t.Start.UnixMilli(), State: t.State, Silent: t.Silent,
		Cold: t.Cold.Milliseconds(), Index: t.Index,
	}
}

// MirrorTarget is a live target in a Mirror.
type MirrorTarget struct {
	Name       string
	Service    string
	Address    netip.AddrPort
	Region     string
	DataCentre string
	Slots      int
	Start      time.Time
	State      State
	Silent     bool
	Cold       time.Duration // as announced with the last change
	Index      uint64
	Since      time.Time // when this entry first received the incarnation
}

// Mirror is an entry's copy of the table. Updates may come from several replicas
// that have applied the log up to different indices. It is not safe for
// concurrent use.
type Mirror struct {
	appliedIndex uint64
	rows         map[string]*MirrorTarget
}

// NewMirror returns an empty Mirror.
func NewMirror() *Mirror { return &Mirror{rows: map[string]*MirrorTarget{}} }

// AppliedIndex returns the index up to which the copy is complete, 0 if nothing
// was applied.
func (m *Mirror) AppliedIndex() uint64 { return m.appliedIndex }

// Apply applies an update and returns the services whose targets changed. If the
// copy lacks changes before the base of the update, Apply changes nothing and
// returns false.
func (m *Mirror) Apply(now time.Time, u Update) (changed map[string]bool, ok bool) {
	changed = map[string]bool{}
	switch {
	case u.Index <= m.appliedIndex:
		return changed, true
	case u.Base > m.appliedIndex:
		return changed, false
	case u.Base == 0:
		m.removeAbsent(u, changed)
	}
	for _, row := range u.Rows {
		// A row from a lagging replica may be older than the local one.
		if row.Index > m.appliedIndex {
			m.merge(now, row, changed)
		}
	}
	m.appliedIndex = u.Index
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
	next := &MirrorTarget{
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

// removeAbsent removes the targets that are missing in an update with the whole
// table.
func (m *Mirror) removeAbsent(u Update, changed map[string]bool) {
	present := make(map[string]bool, len(u.Rows))
	for _, row := range u.Rows {
		present[row.Name] = true
	}
	for name, known := range m.rows {
		if !present[name] {
			delete(m.rows, name)
			changed[known.Service] = true
		}
	}
}

// Targets returns the live targets of a service in no particular order.
func (m *Mirror) Targets(service string) []*MirrorTarget {
	var out []*MirrorTarget
	for _, k := range m.rows {
		if k.Service == service {
			out = append(out, k)
		}
	}
	return out
}

// Len returns the number of live targets.
func (m *Mirror) Len() int { return len(m.rows) }
