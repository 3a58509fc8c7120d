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
	"golang.org/x/net/netutil"
)

// Server is an HTTP server on one address.
type Server struct {
	http     *http.Server
	limits   Limits
	listener net.Listener
}

// Option changes a server.
type Option func(*Server)

// WithHandler sets what answers the requests.
func WithHandler(h http.Handler) Option { return func(s *Server) { s.http.Handler = h } }

// WithLimits sets the bounds.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits = l } }

// WithTLS makes the server accept TLS only.
func WithTLS(c *tls.Config) Option { return func(s *Server) { s.http.TLSConfig = c } }

// WithH2C accepts HTTP/2 without TLS beside HTTP/1.1.
func WithH2C() Option {
	return func(s *Server) { s.http.Protocols.SetUnencryptedHTTP2(true) }
}

// WithErrorLog sets where faults of single connections are written.
func WithErrorLog(w io.Writer) Option {
	return func(s *Server) { s.http.ErrorLog = log.New(w, "", 0) }
}

// WithConnState sets what is told of each change of a connection's state.
func WithConnState(f func(net.Conn, http.ConnState)) Option {
	return func(s *Server) { s.http.ConnState = f }
}

// New returns a server that is not listening yet.
func New(opts ...Option) *Server {
	s := &Server{http: &http.Server{Protocols: new(http.Protocols)}, limits: DefaultLimits()}
	s.http.Protocols.SetHTTP1(true)
	s.http.Protocols.SetHTTP2(true)
	for _, opt := range opts {
		opt(s)
	}
	s.http.MaxHeaderBytes = s.limits.Header
	s.http.ReadHeaderTimeout = s.limits.HeaderTime
	s.http.IdleTimeout = s.limits.Idle
	if s.limits.Body > 0 && s.http.Handler != nil {
		s.http.Handler = http.MaxBytesHandler(s.http.Handler, s.limits.Body)
	}
	return s
}

// NewMetrics returns a server that answers /metrics and nothing else.
func NewMetrics(metrics http.Handler) *Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	return New(WithHandler(mux))
}

// Listen binds the address. Port 0 lets the kernel choose.
func (s *Server) Listen(addr netip.AddrPort) error {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return eris.Wrapf(err, "listen on %s", addr)
	}
	if s.limits.Connections > 0 {
		l = netutil.LimitListener(l, s.limits.Connections)
	}
	s.listener = l
	return nil
}

// Addr returns the bound address.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Serve answers requests until Shutdown or Close.
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
	return eris.Wrap(err, "serve")
}

// Shutdown stops listening and waits until the requests in flight have been
// answered or ctx ends. Hijacked connections, such as links, are not waited
// for.
func (s *Server) Shutdown(ctx context.Context) error {
	return eris.Wrap(s.http.Shutdown(ctx), "shutdown")
}

// Close ends all connections that are not hijacked at once, and the listener
// even when Serve was never called.
func (s *Server) Close() {
	_ = s.http.Close()
	if s.listener != nil {
		_ = s.listener.Close()
	}
}
