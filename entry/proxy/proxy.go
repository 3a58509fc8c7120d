package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/galenalock/galenalock/core/claim"
	"github.com/galenalock/galenalock/core/pool"
	"github.com/galenalock/galenalock/core/refuse"
)

// Proxy is the handler of an entry's traffic address.
type Proxy struct {
	hooks  Hooks
	rules  Rules
	limits Limits
	pool   *pool.Pool

	dialect Dialect

	owner       string
	incarnation time.Time
	records     *records
}

// New returns a proxy. It panics when View or Pick is missing.
func New(hooks Hooks, opts ...Option) *Proxy {
	if hooks.View == nil || hooks.Pick == nil {
		panic("proxy: View and Pick are required")
	}
	p := &Proxy{
		hooks:  hooks.withDefaults(),
		rules:  Rules{}.withDefaults(),
		limits: Limits{Claim: defaultClaim, Buffer: defaultBuffer},

		dialect: Native(),
	}
	for _, opt := range opts {
		opt(p)
	}
	if p.pool == nil {
		p.pool = pool.New()
	}
	if p.incarnation.IsZero() {
		p.incarnation = p.hooks.Now()
	}
	p.records = newRecords(&p.hooks, claim.New(p.owner, p.incarnation))
	return p
}

// errAbort ends the caller's connection or stream without a clean end.
var errAbort = errors.New("the response broke off")

// ServeHTTP answers one request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := newCall(p, w, r)
	err := c.serve()
	c.finish(err)
	if errors.Is(err, errAbort) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		c.refuse(err)
	}
}

// finish tells how the request ended.
func (c *call) finish(err error) {
	f := Finish{
		Request: c.request, Route: c.route, Attempts: c.made, Target: c.target.String(), Status: c.status,
		Gone: errors.Is(err, errGone), Duration: c.proxy.hooks.Now().Sub(c.request.Start),
	}
	if err != nil && !errors.Is(err, errAbort) && !f.Gone && !errors.As(err, &f.Refusal) {
		f.Refusal = &refuse.Error{Reason: refuse.Broken, Run: refuse.Unknown, Err: err}
	}
	c.proxy.hooks.Finished(f)
}

// Settle waits until the outcomes of all claims are recorded or the context
// ends, and returns the attempts that are not recorded. It is called after the
// last request has ended.
func (p *Proxy) Settle(ctx context.Context) []claim.Attempt { return p.records.settle(ctx) }

// Close closes the idle connections to targets and gives up what is not
// recorded.
func (p *Proxy) Close() {
	p.records.cancel()
	p.pool.Close()
}
