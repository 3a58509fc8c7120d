package proxy

import (
	"time"

	"github.com/galenalock/galenalock/core/pool"
)

// Limits bound the request and response bytes that the data path holds in
// memory.
type Limits struct {
	KeyedBody     int64 // maximum body of a keyed request, in bytes
	BufferedBody  int64 // maximum body that is buffered before dispatch and can be resent, in bytes
	WholeResponse int64 // maximum response that is read completely before it is forwarded, in bytes; 0 disables this
}

const (
	// defaultKeyedBody leaves room for attached images: orders, reservations and
	// deposits are forms of a few KiB. 1,000 requests take at most 1 GiB.
	defaultKeyedBody    = 1 << 20
	defaultBufferedBody = 64 << 10
	// lingerTimeout is the time that a caller has to read the rest of a response
	// after the deadline.
	lingerTimeout = 5 * time.Second
)

// Option configures a Proxy.
type Option func(*Proxy)

// WithLimits sets the memory limits; zero fields keep their default.
func WithLimits(l Limits) Option {
	return func(p *Proxy) {
		if l.KeyedBody > 0 {
			p.limits.KeyedBody = l.KeyedBody
		}
		if l.BufferedBody > 0 {
			p.limits.BufferedBody = l.BufferedBody
		}
		if l.WholeResponse > 0 {
			p.limits.WholeResponse = l.WholeResponse
		}
	}
}

// WithPool sets the connection pool for targets; the default is pool.New().
func WithPool(c *pool.Pool) Option { return func(p *Proxy) { p.pool = c } }

// WithRelayPool sets the connection pool for other entries; the default is pool.New().
func WithRelayPool(c *pool.Pool) Option { return func(p *Proxy) { p.relays = c } }

// WithRules replaces the rules; nil fields keep their default.
func WithRules(r Rules) Option { return func(p *Proxy) { p.rules = r.withDefaults() } }

// WithDialect sets the headers and statuses that callers and targets use; the
// default is Native.
func WithDialect(d Dialect) Option { return func(p *Proxy) { p.dialect = d } }

// WithOwner sets the owner name and incarnation of this instance's claims. The
// incarnation must differ from that of every earlier process of the instance.
func WithOwner(owner string, incarnation time.Time) Option {
	return func(p *Proxy) { p.owner, p.incarnation = owner, incarnation }
}
