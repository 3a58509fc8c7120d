package serve

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/core/budget"
)

// Server is an HTTP server that listens on one address.
type Server struct {
	http     *http.Server
	limits   Limits
	listener net.Listener

	budget       *budget.Budget
	connections  *Connections // nil: its own
	bodyByteCost int64
	closed       func(reason string)
	onConnState  func(net.Conn, http.ConnState)
}

// Option configures a Server.
type Option func(*Server)

// WithHandler sets the request handler.
func WithHandler(h http.Handler) Option { return func(s *Server) { s.http.Handler = h } }

// WithLimits sets the limits. The default is DefaultLimits.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits = l } }

// WithTLS makes the server accept only TLS connections.
func WithTLS(c *tls.Config) Option { return func(s *Server) { s.http.TLSConfig = c } }

// WithHTTP2 enables HTTP/2 in addition to HTTP/1.1, with and without TLS.
func WithHTTP2() Option {
	return func(s *Server) {
		s.http.Protocols.SetHTTP2(true)
		s.http.Protocols.SetUnencryptedHTTP2(true)
	}
}

// WithErrorLog sets the writer for errors of single connections.
func WithErrorLog(w io.Writer) Option {
	return func(s *Server) { s.http.ErrorLog = log.New(w, "", 0) }
}

// WithConnState sets a function that is called whenever the state of a connection
// changes.
func WithConnState(f func(net.Conn, http.ConnState)) Option {
	return func(s *Server) { s.onConnState = f }
}

// WithBudget sets the memory that the connections of this server share with those of
// other ones. The default has no bound.
func WithBudget(b *budget.Budget) Option { return func(s *Server) { s.budget = b } }

// WithConnections sets the bound on connections that this server shares with other ones, in
// place of the limit of its own.
func WithConnections(c *Connections) Option { return func(s *Server) { s.connections = c } }

// decodedBodyCost is the memory of a byte of a body that a handler reads as a whole and
// decodes: a buffer that doubles, the old one and the values. With 4, 50 bodies of 4 MB
// raised a process to 95 MB, of 96.
const decodedBodyCost = 8

// WithBufferedBodies counts bodies as held by their handlers. Without it, handlers count
// themselves what they hold of a body.
func WithBufferedBodies() Option { return func(s *Server) { s.bodyByteCost = decodedBodyCost } }

// WithCloseHook sets a function that is called when the server closes a connection to
// protect others, with the reason.
func WithCloseHook(f func(reason string)) Option { return func(s *Server) { s.closed = f } }

// New returns a server that does not listen yet.
func New(opts ...Option) *Server {
	s := &Server{http: &http.Server{Protocols: new(http.Protocols)}, limits: DefaultLimits()}
	s.http.Protocols.SetHTTP1(true)
	for _, opt := range opts {
		opt(s)
	}
	s.http.MaxHeaderBytes = s.limits.MaxRequestHeaderBytes
	s.http.ReadHeaderTimeout = s.limits.HeaderTimeout
	s.http.IdleTimeout = s.limits.IdleConnTimeout
	if s.limits.MaxRequestBodyBytes > 0 && s.http.Handler != nil {
		s.http.Handler = http.MaxBytesHandler(s.http.Handler, s.limits.MaxRequestBodyBytes)
	}
	if s.http.Handler != nil {
		s.http.Handler = s.guard(s.http.Handler)
	}
	s.http.ConnContext = withConn
	s.http.ConnState = func(c net.Conn, state http.ConnState) {
		if accepted := acceptedConn(c); accepted != nil {
			accepted.setState(state)
		}
		if s.onConnState != nil {
			s.onConnState(c, state)
		}
	}
	if s.budget != nil {
		s.http.HTTP2 = &http.HTTP2Config{
			MaxReceiveBufferPerConnection: http2Buffer, MaxReceiveBufferPerStream: http2Buffer,
			MaxConcurrentStreams: http2Streams,
		}
	}
	return s
}

// NewMetricsServer returns a server that serves only /metrics.
func NewMetricsServer(metrics http.Handler, opts ...Option) *Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	return New(append(opts, WithHandler(mux))...)
}

// Listen binds the address. With port 0 the kernel chooses a port.
func (s *Server) Listen(addr netip.AddrPort) error {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return eris.Wrapf(err, "listen on %s", addr)
	}
	conns := s.connections
	if conns == nil {
		conns = NewConnections(s.limits.MaxConnections)
	}
	limited := &listener{
		Listener: l, conns: conns, budget: s.budget, closed: s.closed, stall: s.limits.StallTimeout,
		encrypted: s.http.TLSConfig != nil, http2: s.http.Protocols.UnencryptedHTTP2(), maxHeaderBytes: s.limits.MaxRequestHeaderBytes,
	}
	conns.addGroup(&limited.group)
	s.listener = limited
	return nil
}

// Addr returns the bound address.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Serve handles requests until Shutdown or Close is called.
func (s *Server) Serve() error {
	var err error
	if s.http.TLSConfig != nil {
		err = s.http.ServeTLS(s.listener, "", "")
	} else {
		err = s.http.Serve(s.listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve HTTP")
}

// Shutdown stops listening and waits until the requests in flight have finished
// or ctx ends. It does not wait for hijacked connections, such as links.
func (s *Server) Shutdown(ctx context.Context) error {
	return eris.Wrap(s.http.Shutdown(ctx), "shut down HTTP server")
}

// Close immediately closes all connections that are not hijacked, and the
// listener, even if Serve was never called.
func (s *Server) Close() {
	_ = s.http.Close()
	if s.listener != nil {
		_ = s.listener.Close()
	}
}
