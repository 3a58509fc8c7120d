package route

import (
	"math"
	"sync"
	"time"
)

const (
	// troubleMemory is the time over which attempts are counted.
	troubleMemory = 3 * time.Second
	// troubleShare is the share of failed attempts from which a service is in
	// trouble. Single failing targets that are avoided cause about a third of it.
	troubleShare = 0.12
	// troubleLeast is the number of recent attempts that a verdict takes.
	troubleLeast = 4
)

// trouble tells when much of a service fails. Then the targets that failed a
// moment ago are needed again: to leave them out would take capacity from a
// service that lacks it, and a cause that all of them share is no reason to
// prefer one.
type trouble struct {
	mu     sync.Mutex
	at     time.Time
	all    float64
	failed float64
}

// count takes the outcome of an attempt.
func (t *trouble) count(now time.Time, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fade(now)
	t.all++
	if failed {
		t.failed++
	}
}

func (t *trouble) fade(now time.Time) {
	if age := now.Sub(t.at); age > 0 {
		keep := math.Exp(-float64(age) / float64(troubleMemory))
		t.all, t.failed, t.at = t.all*keep, t.failed*keep, now
	}
}

// present reports whether the service is in trouble.
func (t *trouble) present(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fade(now)
	return t.all >= troubleLeast && t.failed >= troubleShare*t.all
}
