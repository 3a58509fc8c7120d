package health

import "time"

// Flags in the low bits of a pending slot; the start time is in the bits above.
const (
	flagSlow   = 1
	flagSevere = 2
	flagBits   = 2
)

// Call is an attempt in flight. It is passed by value and needs no allocation.
type Call struct {
	target    *Target
	startedAt int64
	slot      int32
}

// Start records that an attempt was sent.
func (t *Target) Start(now time.Time) Call {
	startedAt := int64(now.Sub(t.epoch))
	c := Call{target: t, startedAt: startedAt, slot: -1}
	t.inFlight.Add(1)
	first := int(startedAt>>10) & (pendingSlots - 1)
	for i := range pendingSlots {
		slot := (first + i) & (pendingSlots - 1)
		if t.pending[slot].Load() == 0 && t.pending[slot].CompareAndSwap(0, startedAt<<flagBits) {
			c.slot = int32(slot)
			break
		}
	}
	return c
}

// Finish records how the attempt ended. It must be called exactly once.
func (c Call) Finish(now time.Time, outcome Outcome) {
	t := c.target
	t.inFlight.Add(-1)
	var flags int64
	if c.slot >= 0 {
		flags = t.pending[c.slot].Swap(0) & (1<<flagBits - 1)
	}
	latency := time.Duration(int64(now.Sub(t.epoch)) - c.startedAt)
	counted := flags&flagSlow != 0
	switch outcome {
	case Failed:
		t.severe.Add(1)
		t.failed.Add(1)
		if counted {
			t.slow.Add(-1)
		}
	case Discarded:
		if counted {
			t.slow.Add(-1)
		}
		if flags&flagSevere != 0 {
			t.severe.Add(-1)
		}
	case OK:
		t.counts[bucket(latency)].Add(1)
		if !counted {
			t.recordLatency(latency)
		}
	case Cancelled:
	}
}
