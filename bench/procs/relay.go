package procs

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Relay is a TCP relay to an address that can drop one direction. Bytes of a
// cut direction are read and dropped, so that no side sees an error, as when
// something between the two ends has lost track of a connection.
type Relay struct {
	listener net.Listener
	to       netip.AddrPort
	forth    atomic.Bool // towards the address is cut
	back     atomic.Bool // from the address is cut

	mu    sync.Mutex
	conns []net.Conn
}

// NewRelay opens a path to an address.
func NewRelay(to netip.AddrPort) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "relay")
	}
	c := &Relay{listener: listener, to: to}
	go c.accept()
	return c, nil
}

// Address returns where the path begins.
func (c *Relay) Address() netip.AddrPort { return c.listener.Addr().(*net.TCPAddr).AddrPort() }

// Cut decides which directions lose their bytes, on open connections and on
// new ones.
func (c *Relay) Cut(forth, back bool) {
	c.forth.Store(forth)
	c.back.Store(back)
}

// Close ends the path and its connections.
func (c *Relay) Close() {
	_ = c.listener.Close() // never fails for an open listener
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close() // the other side may have closed it
	}
}

func (c *Relay) accept() {
	for {
		near, err := c.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", c.to.String())
		if err != nil {
			_ = near.Close()
			continue
		}
		c.mu.Lock()
		c.conns = append(c.conns, near, far)
		c.mu.Unlock()
		go carry(far, near, &c.forth)
		go carry(near, far, &c.back)
	}
}

// carry copies bytes until either side ends, and drops them while cut is set.
func carry(to, from net.Conn, cut *atomic.Bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !cut.Load() {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
