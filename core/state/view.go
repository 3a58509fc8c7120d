package state

import (
	"maps"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/enrol"
)

// View is an immutable picture of the state for readers in other goroutines.
type View struct {
	Index   uint64
	Time    time.Time
	Drains  []Drained // by name
	Leases  []Lease   // by service and target
	Sets    map[string]uint64
	Due     time.Time // when something expires next, or the zero time
	Running int       // claims that are running
	Unknown int       // claims of unknown outcome that are kept whole
	Keys    int       // claims and retired keys
	Targets enrol.View

	text []byte
	kept []kept
}

// Drained is an operator's drain.
type Drained struct {
	Name  string
	Since time.Time
}

// View returns a picture of the state.
func (m *Machine) View() *View {
	if m.view != nil {
		return m.view
	}
	v := &View{
		Index: m.index, Time: m.now, Due: m.Due(),
		Leases: m.grants.list(), Sets: m.grants.numbers(), Drains: m.drained,
		Running: m.claims.running, Unknown: m.claims.unknown,
		Keys:    len(m.claims.table) + len(m.claims.retired),
		Targets: m.enrol.View(),
		text:    m.texts.text, kept: m.texts.kept,
	}
	m.view = v
	return v
}

// listDrains makes the list that views share.
func (m *Machine) listDrains() {
	m.drained = nil
	for _, name := range slices.Sorted(maps.Keys(m.drains)) {
		m.drained = append(m.drained, Drained{Name: name, Since: m.drains[name]})
	}
}

// Newest returns the newest revision; its number is 0 before the first one.
func (v *View) Newest() Revision {
	if len(v.kept) == 0 {
		return Revision{}
	}
	return v.kept[len(v.kept)-1].Revision
}

// History returns the revisions whose text is kept, newest first.
func (v *View) History() []Revision {
	out := make([]Revision, 0, len(v.kept))
	for _, k := range slices.Backward(v.kept) {
		out = append(out, k.Revision)
	}
	return out
}

// Text returns the text of a revision and whether it is kept. Callers must not
// change it.
func (v *View) Text(number uint64) ([]byte, bool) {
	text := v.text
	for _, k := range slices.Backward(v.kept) {
		if k.Revision.Number == number {
			return text, true
		}
		before, err := k.Back.apply(text)
		if err != nil {
			return nil, false
		}
		text = before
	}
	return nil, false
}
