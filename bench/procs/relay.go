package procs

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Relay forwards TCP connections to a destination and can drop the bytes of
// either direction. Dropped bytes are still read, so that neither side sees an
// error, as when a device on the path has lost the state of a connection.
type Relay struct {
	listener     net.Listener
	destination  netip.AddrPort
	dropForward  atomic.Bool // drop bytes to the destination
	dropBackward atomic.Bool // drop bytes from the destination

	mu    sync.Mutex
	conns []net.Conn
}

// NewRelay starts a relay to a destination on a loopback address.
func NewRelay(destination netip.AddrPort) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "relay: listen")
	}
	r := &Relay{listener: listener, destination: destination}
	go r.accept()
	return r, nil
}

// Address returns the address on which the relay accepts connections.
func (r *Relay) Address() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

// SetDrop selects the directions whose bytes are dropped, on open connections and
// on new ones.
func (r *Relay) SetDrop(forward, backward bool) {
	r.dropForward.Store(forward)
	r.dropBackward.Store(backward)
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	_ = r.listener.Close() // never fails for an open listener
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.Close() // the other side may have closed it
	}
}

func (r *Relay) accept() {
	for {
		inbound, err := r.listener.Accept()
		if err != nil {
			return
		}
		outbound, err := net.Dial("tcp", r.destination.String())
		if err != nil {
			_ = inbound.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, inbound, outbound)
		r.mu.Unlock()
		go relayBytes(outbound, inbound, &r.dropForward)
		go relayBytes(inbound, outbound, &r.dropBackward)
	}
}

// relayBytes copies bytes until either side closes, and discards them while drop
// is set.
func relayBytes(to, from net.Conn, drop *atomic.Bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !drop.Load() {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
