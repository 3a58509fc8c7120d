package agent

import (
	"math"
	"sync"

	"golang.org/x/time/rate"

	"github.com/galenalock/galenalock/core/spec"
)

// rates holds the request rates of workspaces. Callers are spread over the
// entries by the balancer, so each entry allows an equal share.
type rates struct {
	mu       sync.RWMutex
	limiters map[string]*rate.Limiter
}

func newRates() *rates { return &rates{limiters: map[string]*rate.Limiter{}} }

// set brings the limiters in line with a text and the number of entries.
func (r *rates) set(text *spec.Text, entries int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[string]*rate.Limiter, len(r.limiters))
	for _, w := range text.Workspaces {
		if w.Rate == 0 {
			continue
		}
		share := rate.Limit(w.Rate / float64(entries))
		burst := max(1, int(math.Ceil(float64(share))))
		l := r.limiters[w.Name]
		if l == nil {
			l = rate.NewLimiter(share, burst)
		}
		if l.Limit() != share {
			l.SetLimit(share)
			l.SetBurst(burst)
		}
		next[w.Name] = l
	}
	r.limiters = next
}

// allow reports whether a workspace may send one more request now.
func (r *rates) allow(workspace string) bool {
	if workspace == "" {
		return true
	}
	r.mu.RLock()
	l := r.limiters[workspace]
	r.mu.RUnlock()
	return l == nil || l.Allow()
}
