package link

import (
	"net/http"
	"sync"

	"github.com/coder/websocket"
)

// Path is the URL path at which links are accepted.
const Path = "/v1/link"

// Server is an http.Handler that accepts links.
type Server struct {
	opts options

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	closed bool
}

// NewServer returns a server.
func NewServer(opts ...Option) *Server {
	return &Server{opts: newOptions(opts), conns: map[*Conn]struct{}{}}
}

// ServeHTTP accepts one link and serves it until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return // Accept has answered the request
	}
	c := newConn(ws, s.opts, false)
	if !s.add(c) {
		c.Close("server is shut down")
		return
	}
	defer s.remove(c)
	if err := c.exchangeHello(r.Context()); err != nil {
		c.Close(err.Error())
		return
	}
	c.run()
}

// Close closes all links and refuses new ones.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.Close("server is shut down")
	}
}

func (s *Server) add(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
