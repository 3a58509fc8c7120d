package link

import (
	"crypto/tls"
	"time"

	"github.com/galenalock/galenalock/core/wire"
)

// Limits of a link.
const (
	defaultPing    = time.Second
	defaultSilence = 3 * time.Second // three pings; a shorter bound cuts links during pauses of a busy instance
	defaultQueue   = 1024            // messages
	maxCalls       = 256             // concurrent calls handled for one peer
	writeTimeout   = 3 * time.Second
)

// Handler receives the messages of a link. The result answers a call; for a
// plain message it is ignored. An error of type *wire.FaultError is passed on
// as it is.
type Handler func(c *Conn, m wire.Message) (answer any, err error)

type options struct {
	hello   func() wire.Hello
	handler Handler
	opened  func(*Conn)
	closed  func(*Conn)
	count   func(direction string, bytes int)
	ping    time.Duration
	silence time.Duration
	pace    func(use wire.Use) (every, silence time.Duration, ok bool)
	queue   int
	tls     *tls.Config
}

// Option changes a server or a dialer.
type Option func(*options)

// WithHello sets what introduces this instance.
func WithHello(hello func() wire.Hello) Option { return func(o *options) { o.hello = hello } }

// WithHandler sets what receives the messages.
func WithHandler(h Handler) Option { return func(o *options) { o.handler = h } }

// WithOpened sets what is told of a new link before its first message.
func WithOpened(f func(*Conn)) Option { return func(o *options) { o.opened = f } }

// WithClosed sets what is told of the end of a link.
func WithClosed(f func(*Conn)) Option { return func(o *options) { o.closed = f } }

// WithCount sets what counts the bytes, by direction "in" or "out".
func WithCount(f func(direction string, bytes int)) Option {
	return func(o *options) { o.count = f }
}

// WithPing sets the time between pings and how long a silent link is kept.
func WithPing(every, silence time.Duration) Option {
	return func(o *options) { o.ping, o.silence = every, silence }
}

// WithPace sets the time between pings and the longest silence by the use of
// the link, where it differs; false keeps the common ones.
func WithPace(f func(use wire.Use) (every, silence time.Duration, ok bool)) Option {
	return func(o *options) { o.pace = f }
}

// WithQueue sets how many messages wait for the network before the link is
// closed.
func WithQueue(messages int) Option { return func(o *options) { o.queue = messages } }

// WithTLS sets the TLS configuration of a dialer.
func WithTLS(c *tls.Config) Option { return func(o *options) { o.tls = c } }

func newOptions(opts []Option) options {
	o := options{
		hello:   func() wire.Hello { return wire.Hello{} },
		handler: func(*Conn, wire.Message) (any, error) { return nil, &wire.FaultError{Code: "unsupported"} },
		opened:  func(*Conn) {},
		closed:  func(*Conn) {},
		count:   func(string, int) {},
		pace:    func(wire.Use) (every, silence time.Duration, ok bool) { return 0, 0, false },
		ping:    defaultPing,
		silence: defaultSilence,
		queue:   defaultQueue,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
