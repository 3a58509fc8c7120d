package proxy

import (
	"time"

	"github.com/galenalock/galenalock/core/pool"
)

// Limits bound what the data path holds in memory.
type Limits struct {
	Claim  int64 // bytes of the body of a keyed request
	Buffer int64 // bytes of a body that is read before dispatch and can be resent
	Whole  int64 // bytes of a response up to which it is read whole before it is passed on, 0: none
}

const (
	// Orders, reservations and deposits are forms of a few KiB; 1 MiB leaves
	// room for attached images and bounds the memory of 1,000 requests to 1 GiB.
	defaultClaim  = 1 << 20
	defaultBuffer = 64 << 10
	// Time for a caller to read the rest of a response after the deadline.
	linger = 5 * time.Second
)

// Option changes a proxy.
type Option func(*Proxy)

// WithLimits sets the limits; zero fields keep their default.
func WithLimits(l Limits) Option {
	return func(p *Proxy) {
		if l.Claim > 0 {
			p.limits.Claim = l.Claim
		}
		if l.Buffer > 0 {
			p.limits.Buffer = l.Buffer
		}
		if l.Whole > 0 {
			p.limits.Whole = l.Whole
		}
	}
}

// WithPool sets the connections to targets.
func WithPool(c *pool.Pool) Option { return func(p *Proxy) { p.pool = c } }

// WithRules replaces decisions, for tests of the promises.
func WithRules(r Rules) Option { return func(p *Proxy) { p.rules = r.withDefaults() } }

// WithDialect sets how callers and targets speak; Native is the default.
func WithDialect(d Dialect) Option { return func(p *Proxy) { p.dialect = d } }

// WithOwner sets under which name and incarnation this instance claims. The
// incarnation must differ from that of every earlier process of the instance.
func WithOwner(owner string, incarnation time.Time) Option {
	return func(p *Proxy) { p.owner, p.incarnation = owner, incarnation }
}
