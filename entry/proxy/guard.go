package proxy

import (
	"net/http"
	"sync"
	"time"
)

// guard bounds the time that a caller may hold a request after its deadline,
// by not reading the response or not sending the body.
type guard struct {
	control *http.ResponseController
	now     func() time.Time

	mu    sync.Mutex
	ended bool
	fired bool
}

// fire sets the bound. The writer may not be used after the handler returned.
func (g *guard) fire(u *upload) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return
	}
	g.fired = true
	if u != nil && u.started.Load() && !u.ended.Load() {
		u.interrupt()
	}
	_ = g.control.SetWriteDeadline(g.now().Add(linger))
}

// end lifts the bound for the next request of the connection.
func (g *guard) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	if g.fired {
		_ = g.control.SetWriteDeadline(time.Time{})
	}
}
