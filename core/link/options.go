package link

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

// Default settings and limits of a link.
const (
	defaultPingInterval   = time.Second
	defaultReceiveTimeout = 3 * time.Second // three pings; less closes links while a busy instance pauses
	defaultQueueSize      = 1024            // messages
	missedPings           = 3               // that end a link of which both sides state their interval
	maxConcurrentCalls    = 256             // calls handled concurrently for one peer
	maxWaitingCalls       = 1024            // further calls of one peer that wait to be handled
	maxWaitingBytes       = 4 << 20         // bytes of the calls of one peer that wait
	writeTimeout          = 3 * time.Second
)

// ControlPing is the interval to state for links that bring the configuration. A silent
// one must be noticed and replaced before a change is due at the entry.
const ControlPing = 500 * time.Millisecond

// Handler handles a message of a link. For a call, the result is sent as the
// answer, and an error as a fault: a *wire.FaultError unchanged, any other error
// with the code "failed". For a plain message the result is ignored, and an error
// closes the link.
type Handler func(c *Conn, m wire.Message) (answer any, err error)

type options struct {
	hello          func() wire.Hello
	handler        Handler
	onOpen         func(*Conn)
	onClose        func(*Conn)
	onPanic        func(*PanicError)
	countBytes     func(direction string, bytes int)
	pingInterval   time.Duration
	receiveTimeout time.Duration
	controlPing    time.Duration
	keepaliveByUse func(use wire.Use) (interval, receiveTimeout time.Duration, ok bool)
	queueSize      int
	tls            *tls.Config
	dial           func(ctx context.Context, network, address string) (net.Conn, error)
	steady         func() time.Duration
}

// Option configures a Server or a Dialer.
type Option func(*options)

// WithHello sets the function that returns the Hello of this instance. It is
// called once for each link.
func WithHello(hello func() wire.Hello) Option { return func(o *options) { o.hello = hello } }

// WithHandler sets the handler of messages. The default answers calls with the
// fault "unsupported" and closes the link on a plain message.
func WithHandler(h Handler) Option { return func(o *options) { o.handler = h } }

// WithOpenHook sets a function that is called for each new link before its first
// message is handled.
func WithOpenHook(f func(*Conn)) Option { return func(o *options) { o.onOpen = f } }

// WithPanicHook sets a function that is called when a handler has panicked. It is
// called from the goroutine of the link.
func WithPanicHook(f func(*PanicError)) Option { return func(o *options) { o.onPanic = f } }

// WithCloseHook sets a function that is called when a link has ended.
func WithCloseHook(f func(*Conn)) Option { return func(o *options) { o.onClose = f } }

// WithByteCounter sets a function that counts the bytes of messages by direction,
// which is "in" or "out".
func WithByteCounter(f func(direction string, bytes int)) Option {
	return func(o *options) { o.countBytes = f }
}

// WithKeepalive sets the interval of pings and the time without a received
// message after which the link is closed.
func WithKeepalive(interval, receiveTimeout time.Duration) Option {
	return func(o *options) { o.pingInterval, o.receiveTimeout = interval, receiveTimeout }
}

// WithControlPing states a ping interval for links of the uses control and replica. The
// longer of the intervals that both sides state applies, and the link is closed after
// three missed pings. If one side states none, the values of WithKeepalive apply.
func WithControlPing(interval time.Duration) Option {
	return func(o *options) { o.controlPing = interval }
}

// WithKeepaliveByUse sets a function that returns the ping interval and the
// receive timeout for a use of a link. If ok is false, the values of
// WithKeepalive apply.
func WithKeepaliveByUse(f func(use wire.Use) (interval, receiveTimeout time.Duration, ok bool)) Option {
	return func(o *options) { o.keepaliveByUse = f }
}

// WithQueueSize sets how many messages may wait to be sent; one more closes the
// link.
func WithQueueSize(messages int) Option { return func(o *options) { o.queueSize = messages } }

// WithTLS sets the TLS configuration of a Dialer. A Server ignores it, since its
// HTTP server terminates TLS.
func WithTLS(c *tls.Config) Option { return func(o *options) { o.tls = c } }

// WithDial sets the function with which a Dialer opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}

// WithSteadyClock sets the clock by which silence is measured. It returns the time
// since an arbitrary moment and does not follow steps of the time of day.
func WithSteadyClock(steady func() time.Duration) Option {
	return func(o *options) { o.steady = steady }
}

func newOptions(opts []Option) options {
	start := time.Now()
	o := options{
		hello:          func() wire.Hello { return wire.Hello{} },
		handler:        func(*Conn, wire.Message) (any, error) { return nil, &wire.FaultError{Code: "unsupported"} },
		onOpen:         func(*Conn) {},
		onClose:        func(*Conn) {},
		onPanic:        func(*PanicError) {},
		countBytes:     func(string, int) {},
		keepaliveByUse: func(wire.Use) (interval, receiveTimeout time.Duration, ok bool) { return 0, 0, false },
		pingInterval:   defaultPingInterval,
		receiveTimeout: defaultReceiveTimeout,
		queueSize:      defaultQueueSize,
		steady:         func() time.Duration { return time.Since(start) },
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
