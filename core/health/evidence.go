package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

const (
	// MaxRows bounds the targets in one message.
	MaxRows = 16
	// MaxMessages bounds the messages in any second.
	MaxMessages = 4
	// Pause is the least time between two messages. It is shorter than an even
	// share of the second, so that the first reports about a new suspect do
	// not wait.
	Pause = 100 * time.Millisecond
)

// Evidence returns the unreported evidence about suspects and watched targets,
// or nil when there is none, when the last report is too recent, or when most
// targets look unhealthy from here. The rows are valid until the next call.
func (m *Monitor) Evidence(now time.Time) []wire.Sighted {
	last := m.sent[(m.next+MaxMessages-1)%MaxMessages]
	if now.Sub(last) < Pause || now.Sub(m.sent[m.next]) < time.Second {
		return nil
	}
	m.rows = m.rows[:0]
	if m.blind {
		for _, t := range m.list {
			t.state.clear(now)
		}
		return nil
	}
	var due []*Target
	for _, t := range m.list {
		if m.due(t) {
			due = append(due, t)
		}
	}
	if len(due) == 0 {
		return nil
	}
	slices.SortStableFunc(due, func(a, b *Target) int { return cmp.Compare(b.state.sum, a.state.sum) })
	for _, t := range due[:min(len(due), MaxRows)] {
		m.rows = append(m.rows, t.row(m.service))
		t.state.clear(now)
	}
	m.sent[m.next], m.next = now, (m.next+1)%MaxMessages
	return m.rows
}

// due reports whether a target is reported: it is watched, its local sum is
// suspicious, or a single attempt was bad beyond doubt.
func (m *Monitor) due(t *Target) bool {
	s := &t.state
	if s.report.all() == 0 || m.regions[t.Region].factor < 1 {
		return false
	}
	return s.watched || s.sum >= reported || s.report.severe > 0 && s.sum > 0
}

func (t *Target) row(service string) wire.Sighted {
	s := &t.state
	shared := min(int64(s.excess), s.report.failed)
	return wire.Sighted{
		Service: service, Target: t.Address, Start: t.Started, Score: s.score,
		Good: int(max(0, s.report.good+shared)), Slow: int(max(0, s.report.slow)),
		Failed: int(s.report.failed - shared),
	}
}
