package pool

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Pool keeps idle connections by target. It is safe for concurrent use.
type Pool struct {
	opts options

	mu    sync.Mutex
	idle  map[netip.AddrPort][]*conn // the most recently used last
	swept time.Time
	ended bool
}

// New returns an empty pool.
func New(opts ...Option) *Pool {
	return &Pool{opts: newOptions(opts), idle: map[netip.AddrPort][]*conn{}}
}

// Do sends the request once and returns the final response. The context
// covers the response body too; its end closes the connection. The caller
// closes the response body.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.get(ctx, r)
	if err != nil {
		return nil, &DialError{Target: r.Target, Err: err}
	}
	if r.Ready != nil {
		if err := r.Ready(c.reused); err != nil {
			p.put(c)
			return nil, &HeldError{Err: err}
		}
	}
	e := &exchange{pool: p, conn: c, request: r}
	e.stop = context.AfterFunc(ctx, func() { c.net.Close() })
	response, err := e.run()
	if err != nil {
		e.abort()
		return nil, err
	}
	return response, nil
}

func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	for !r.New {
		c := p.take(r.Target, r.Once)
		if c == nil {
			break
		}
		if p.opts.check(c.net) {
			c.reused = true
			c.sent.Store(0)
			return c, nil
		}
		c.net.Close()
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	raw, err := p.opts.dial(ctx, r.Target)
	if err != nil {
		return nil, err
	}
	return newConn(raw, r.Target, p.opts.now()), nil
}

// take removes the most recently used connection that is young enough.
func (p *Pool) take(target netip.AddrPort, once bool) *conn {
	now := p.opts.now()
	limit := p.opts.idle
	if once {
		limit = p.opts.proven
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	list := p.idle[target]
	if len(list) == 0 || !list[len(list)-1].fresh(now, limit) {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[target] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || len(p.idle[c.target]) >= p.opts.spare {
		c.net.Close()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
}

// sweep closes connections that were idle for too long, at most once a second.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.swept) < time.Second {
		return
	}
	p.swept = now
	for target, list := range p.idle {
		old := 0
		for old < len(list) && !list[old].fresh(now, p.opts.idle) {
			list[old].net.Close()
			old++
		}
		if old == len(list) {
			delete(p.idle, target)
			continue
		}
		p.idle[target] = list[old:]
	}
}

// Drop closes the idle connections of a target that were opened before the
// given time and returns their number.
func (p *Pool) Drop(target netip.AddrPort, before time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[target][:0:0]
	dropped := 0
	for _, c := range p.idle[target] {
		if c.opened.Before(before) {
			c.net.Close()
			dropped++
			continue
		}
		kept = append(kept, c)
	}
	p.idle[target] = kept
	return dropped
}

// Idle returns the number of idle connections of a target.
func (p *Pool) Idle(target netip.AddrPort) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[target])
}

// Close closes the idle connections; connections in use close after their
// response.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for target, list := range p.idle {
		for _, c := range list {
			c.net.Close()
		}
		delete(p.idle, target)
	}
}

// Response is the final response to a request.
type Response struct {
	*http.Response
	Reused bool // the connection had carried a request before
}
