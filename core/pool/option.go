package pool

import (
	"context"
	"net"
	"net/netip"
	"time"
)

const (
	defaultIdle     = 60 * time.Second // shorter than the idle limit of common servers (75 s and more)
	defaultProven   = 2 * time.Second
	defaultSpare    = 8 // idle connections for each target, which allows 400 to 48 entries
	defaultDial     = time.Second
	defaultContinue = time.Second // the wait of net/http and curl for 100 Continue
	maxHead         = 1 << 20     // bytes of a response head, the limit of net/http
	maxInformed     = 5           // 1xx responses to one request, the limit of net/http
)

type options struct {
	dial   func(ctx context.Context, target netip.AddrPort) (net.Conn, error)
	now    func() time.Time
	idle   time.Duration
	proven time.Duration
	spare  int
	wait   time.Duration
	check  func(c net.Conn) bool

	unframed bool
}

// Option changes a pool.
type Option func(*options)

// WithDial sets how a connection is opened.
func WithDial(f func(ctx context.Context, target netip.AddrPort) (net.Conn, error)) Option {
	return func(o *options) { o.dial = f }
}

// WithDialLimit sets how long a connection may take to open.
func WithDialLimit(d time.Duration) Option { return WithDial(dialWithin(d)) }

func dialWithin(d time.Duration) func(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: d}
	return func(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", target.String())
	}
}

// WithNow sets the clock.
func WithNow(f func() time.Time) Option { return func(o *options) { o.now = f } }

// WithIdle sets how long an idle connection may be reused, and how recently
// it must have carried a response to be used for a request that is sent once.
func WithIdle(idle, proven time.Duration) Option {
	return func(o *options) { o.idle, o.proven = idle, proven }
}

// WithSpare sets how many idle connections are kept for each target.
func WithSpare(n int) Option { return func(o *options) { o.spare = n } }

// WithContinue sets how long a body waits for 100 Continue.
func WithContinue(d time.Duration) Option { return func(o *options) { o.wait = d } }

// WithUnframed accepts response bodies that end with the connection. Only a
// connection that the target closes in order completes such a body; one that is
// reset does not.
func WithUnframed() Option { return func(o *options) { o.unframed = true } }

// WithCheck sets what tells whether an idle connection is still open and
// silent. A function that returns true turns the check off.
func WithCheck(f func(c net.Conn) bool) Option { return func(o *options) { o.check = f } }

func newOptions(opts []Option) options {
	o := options{
		dial:   dialWithin(defaultDial),
		now:    time.Now,
		idle:   defaultIdle,
		proven: defaultProven,
		spare:  defaultSpare,
		wait:   defaultContinue,
		check:  quiet,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
