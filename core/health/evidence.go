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
	// MessageInterval is the time in which the sender earns one message. Together
	// with MessageBurst it allows at most four messages in any second.
	MessageInterval = time.Second / 3
	// MessageBurst is the number of messages that may be saved up. The last saved
	// one is reserved for bad observations: without that, messages with a single
	// good observation each used up the messages of a second, and the report of a
	// fault that followed had to wait.
	MessageBurst = 2
)

// Evidence returns the unreported evidence about suspects and watched targets. It
// returns nil when there is none, when the message rate is used up, or when most
// targets look unhealthy to this entry. The rows are valid until the next call.
func (m *Monitor) Evidence(now time.Time) []wire.TargetEvidence {
	m.tokens = min(MessageBurst, m.tokens+float64(now.Sub(m.tokensUpdated))/float64(MessageInterval))
	m.tokensUpdated = now
	if m.tokens < 1 {
		return nil
	}
	m.rows = m.rows[:0]
	if m.commonCause {
		for _, t := range m.targetList {
			t.state.resetReport(now)
		}
		return nil
	}
	var due []*Target
	for _, t := range m.targetList {
		if m.shouldReport(t) {
			due = append(due, t)
		}
	}
	anyBad := slices.ContainsFunc(due, func(t *Target) bool { return t.state.unreported.bad() > 0 })
	if len(due) == 0 || !anyBad && m.tokens < MessageBurst {
		return nil
	}
	slices.SortStableFunc(due, func(a, b *Target) int { return cmp.Compare(b.state.sum, a.state.sum) })
	for _, t := range due[:min(len(due), MaxRows)] {
		m.rows = append(m.rows, t.row(m.service))
		t.state.resetReport(now)
	}
	m.tokens--
	return m.rows
}

// shouldReport reports whether the evidence about a target is to be sent: the
// target is watched, its local sum has reached reportSum, or a single attempt was
// severe.
func (m *Monitor) shouldReport(t *Target) bool {
	s := &t.state
	if s.unreported.all() == 0 || m.regions[t.Region].weightFactor < 1 {
		return false
	}
	return s.watched || s.sum >= reportSum || s.unreported.severe > 0 && s.sum > 0
}

// row returns the unreported evidence about the target. Failures that the failure
// rate of the peers explains count as good.
func (t *Target) row(service string) wire.TargetEvidence {
	s := &t.state
	shared := min(int64(s.sharedFailures), s.unreported.failed)
	return wire.TargetEvidence{
		Service: service, Target: t.Address, Start: t.Started, Score: s.score,
		Good: int(max(0, s.unreported.good+shared)), Slow: int(max(0, s.unreported.slow)),
		Failed: int(s.unreported.failed - shared),
	}
}
