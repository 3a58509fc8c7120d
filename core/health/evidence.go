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
	// Pause is the time in which one message becomes available; with Burst, at
	// most four are sent in any second.
	Pause = time.Second / 3
	// Burst is the number of messages that may be saved. The last one is for
	// bad news: messages with a single good observation each used up the share
	// of a second, and the fault that followed had to wait for the next.
	Burst = 2
)

// Evidence returns the unreported evidence about suspects and watched targets,
// or nil when there is none, when the last report is too recent, or when most
// targets look unhealthy from here. The rows are valid until the next call.
func (m *Monitor) Evidence(now time.Time) []wire.Sighted {
	m.credit = min(Burst, m.credit+float64(now.Sub(m.credited))/float64(Pause))
	m.credited = now
	if m.credit < 1 {
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
	bad := slices.ContainsFunc(due, func(t *Target) bool { return t.state.report.bad() > 0 })
	if len(due) == 0 || !bad && m.credit < Burst {
		return nil
	}
	slices.SortStableFunc(due, func(a, b *Target) int { return cmp.Compare(b.state.sum, a.state.sum) })
	for _, t := range due[:min(len(due), MaxRows)] {
		m.rows = append(m.rows, t.row(m.service))
		t.state.clear(now)
	}
	m.credit--
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
