package trial

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// gap without an ordinary request to an unhealthy target counts as
	// detected.
	gap = 3 * time.Second
	// settle is how long after a fault an ejection still counts as right:
	// evidence is on its way, and the target works off its queue.
	settle = 2 * time.Second
	// microseconds to 20 s at three digits.
	lowest, highest, digits = 1, 20_000_000, 3
)

// measure collects the figures of one run, after the warm-up.
type measure struct {
	latency    *hdrhistogram.Histogram
	offered    float64
	answered   float64
	retries    int64
	bytes      int64 // between regions
	controlled int64 // on links to the leader
	violations int64
	probes     int64
	wrong      int64
	right      int64
}

func (m *measure) init() { m.latency = hdrhistogram.New(lowest, highest, digits) }

// counts reports whether a request is born after the warm-up and early enough
// to end within the run.
func (w *world) counts(r *request) bool {
	return r.born >= w.scene.Warm && r.born+w.scene.Kinds[r.kind].Timeout < w.scene.Warm+w.scene.Length
}

func (m *measure) offer(w *world, r *request) {
	if w.counts(r) {
		m.offered += w.scene.Kinds[r.kind].Weight
	}
}

func (m *measure) finish(w *world, r *request, ok bool) {
	if ok && w.counts(r) {
		m.answered += w.scene.Kinds[r.kind].Weight
		_ = m.latency.RecordValue(min(highest, max(lowest, (w.now-r.born).Microseconds())))
	}
}

func (m *measure) send(w *world, r *request, a *attempt) {
	t := &w.targets[a.target]
	if w.naive && w.entries[r.entry].region != t.region && w.now >= w.scene.Warm {
		m.bytes += requestBytes + responseBytes
	}
	if len(t.faults) == 0 || w.now < w.scene.Warm {
		return
	}
	if a.probe {
		m.probes++
		return
	}
	t.sends = append(t.sends, w.now)
}

func (m *measure) crossed(w *world, n int64) {
	if w.now >= w.scene.Warm {
		m.bytes += n
	}
}

func (m *measure) control(w *world, n int64, crossing bool) {
	if w.now < w.scene.Warm {
		return
	}
	m.controlled += n
	if crossing {
		m.bytes += n
	}
}

// eject records an ejection, which is false when the target had no fault just
// before.
func (m *measure) eject(w *world, target int) {
	// What the entries of the naive variant do one by one counts once, until
	// no entry holds the target.
	holders := 0
	for _, e := range w.entries {
		if w.naive && e.holds(target) {
			holders++
		}
	}
	switch {
	case holders > 1:
	case w.targets[target].ill(w.now):
		m.right++
	default:
		m.wrong++
	}
}

// ill reports whether the target is or has just been unhealthy.
func (t *target) ill(now time.Duration) bool {
	for back := time.Duration(0); back <= settle; back += 100 * time.Millisecond {
		if t.active(now-back) != nil {
			return true
		}
	}
	return t.cold > 0 && now < t.cold+settle
}

// detection is the time from the first fault to the last ordinary request
// before the first gap, and whether there was one.
func (m *measure) detection(w *world) (time.Duration, bool) {
	worst, found, any := time.Duration(0), true, false
	for i := range w.targets {
		t := &w.targets[i]
		if len(t.faults) == 0 {
			continue
		}
		any = true
		f := t.faults[0]
		last, seen := f.At, false
		for _, at := range t.sends {
			if at < f.At {
				continue
			}
			if at-last >= gap {
				seen = true
				break
			}
			last = at
		}
		if !seen && f.At+f.Length-last >= gap {
			seen = true
		}
		if !seen {
			found = false
			last = f.At + f.Length
		}
		worst = max(worst, last-f.At)
	}
	return worst, found && any
}

// check counts an entry that holds targets out although the healthy capacity
// it leaves in service is below the floor.
func (e *entry) check() {
	w := e.world
	if w.now < w.scene.Warm {
		return
	}
	serving, held := 0, 0
	for i := range w.targets {
		if e.holds(i) {
			held++
		} else {
			serving += w.targets[i].slots
		}
	}
	if held > 0 && float64(serving) < w.scene.Floor*float64(len(w.targets)*w.scene.Slots) {
		w.measure.violations++
	}
}

func (m *measure) retry(w *world) {
	if w.now >= w.scene.Warm {
		m.retries++
	}
}
