package agent

import (
	"math"
	"sync"

	"golang.org/x/time/rate"

	"github.com/galenalock/galenalock/core/spec"
)

// rates limits the request rates of workspaces if control does not grant tokens (see
// tokens): each entry allows an equal share of a rate.
type rates struct {
	mu       sync.RWMutex
	limiters map[string]*rate.Limiter
}

func newRates() *rates { return &rates{limiters: map[string]*rate.Limiter{}} }

// setLimits updates the limiters for a service text and a number of entries.
func (r *rates) setLimits(text *spec.Text, entries int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[string]*rate.Limiter, len(r.limiters))
	for _, w := range text.Workspaces {
		if w.RateLimit == 0 {
			continue
		}
		share := rate.Limit(w.RateLimit / float64(entries))
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

// allow takes a token and reports whether the workspace may send a request now.
func (r *rates) allow(workspace string) bool {
	if workspace == "" {
		return true
	}
	r.mu.RLock()
	l := r.limiters[workspace]
	r.mu.RUnlock()
	return l == nil || l.Allow()
}
