package health

import "time"

// Flags in the low bits of a pending slot; the time is above them.
const (
	flagSlow   = 1
	flagSevere = 2
	flagBits   = 2
)

// Call is an attempt in flight. It is a value and allocates nothing.
type Call struct {
	target *Target
	began  int64
	slot   int32
}

// Start records that an attempt was sent.
func (t *Target) Start(now time.Time) Call {
	began := int64(now.Sub(t.epoch))
	c := Call{target: t, began: began, slot: -1}
	t.open.Add(1)
	at := int(began>>10) & (pendingSlots - 1)
	for i := range pendingSlots {
		slot := (at + i) & (pendingSlots - 1)
		if t.pending[slot].Load() == 0 && t.pending[slot].CompareAndSwap(0, began<<flagBits) {
			c.slot = int32(slot)
			break
		}
	}
	return c
}

// Finish records how the attempt ended. It is called once.
func (c Call) Finish(now time.Time, outcome Outcome) {
	t := c.target
	t.open.Add(-1)
	var flags int64
	if c.slot >= 0 {
		flags = t.pending[c.slot].Swap(0) & (1<<flagBits - 1)
	}
	latency := time.Duration(int64(now.Sub(t.epoch)) - c.began)
	counted := flags&flagSlow != 0
	switch outcome {
	case Failed:
		t.severe.Add(1)
		t.failed.Add(1)
		if counted {
			t.slow.Add(-1)
		}
	case Void:
		if counted {
			t.slow.Add(-1)
		}
		if flags&flagSevere != 0 {
			t.severe.Add(-1)
		}
	case OK:
		t.counts[bucket(latency)].Add(1)
		if !counted {
			t.judge(latency)
		}
	case Cancelled:
	}
}
