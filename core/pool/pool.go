package pool

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Pool sends requests and keeps idle connections to each target. It is safe for
// concurrent use.
type Pool struct {
	opts options

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn // the most recently used one last
	sweep  *time.Timer                // runs while there are idle connections, otherwise nil
	closed bool
}

// New returns an empty pool.
func New(opts ...Option) *Pool {
	return &Pool{opts: newOptions(opts), idle: map[netip.AddrPort][]*conn{}}
}

// Do sends the request once and returns the final response. If ctx ends before
// the response body is read to its end, the connection is closed. The caller must
// close the response body.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.acquire(ctx, r)
	if err != nil {
		return nil, &DialError{Target: r.Target, Err: err}
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(c.reused); err != nil {
			p.putIdle(c)
			return nil, &BeforeSendError{Err: err}
		}
	}
	e := &exchange{pool: p, conn: c, request: r}
	e.stopWatch = context.AfterFunc(ctx, func() { c.netConn.Close() })
	response, err := e.run()
	if err != nil {
		e.abort()
		return nil, err
	}
	return response, nil
}

func (p *Pool) acquire(ctx context.Context, r *Request) (*conn, error) {
	for !r.NewConnection {
		c := p.takeIdle(r.Target, r.NonRepeatable)
		if c == nil {
			break
		}
		if p.opts.checkIdle(c.netConn) {
			c.reused = true
			c.sentBytes.Store(0)
			return c, nil
		}
		c.netConn.Close()
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	begin := p.opts.now()
	raw, err := p.opts.dial(ctx, r.Target)
	if err != nil {
		return nil, err
	}
	now := p.opts.now()
	c := newConn(raw, r.Target, now)
	c.connectTime = now.Sub(begin)
	return c, nil
}

// takeIdle removes and returns the most recently used connection of a target, or
// nil if it has been idle for too long.
func (p *Pool) takeIdle(target netip.AddrPort, nonRepeatable bool) *conn {
	now := p.opts.now()
	limit := p.opts.idleTimeout
	if nonRepeatable {
		limit = p.opts.recentLimit
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target]
	if len(list) == 0 || !list[len(list)-1].usable(now, limit) {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[target] = list[:len(list)-1]
	return c
}

func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.target]) >= p.opts.maxIdle {
		c.netConn.Close()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
	if p.sweep == nil {
		p.sweep = time.AfterFunc(p.opts.sweepInterval, p.closeUnusable)
	}
}

// closeUnusable closes the idle connections that no request may use any more.
func (p *Pool) closeUnusable() {
	now := p.opts.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, list := range p.idle {
		kept := slices.DeleteFunc(list, func(c *conn) bool {
			unusable := !c.usable(now, p.opts.idleTimeout) || !p.opts.checkIdle(c.netConn)
			if unusable {
				c.netConn.Close()
			}
			return unusable
		})
		if p.idle[target] = kept; len(kept) == 0 {
			delete(p.idle, target)
		}
	}
	if p.closed || len(p.idle) == 0 {
		p.sweep = nil
		return
	}
	p.sweep.Reset(p.opts.sweepInterval)
}

// CloseIdleBefore closes the idle connections of a target that were opened before
// the given time and returns their number.
func (p *Pool) CloseIdleBefore(target netip.AddrPort, before time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[target][:0:0]
	dropped := 0
	for _, c := range p.idle[target] {
		if c.opened.Before(before) {
			c.netConn.Close()
			dropped++
			continue
		}
		kept = append(kept, c)
	}
	p.idle[target] = kept
	return dropped
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAllIdle()
}

// closeAllIdle closes all idle connections. The caller holds p.mu.
func (p *Pool) closeAllIdle() {
	for target, list := range p.idle {
		for _, c := range list {
			c.netConn.Close()
		}
		delete(p.idle, target)
	}
}

// HasIdle reports whether there is an idle connection to a target that a request may
// use. The connection may turn out to be closed when it is used.
func (p *Pool) HasIdle(target netip.AddrPort, nonRepeatable bool) bool {
	now := p.opts.now()
	limit := p.opts.idleTimeout
	if nonRepeatable {
		limit = p.opts.recentLimit
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target]
	return len(list) > 0 && list[len(list)-1].usable(now, limit)
}

// IdleCount returns the number of idle connections to a target.
func (p *Pool) IdleCount(target netip.AddrPort) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[target])
}

// Close closes the idle connections. Connections in use are closed after their
// response.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.sweep != nil {
		p.sweep.Stop()
		p.sweep = nil
	}
	p.closeAllIdle()
}

// Response is the final response to a request.
type Response struct {
	*http.Response
	Reused      bool          // the connection had carried an earlier request
	ConnectTime time.Duration // of a connection opened for the request, 0 if it was reused
}
