package poison

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// threshold is the number of targets that must have crashed under a request
	// before it is quarantined.
	threshold = 3
	// DefaultHold is the time from the last crash for which a request is
	// quarantined for the first time, and for which crashes are remembered.
	DefaultHold = 10 * time.Minute
	// maxDoublings limits how often further crashes double the time.
	maxDoublings = 7
	// maxPrints bounds the table. A print without a quarantine gives way to a new
	// one.
	maxPrints = 1024
	// maxCrashes bounds the crashes that are kept of one print.
	maxCrashes = 16
)

// Victim is an incarnation of a target that crashed.
type Victim struct {
	Address netip.AddrPort
	Start   int64 // Unix milliseconds
}

// Crash is a crash of a target while it ran a request.
type Crash struct {
	Print  Print
	Victim Victim
	At     time.Time
}

// Table holds the crashes that requests may have caused.
type Table struct {
	hold   time.Duration
	spread float64

	size    atomic.Int64 // of records, read without the lock
	mu      sync.Mutex
	records map[Print]*record
	causes  map[Victim]Print // the quarantined request that explains a crash
}

// record holds what is known of one print.
type record struct {
	crashes   []Crash // one for each victim, the oldest first
	answered  time.Time
	lastCrash time.Time
}

// Option configures a Table.
type Option func(*Table)

// WithHold sets the time of the first quarantine. Zero disables quarantines.
func WithHold(d time.Duration) Option { return func(t *Table) { t.hold = d } }

// WithSpread multiplies the times by 1 + share. With different shares, the entries
// do not all try a request again at the same moment.
func WithSpread(share float64) Option { return func(t *Table) { t.spread = share } }

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{hold: DefaultHold, records: map[Print]*record{}, causes: map[Victim]Print{}}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Record records a crash. It reports whether the crash was not known, and whether
// the request is quarantined because of it.
func (t *Table) Record(now time.Time, c Crash) (isNew, quarantined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	r := t.records[c.Print]
	if r == nil {
		if len(t.records) >= maxPrints && !t.evict() {
			return false, false
		}
		r = &record{}
		t.records[c.Print] = r
		t.size.Store(int64(len(t.records)))
	}
	known := slices.ContainsFunc(r.crashes, func(o Crash) bool { return o.Victim == c.Victim })
	if known || !c.At.After(r.answered) {
		return false, false
	}
	before := t.countUnexplained(c.Print, r)
	if len(r.crashes) >= maxCrashes {
		t.forgetOldest(c.Print, r)
	}
	r.crashes = append(r.crashes, c)
	if c.At.After(r.lastCrash) {
		r.lastCrash = c.At
	}
	after := t.countUnexplained(c.Print, r)
	if after >= threshold {
		t.explain(c.Print, r)
	}
	return true, before < threshold && after >= threshold
}

// Answered records that a target answered the request after all, and reports
// whether crashes were held against it.
func (t *Table) Answered(p Print, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[p]
	if r == nil || !at.After(r.answered) {
		return false
	}
	r.answered = at
	before := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool {
		voided := !c.At.After(at)
		if voided && t.causes[c.Victim] == p {
			delete(t.causes, c.Victim)
		}
		return voided
	})
	return len(r.crashes) < before
}

// Quarantined returns the time until a request may be sent to a target again, and
// false if it may be sent now.
func (t *Table) Quarantined(now time.Time, p Print) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quarantined(now, p, t.records[p])
}

// quarantined is Quarantined for a known record. The caller holds t.mu.
func (t *Table) quarantined(now time.Time, p Print, r *record) (time.Duration, bool) {
	if r == nil || t.hold <= 0 {
		return 0, false
	}
	crashes := t.countUnexplained(p, r)
	if crashes < threshold {
		return 0, false
	}
	left := r.lastCrash.Add(t.holdTime(crashes)).Sub(now)
	return left, left > 0
}

// Held returns the crashes of the requests that are quarantined.
func (t *Table) Held(now time.Time) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Crash
	for p, r := range t.records {
		if _, held := t.quarantined(now, p, r); held {
			out = append(out, r.crashes...)
		}
	}
	return out
}

// Len returns the number of requests for which crashes are known.
func (t *Table) Len() int { return int(t.size.Load()) }

// holdTime returns the time of the quarantine of a request with so many crashes.
func (t *Table) holdTime(crashes int) time.Duration {
	doublings := min(max(0, crashes-threshold), maxDoublings)
	return time.Duration((1 + t.spread) * float64(t.hold<<doublings))
}

// countUnexplained returns the number of crashes that no other request explains.
// The caller holds t.mu.
func (t *Table) countUnexplained(p Print, r *record) int {
	n := 0
	for _, c := range r.crashes {
		if cause, ok := t.causes[c.Victim]; !ok || cause == p {
			n++
		}
	}
	return n
}

// forgetOldest removes the first crash of a record. The caller holds t.mu.
func (t *Table) forgetOldest(p Print, r *record) {
	if victim := r.crashes[0].Victim; t.causes[victim] == p {
		delete(t.causes, victim)
	}
	r.crashes = slices.Delete(r.crashes, 0, 1)
}

// explain marks the request as the cause of its crashes. The caller holds t.mu.
func (t *Table) explain(p Print, r *record) {
	for _, c := range r.crashes {
		if _, ok := t.causes[c.Victim]; !ok {
			t.causes[c.Victim] = p
		}
	}
}

// expire removes the records whose crashes no longer count. A quarantined request
// is remembered for as long again after its quarantine. The caller holds t.mu.
func (t *Table) expire(now time.Time) {
	for p, r := range t.records {
		memory := t.hold
		if n := t.countUnexplained(p, r); n >= threshold {
			memory = 2 * t.holdTime(n)
		}
		last := r.lastCrash
		if r.answered.After(last) {
			last = r.answered
		}
		if now.Sub(last) >= max(memory, time.Minute) {
			t.remove(p, r)
		}
	}
}

// evict removes the oldest record without a quarantine, and reports whether there
// was one. The caller holds t.mu.
func (t *Table) evict() bool {
	var oldest Print
	var found *record
	for p, r := range t.records {
		if t.countUnexplained(p, r) < threshold && (found == nil || r.lastCrash.Before(found.lastCrash)) {
			oldest, found = p, r
		}
	}
	if found == nil {
		return false
	}
	t.remove(oldest, found)
	return true
}

func (t *Table) remove(p Print, r *record) {
	for _, c := range r.crashes {
		if t.causes[c.Victim] == p {
			delete(t.causes, c.Victim)
		}
	}
	delete(t.records, p)
	t.size.Store(int64(len(t.records)))
}
