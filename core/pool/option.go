package pool

import (
	"context"
	"net"
	"net/netip"
	"time"
)

const (
	defaultIdleTimeout     = 60 * time.Second // shorter than the idle timeout of common servers (75 s and more)
	defaultRecentLimit     = 2 * time.Second
	defaultMaxIdle         = 8 // idle connections for each target; 48 entries keep 384 of the 400 connections that it accepts
	defaultDialTimeout     = time.Second
	defaultContinueTimeout = time.Second // the timeout for 100 Continue of net/http and curl
	defaultSweepInterval   = 2 * time.Second
	maxHeadBytes           = 32 << 10 // its parsed form takes up to 26 times as much memory
	maxInformational       = 5        // 1xx responses to one request, the limit of net/http
)

type options struct {
	dial            func(ctx context.Context, target netip.AddrPort) (net.Conn, error)
	now             func() time.Time
	idleTimeout     time.Duration
	recentLimit     time.Duration
	maxIdle         int
	continueTimeout time.Duration
	checkIdle       func(c net.Conn) bool
	sweepInterval   time.Duration

	closeDelimited bool
}

// Option configures a Pool.
type Option func(*options)

// WithDial sets the function that opens a connection.
func WithDial(f func(ctx context.Context, target netip.AddrPort) (net.Conn, error)) Option {
	return func(o *options) { o.dial = f }
}

// WithDialTimeout sets how long opening a connection may take.
func WithDialTimeout(d time.Duration) Option { return WithDial(dialWithTimeout(d)) }

func dialWithTimeout(d time.Duration) func(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: d}
	return func(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", target.String())
	}
}

// WithClock sets the function that returns the current time.
func WithClock(f func() time.Time) Option { return func(o *options) { o.now = f } }

// WithIdleTimeouts sets how long a connection may be idle and still be reused: in
// general, and for a NonRepeatable request.
func WithIdleTimeouts(idle, nonRepeatable time.Duration) Option {
	return func(o *options) { o.idleTimeout, o.recentLimit = idle, nonRepeatable }
}

// WithSweepInterval sets the interval at which idle connections are closed that
// have been idle for too long, were closed by the target, or have received bytes.
func WithSweepInterval(d time.Duration) Option {
	return func(o *options) { o.sweepInterval = d }
}

// WithMaxIdle sets how many idle connections are kept for each target.
func WithMaxIdle(n int) Option { return func(o *options) { o.maxIdle = n } }

// WithContinueTimeout sets how long an ExpectContinue request waits for 100
// Continue before it sends its body anyway.
func WithContinueTimeout(d time.Duration) Option { return func(o *options) { o.continueTimeout = d } }

// WithCloseDelimited accepts response bodies that are delimited by the close of
// the connection. An orderly close completes such a body; a reset is an error.
func WithCloseDelimited() Option { return func(o *options) { o.closeDelimited = true } }

// WithIdleCheck sets the function that reports whether an idle connection is
// still open and has nothing to read. A connection that fails the check is closed
// and not reused. A function that always returns true disables the check.
func WithIdleCheck(f func(c net.Conn) bool) Option { return func(o *options) { o.checkIdle = f } }

func newOptions(opts []Option) options {
	o := options{
		dial:            dialWithTimeout(defaultDialTimeout),
		now:             time.Now,
		idleTimeout:     defaultIdleTimeout,
		recentLimit:     defaultRecentLimit,
		maxIdle:         defaultMaxIdle,
		continueTimeout: defaultContinueTimeout,
		checkIdle:       openWithoutData,
		sweepInterval:   defaultSweepInterval,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
