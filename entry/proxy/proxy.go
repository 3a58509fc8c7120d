package proxy

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/galenalock/galenalock/core/claim"
	"github.com/galenalock/galenalock/core/pool"
	"github.com/galenalock/galenalock/core/refuse"
)

// Proxy is the HTTP handler behind an entry's traffic address.
type Proxy struct {
	hooks  Hooks
	rules  Rules
	limits Limits
	pool   *pool.Pool
	relays *pool.Pool // connections to other entries

	dialect Dialect

	owner       string
	incarnation time.Time
	recorder    *claimRecorder
}

// New returns a proxy with the given hooks. It panics if hooks.View or
// hooks.Pick is nil.
func New(hooks Hooks, opts ...Option) *Proxy {
	if hooks.View == nil || hooks.Pick == nil {
		panic("proxy: hooks View and Pick are required")
	}
	p := &Proxy{
		hooks:  hooks.withDefaults(),
		rules:  Rules{}.withDefaults(),
		limits: Limits{KeyedBody: defaultKeyedBody, BufferedBody: defaultBufferedBody},

		dialect: Native(),
	}
	for _, opt := range opts {
		opt(p)
	}
	if p.pool == nil {
		p.pool = pool.New()
	}
	if p.relays == nil {
		p.relays = pool.New()
	}
	if p.incarnation.IsZero() {
		p.incarnation = p.hooks.Now()
	}
	p.recorder = newClaimRecorder(&p.hooks, claim.New(p.owner, p.incarnation))
	return p
}

// errAborted makes ServeHTTP abort the caller's connection or stream, so that a
// truncated response does not look complete.
var errAborted = errors.New("the response was truncated")

// ServeHTTP proxies one request or answers it with a refusal.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Header.Del(headerRelay)
	newCall(p, w, r).run()
}

func (c *call) run() {
	err := c.serve()
	c.reportFinish(err)
	if errors.Is(err, errAborted) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		c.refuse(err)
	}
	c.drainUpload()
}

// reportFinish reports the end of the request to the Finished hook. An error
// that is no refusal is reported as reason broken with an unknown run.
func (c *call) reportFinish(err error) {
	f := Summary{
		Request: c.request, Route: c.route, Attempts: c.attempts, Target: c.target.String(), Status: c.status,
		CallerGone: errors.Is(err, errCallerGone), Duration: c.proxy.hooks.Now().Sub(c.request.Start),
	}
	if err != nil && !errors.Is(err, errAborted) && !f.CallerGone && !errors.As(err, &f.Refusal) {
		f.Refusal = &refuse.Error{Reason: refuse.Broken, Run: refuse.Unknown, Err: err}
	}
	c.proxy.hooks.Finished(f)
}

// Settle waits until the outcomes of all claims are recorded or ctx is done, and
// returns the attempts whose outcome is not recorded. It must be called after
// the last request has ended.
func (p *Proxy) Settle(ctx context.Context) []claim.Attempt { return p.recorder.settle(ctx) }

// CloseIdle closes the idle connections to targets.
func (p *Proxy) CloseIdle() { p.pool.CloseIdle() }

// HasIdle reports whether there is an idle connection to a target that a request may
// use.
func (p *Proxy) HasIdle(target netip.AddrPort, nonRepeatable bool) bool {
	return p.pool.HasIdle(target, nonRepeatable)
}

// Close closes the idle connections to targets and stops recording outcomes.
func (p *Proxy) Close() {
	p.recorder.cancel()
	p.pool.Close()
	p.relays.Close()
}
