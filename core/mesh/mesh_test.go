package mesh_test

import (
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/link"
	"github.com/galenalock/galenalock/core/mesh"
	"github.com/galenalock/galenalock/core/wire"
)

type node struct {
	mesh   *mesh.Mesh
	addr   netip.AddrPort
	events chan string
}

func startNode(t *testing.T, name string) *node {
	n := &node{events: make(chan string, 16)}
	n.mesh = mesh.New(
		mesh.WithHello(func() wire.Hello { return wire.Hello{Instance: name, Fleet: "f"} }),
		mesh.WithOverlay(
			func(peer string, dialed bool) {
				if dialed {
					peer += " dialed"
				}
				n.events <- "linked " + peer
			},
			func(peer string) { n.events <- "unlinked " + peer }),
		mesh.WithAccepted(func(c *link.Conn, open bool) {
			if open {
				n.events <- "accepted " + string(c.Peer().Use)
			}
		}),
		mesh.WithHandler(func(c *link.Conn, m wire.Message) (any, error) {
			if m.Call == 0 {
				n.events <- "got " + string(m.Kind) + " from " + c.Peer().Instance
			}
			return nil, nil
		}),
	)
	server := httptest.NewServer(n.mesh.Handler())
	t.Cleanup(func() { n.mesh.Close(); server.Close() })
	n.addr = server.Listener.Addr().(*net.TCPAddr).AddrPort()
	return n
}

// Guards against an instance that is reported as unlinked while a second link to
// it is open, and against owner links that are used for the overlay.
func TestOverlay(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "a"), startNode(t, "b")
	a.mesh.Dial(b.addr)
	is.Equal(<-a.events, "linked b dialed")
	is.Equal(<-b.events, "linked a")
	b.mesh.Dial(a.addr)
	is.Equal(<-b.events, "linked a dialed")
	is.Equal(<-a.events, "linked b")
	a.mesh.Drop("b")
	a.mesh.Send("b", wire.KindGossip, nil)
	is.Equal(<-b.events, "got gossip from a") // over the second link
	b.mesh.Drop("a")
	is.Equal(<-a.events, "unlinked b")
	is.Equal(<-b.events, "unlinked a")

	c, err := a.mesh.OwnerLink(t.Context(), b.addr)
	is.NoErr(err)
	is.Equal(<-b.events, "accepted owner")
	again, err := a.mesh.OwnerLink(t.Context(), b.addr)
	is.NoErr(err)
	is.Equal(c, again)
	is.Equal(len(a.mesh.Neighbours()), 0)
	c.Close("broken")
	again, err = a.mesh.OwnerLink(t.Context(), b.addr)
	is.NoErr(err)
	is.True(again != c)
}

// Guards against links that stay open or are opened after Close.
func TestClose(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "a"), startNode(t, "b")
	a.mesh.KeepControlLink(b.addr)
	is.Equal(<-b.events, "accepted control")
	a.mesh.Close()
	a.mesh.Dial(b.addr) // must have no effect
	_, err := a.mesh.OwnerLink(t.Context(), b.addr)
	is.True(err != nil)
}

// Guards against a link to a control replica that Close leaves open.
func TestCloseEndsControlLinks(t *testing.T) {
	is := is.New(t)
	b := startNode(t, "b")
	ended := make(chan *link.Conn, 1)
	a := mesh.New(
		mesh.WithHello(func() wire.Hello { return wire.Hello{Instance: "a", Fleet: "f"} }),
		mesh.WithControl(func(c *link.Conn, open bool) {
			if open {
				ended <- c
			}
		}))
	a.OpenControlLink(b.addr, time.Minute, func(err error) { t.Error(err) })
	c := <-ended
	a.Close()
	is.True(c.Ended())
}
