package proxy

import (
	"net/http"
	"sync"
	"time"
)

// guard limits the time that a caller can keep a request open after its deadline
// by not reading the response or not sending the body.
type guard struct {
	controller *http.ResponseController
	now        func() time.Time

	mu    sync.Mutex
	ended bool
	fired bool
}

// fire sets the limit after the deadline. It does nothing after end, since the
// response writer must not be used after the handler has returned.
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
	_ = g.controller.SetWriteDeadline(g.now().Add(lingerTimeout))
}

// end removes the limit for the next request on the connection.
func (g *guard) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	if g.fired {
		_ = g.controller.SetWriteDeadline(time.Time{})
	}
}
