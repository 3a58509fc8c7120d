package mesh

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/wire"
)

// ownerIdleTimeout is how long an unused link to an owner stays open. It exceeds
// the time between renewals of a target, so that one link carries many renewals.
const ownerIdleTimeout = time.Minute

type options struct {
	hello        func() wire.Hello
	handler      link.Handler
	linked       func(name string, dialed bool)
	unlinked     func(name string)
	control      func(c *link.Conn, open bool)
	accepted     func(c *link.Conn, open bool)
	failed       func(use wire.Use, err error)
	panicked     func(err *link.PanicError)
	countBytes   func(direction string, bytes int)
	pingInterval time.Duration
	controlPing  time.Duration
	tls          *tls.Config
	dial         func(ctx context.Context, network, address string) (net.Conn, error)
}

// Option configures a Mesh.
type Option func(*options)

// WithHello sets the function that returns the hello of this instance. The mesh
// sets its Use.
func WithHello(f func() wire.Hello) Option { return func(o *options) { o.hello = f } }

// WithHandler sets the handler for the messages of all links.
func WithHandler(h link.Handler) Option { return func(o *options) { o.handler = h } }

// WithOverlay sets the functions that are called when an overlay link to an
// instance has opened, and when the last one to it has ended.
func WithOverlay(linked func(name string, dialed bool), unlinked func(name string)) Option {
	return func(o *options) { o.linked, o.unlinked = linked, unlinked }
}

// WithControl sets the function that is called when a link opened by
// KeepControlLink or OpenControlLink has opened or ended.
func WithControl(f func(c *link.Conn, open bool)) Option { return func(o *options) { o.control = f } }

// WithAccepted sets the function that is called when an accepted link of another
// use than the overlay has opened or ended.
func WithAccepted(f func(c *link.Conn, open bool)) Option {
	return func(o *options) { o.accepted = f }
}

// WithDialError sets the function that is called when Dial or KeepControlLink
// failed to open a link.
func WithDialError(f func(use wire.Use, err error)) Option { return func(o *options) { o.failed = f } }

// WithPanicHook sets the function that is called when the handler of a message has
// panicked.
func WithPanicHook(f func(err *link.PanicError)) Option {
	return func(o *options) { o.panicked = f }
}

// WithByteCounter sets the function that counts the bytes on all links, by direction.
func WithByteCounter(f func(direction string, bytes int)) Option {
	return func(o *options) { o.countBytes = f }
}

// WithPingInterval sets the ping interval. A link that receives nothing for three
// intervals is closed.
func WithPingInterval(interval time.Duration) Option {
	return func(o *options) { o.pingInterval = interval }
}

// WithControlPing states a ping interval for links to control; see link.WithControlPing.
func WithControlPing(interval time.Duration) Option {
	return func(o *options) { o.controlPing = interval }
}

// WithTLS sets the TLS configuration of links that this process dials.
func WithTLS(c *tls.Config) Option { return func(o *options) { o.tls = c } }

// WithDial sets the function with which this process opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(o *options) { o.dial = dial }
}
