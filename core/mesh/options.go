package mesh

import (
	"crypto/tls"
	"time"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/wire"
)

// idleTime is how long an unused link to an owner stays open. It is longer
// than the time between renewals of a target, so that a link carries many.
const idleTime = time.Minute

type options struct {
	hello    func() wire.Hello
	handler  link.Handler
	linked   func(name string, dialed bool)
	unlinked func(name string)
	kept     func(c *link.Conn, open bool)
	accepted func(c *link.Conn, open bool)
	failed   func(use wire.Use, err error)
	count    func(direction string, bytes int)
	ping     time.Duration
	tls      *tls.Config
}

// Option changes a mesh.
type Option func(*options)

// WithHello sets what introduces this instance; the use is filled in.
func WithHello(f func() wire.Hello) Option { return func(o *options) { o.hello = f } }

// WithHandler sets what receives the messages of all links.
func WithHandler(h link.Handler) Option { return func(o *options) { o.handler = h } }

// WithOverlay sets what is told that an instance is linked for the overlay, or
// that its last overlay link has ended.
func WithOverlay(linked func(name string, dialed bool), unlinked func(name string)) Option {
	return func(o *options) { o.linked, o.unlinked = linked, unlinked }
}

// WithKept sets what is told of links made by Keep.
func WithKept(f func(c *link.Conn, open bool)) Option { return func(o *options) { o.kept = f } }

// WithAccepted sets what is told of accepted links that are not of the overlay.
func WithAccepted(f func(c *link.Conn, open bool)) Option {
	return func(o *options) { o.accepted = f }
}

// WithFailed sets what is told of failed attempts to open a link.
func WithFailed(f func(use wire.Use, err error)) Option { return func(o *options) { o.failed = f } }

// WithCount sets what counts the bytes on all links.
func WithCount(f func(direction string, bytes int)) Option {
	return func(o *options) { o.count = f }
}

// WithPing sets the time between pings; a link that is silent for three times
// as long ends.
func WithPing(every time.Duration) Option { return func(o *options) { o.ping = every } }

// WithTLS sets the configuration of links that this process opens.
func WithTLS(c *tls.Config) Option { return func(o *options) { o.tls = c } }
