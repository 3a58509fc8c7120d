package quota

import "time"

// MaxPause is the longest pause that is kept. A longer one is shortened.
const MaxPause = time.Hour

// ParsePause parses a pause in seconds. It reports false unless the value is a
// decimal number above zero.
func ParsePause(value string) (time.Duration, bool) {
	seconds, ok := parseDecimal(value)
	if !ok || seconds <= 0 {
		return 0, false
	}
	if seconds >= MaxPause.Seconds() {
		return MaxPause, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// Pause records that the target wants no request from this entry for some time. A
// pause never shortens an earlier one. It reports whether the target was not paused.
func (t *Target) Pause(now time.Time, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	isNew := !now.Before(t.pausedUntil)
	if until := now.Add(min(d, MaxPause)); until.After(t.pausedUntil) {
		t.pausedUntil = until
	}
	t.closed.Store(true)
	return isNew
}

// Leave records that the target leaves, so that it gets no further request. It
// reports whether that was not known.
func (t *Target) Leave() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	isNew := !t.leaving
	t.leaving = true
	t.closed.Store(true)
	return isNew
}

// Closed reports whether the target wants no request from this entry now, and for
// how long: 0 if it leaves.
func (t *Target) Closed(now time.Time) (left time.Duration, closed bool) {
	if !t.closed.Load() {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		return 0, true
	}
	left = t.pausedUntil.Sub(now)
	return max(0, left), left > 0
}
