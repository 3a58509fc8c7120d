package state

import (
	"maps"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/enrol"
)

// View is an immutable view of the state for readers in other goroutines.
type View struct {
	Index      uint64
	Time       time.Time
	Drains     []Drained // sorted by name
	Leases     []Lease   // sorted by service, address and start
	Sets       map[string]uint64
	NextExpiry time.Time // time of the next expiry, or the zero time
	Running    int       // running claims
	Unknown    int       // claims of unknown outcome that are not retired yet
	Keys       int       // claims and retired keys
	ClaimBytes int       // estimated memory of claims, their answers and retired keys
	// AnswerBytes is the total size of the stored answers.
	AnswerBytes int
	Targets     enrol.View

	text      []byte
	revisions []storedRevision
}

// Drained is an operator's drain.
type Drained struct {
	Name  string
	Since time.Time
}

// View returns a view of the current state.
func (m *Machine) View() *View {
	if m.view != nil {
		return m.view
	}
	v := &View{
		Index: m.index, Time: m.now, NextExpiry: m.NextExpiry(),
		Leases: m.grants.list(), Sets: m.grants.setNumbers(), Drains: m.drained,
		Running: m.claims.running, Unknown: m.claims.unknown,
		Keys:       len(m.claims.table) + len(m.claims.retired),
		ClaimBytes: m.claims.bytes(), AnswerBytes: m.claims.answerBytes,
		Targets: m.enrol.View(),
		text:    m.texts.text, revisions: m.texts.revisions,
	}
	m.view = v
	return v
}

// Holds reports whether there is a record of a key, which decides on further claims of it.
func (m *Machine) Holds(service, key string) bool {
	return m.claims.holds(claimKey{Service: service, Key: key})
}

// rebuildDrained updates the list of drains that views share.
func (m *Machine) rebuildDrained() {
	m.drained = nil
	for _, name := range slices.Sorted(maps.Keys(m.drains)) {
		m.drained = append(m.drained, Drained{Name: name, Since: m.drains[name]})
	}
}

// Newest returns the newest revision; its number is 0 if there is none.
func (v *View) Newest() Revision {
	if len(v.revisions) == 0 {
		return Revision{}
	}
	return v.revisions[len(v.revisions)-1].Revision
}

// History returns the revisions whose text is stored, newest first.
func (v *View) History() []Revision {
	out := make([]Revision, 0, len(v.revisions))
	for _, stored := range slices.Backward(v.revisions) {
		out = append(out, stored.Revision)
	}
	return out
}

// Text returns the text of a revision and whether it is stored. Callers must not
// change the text.
func (v *View) Text(number uint64) ([]byte, bool) {
	text := v.text
	for _, stored := range slices.Backward(v.revisions) {
		if stored.Revision.Number == number {
			return text, true
		}
		before, err := stored.Reverse.apply(text)
		if err != nil {
			return nil, false
		}
		text = before
	}
	return nil, false
}
