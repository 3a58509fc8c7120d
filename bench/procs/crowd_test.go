package procs_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"github.com/galenalock/galenalock/bench/procs"
	"github.com/galenalock/galenalock/bench/stub"
)

// crowdAnswer is the size in bytes of the answers to lookups in fleets that crowds attack.
const crowdAnswer = 64 << 10

// launchCrowdFleet starts a fleet of one replica, one entry and a target for each service,
// whose answers take some time.
func launchCrowdFleet(t *testing.T, latency time.Duration) *fleet {
	t.Helper()
	return launchCrowdFleetWith(t, func(s *stub.Settings) { s.Size, s.Latency = crowdAnswer, stub.Duration(latency) })
}

// launchCrowdFleetWith is like launchCrowdFleet with other settings of the targets.
func launchCrowdFleetWith(t *testing.T, set func(s *stub.Settings)) *fleet {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes, which the race detector does not see")
	}
	f := launchFleet(t, fleetSize{replicas: 1, entries: 1}, append([]string{`metrics = "127.0.0.1:0"`}, hostileSettings...)...)
	f.submit(1, "limits", serviceText+hostileLimits, 2)
	for _, service := range []string{"tables", "ledger", "intake"} {
		settings := stub.Defaults()
		set(&settings)
		settings.Service = service
		settings.Entries = []netip.AddrPort{f.entries[0].Address("peer")}
		p, err := f.StartTargetWith(service, settings)
		f.noError(err)
		f.killAtEnd(p)
	}
	return f
}

// unfinishedHTTP2Head opens a connection with HTTP/2 and sends a block of fields, each a
// reference of one byte, without the flag that ends it.
func unfinishedHTTP2Head(fields int) func(c net.Conn) error {
	const cookie = 0x80 | 32 // field of the static table without a value
	block := bytes.Repeat([]byte{cookie}, fields)
	return func(c net.Conn) error {
		if _, err := io.WriteString(c, http2.ClientPreface); err != nil {
			return err
		}
		framer := http2.NewFramer(c, c)
		if err := framer.WriteSettings(); err != nil {
			return err
		}
		return framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block})
	}
}

// trailerNames returns a head that announces n trailers with different names.
func trailerNames(head string, n int) string {
	var names strings.Builder
	for i := range n {
		fmt.Fprintf(&names, ",%03x", i)
	}
	return head + "Trailer: " + names.String()[1:] + "\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// byteChunks returns a body of n chunks of one byte, each with an extension, that does
// not end.
func byteChunks(head string, n int) string {
	return head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;e=x\r\nx\r\n", n)
}

// Guards against requests that an entry does not count as they are held: streams and
// unfinished heads of HTTP/2, names of trailers, requests that are sent ahead of unread
// answers, and bodies that wait for a permission or come in single bytes.
func TestCrowdOfAnEntry(t *testing.T) {
	f := launchCrowdFleet(t, 10*time.Millisecond)
	upload := "POST /uploads/x HTTP/1.1\r\nHost: h\r\n"
	lookup := "GET /tables/x HTTP/1.1\r\nHost: h\r\n\r\n"
	for i, a := range []attack{
		{"unfinished heads of HTTP2", 400, unfinishedHTTP2Head(2000)},
		{"streams of HTTP2", 100, http2Heads("/uploads/x", 100, 0)},
		{"names of trailers", 400, write(trailerNames(upload, 3900))},
		{"unread answers", 400, write(strings.Repeat(lookup, 150))},
		{"expected permission", 400, write(upload + "Expect: 100-continue\r\nContent-Length: 60000000\r\n\r\n")},
		{"chunks of one byte", 100, write(byteChunks(upload, 5000))},
	} {
		t.Run(a.name, func(t *testing.T) {
			p, served := f.startAttacked(t, fmt.Sprintf("crowd-%d", i))
			f.attackProcess(t, p, p.Address("traffic"), a, served)
		})
	}
}

// Guards against memory that counts as free while the connections that held it are still
// being ended: one crowd comes after the other and all stay.
func TestCrowdsInSeries(t *testing.T) {
	f := launchCrowdFleet(t, 10*time.Millisecond)
	p, served := f.startAttacked(t, "crowds")
	upload, order := "POST /uploads/x HTTP/1.1\r\nHost: h\r\n", "POST /ledger/orders HTTP/1.1\r\nHost: h\r\n"
	keyed := order + "Idempotency-Key: %p\r\n"
	for _, a := range []attack{
		{"almost whole orders", 200, keyedBody(keyed, 1<<20, 1<<20-1)},
		{"short lines", 400, write(upload + shortLines(2200))},
		{"uploads with short lines", 400, write(body(upload+shortLines(2200), 4<<20, 1000))},
		{"small orders", 400, keyedBody(keyed, 1<<20, 200_000)},
		{"streams", 100, http2Heads("/uploads/x", 100, 0)},
		{"heads of HTTP/2", 400, unfinishedHTTP2Head(2000)},
		{"whole orders", 200, keyedBody(keyed, 1<<20, 1<<20)},
	} {
		hold(t, p.Address("traffic"), a)
	}
	f.checkBounds(t, p, served)
}

// Guards against a crowd that goes on arriving while the connections that it displaces
// are still being ended.
func TestCrowdThatKeepsArriving(t *testing.T) {
	f := launchCrowdFleet(t, 10*time.Millisecond)
	for i, a := range []attack{
		{"short lines", 2000, write("GET /tables/x HTTP/1.1\r\nHost: h\r\n" + shortLines(2200))},
		{"uploads with short lines", 2000, write(body("POST /uploads/x HTTP/1.1\r\nHost: h\r\n"+shortLines(2200), 4<<20, 1000))},
	} {
		t.Run(a.name, func(t *testing.T) {
			p, served := f.startAttacked(t, fmt.Sprintf("arriving-%d", i))
			arrive(t, p.Address("traffic"), a)
			f.checkBounds(t, p, served)
		})
	}
}

// arrive runs an attack whose connections come one after the other from some dialers. They
// stay open until the end of the test.
func arrive(t *testing.T, to netip.AddrPort, a attack) {
	t.Helper()
	const dialers = 20
	var wait sync.WaitGroup
	for range dialers {
		wait.Go(func() {
			for range a.crowd / dialers {
				c, err := net.Dial("tcp", to.String())
				if err != nil {
					continue
				}
				t.Cleanup(func() { c.Close() })
				_ = c.SetDeadline(time.Now().Add(5 * time.Second))
				_ = a.send(c)
			}
		})
	}
	wait.Wait()
}

// Guards against an address of a process that is left out of its bound: callers of one
// address, and of all of them together, must leave room for ordinary callers.
func TestCrowdOfEveryAddress(t *testing.T) {
	f := launchCrowdFleet(t, 10*time.Millisecond)
	heads := attack{"short lines", 400, write("GET /metrics HTTP/1.1\r\nHost: h\r\n" + shortLines(2200))}
	for i, address := range []string{"admin", "metrics", "peer", "announce"} {
		t.Run("entry "+address, func(t *testing.T) {
			p, served := f.startAttacked(t, fmt.Sprintf("address-%d", i))
			f.attackProcess(t, p, p.Address(address), heads, func() bool { return served() && f.isReady(p) })
		})
	}
	t.Run("entry, all addresses", func(t *testing.T) {
		p, served := f.startAttacked(t, "addresses")
		for _, address := range []string{"admin", "metrics", "peer", "announce", "traffic"} {
			hold(t, p.Address(address), heads)
		}
		f.checkBounds(t, p, func() bool { return served() && f.isReady(p) })
	})
	t.Run("control, all addresses", func(t *testing.T) {
		p := f.control[1]
		for _, address := range []string{"metrics", "peer", "admin"} {
			hold(t, p.Address(address), heads)
		}
		f.checkBounds(t, p, func() bool {
			var status map[string]any
			return procs.ReadJSON(f.admins[1], "/v1/status", &status)
		})
	})
}

// isReady asks an entry whether it is ready, as a balancer does.
func (f *fleet) isReady(p *procs.Process) bool {
	resp, err := http.Get(fmt.Sprintf("http://%s/readyz", p.Address("admin")))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Guards against ordinary requests that are given up for the memory of a crowd after they
// were passed on: their target runs them, and their callers do not learn it.
func TestCrowdSparesRequestsInFlight(t *testing.T) {
	const (
		orders = 4
		size   = 200_000
		rounds = 3
	)
	f := launchCrowdFleet(t, 500*time.Millisecond)
	p, served := f.startAttacked(t, "spared")
	lines := attack{"short lines", 300, write("GET /tables/x HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:b\r\n", 1400))}
	for range rounds {
		var wait sync.WaitGroup
		for range orders {
			c, err := net.Dial("tcp", p.Address("traffic").String())
			f.noError(err)
			t.Cleanup(func() { c.Close() })
			f.noError(keyedBody("POST /ledger/orders HTTP/1.1\r\nHost: h\r\nIdempotency-Key: %p\r\n", size, size)(c))
			wait.Go(func() {
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Errorf("order ended without an answer: %v", err)
					return
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					t.Errorf("answer to the order: %v", err)
				}
			})
		}
		f.awaitInflight(p, orders)
		hold(t, p.Address("traffic"), lines)
		wait.Wait()
	}
	f.checkBounds(t, p, served)
}

// awaitInflight waits until an entry has at least n requests in flight.
func (f *fleet) awaitInflight(p *procs.Process, n int) {
	f.Helper()
	f.waitUntil("requests in flight", func() bool {
		var status struct{ Inflight int }
		return f.readJSON(p.Address("admin"), "/v1/status", &status) && status.Inflight >= n
	})
}

// Guards against answers to keyed orders that exceed the memory of the control replica that
// keeps them, also after a restart.
func TestCrowdOfKeys(t *testing.T) {
	const (
		orders  = 3000
		callers = 16
		filler  = 30_000
	)
	f := launchCrowdFleetWith(t, func(s *stub.Settings) { s.Filler, s.Latency = filler, stub.Duration(time.Millisecond) })
	order := func(key string) int {
		status, _ := f.send(http.MethodPost, 0, "/ledger/orders", strings.NewReader("amount=5"), key)
		return status
	}
	f.waitUntil("order is answered", func() bool { return order("first") == http.StatusOK })
	var wait sync.WaitGroup
	for caller := range callers {
		wait.Go(func() {
			for i := caller; i < orders; i += callers {
				order(fmt.Sprint("key-", i))
			}
		})
	}
	wait.Wait()
	answers := func() bool { return order(fmt.Sprint("ordinary-", time.Now().UnixNano())) == http.StatusOK }
	f.checkBounds(t, f.control[1], answers)
	f.control[1].Kill()
	f.startControl(1)
	f.checkBounds(t, f.control[1], answers)
}

// Guards against peers that open links without a greeting, or with a long one that does not
// end.
func TestCrowdOfLinks(t *testing.T) {
	const upgrade = "GET /v1/link HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
	// A masked binary message of 4 MiB.
	message := "\x82\xff\x00\x00\x00\x00\x00\x40\x00\x00" + "mask" + strings.Repeat("x", 1<<20)
	f := launchCrowdFleet(t, 10*time.Millisecond)
	for i, a := range []attack{
		{"silent", 400, write(upgrade)},
		{"long", 200, write(upgrade + message)},
	} {
		t.Run("entry "+a.name, func(t *testing.T) {
			p, served := f.startAttacked(t, fmt.Sprintf("linked-%d", i))
			f.attackProcess(t, p, p.Address("peer"), a, served)
		})
		t.Run("control "+a.name, func(t *testing.T) {
			f.attackProcess(t, f.control[1], f.control[1].Address("peer"), a, func() bool {
				var status map[string]any
				return procs.ReadJSON(f.admins[1], "/v1/status", &status)
			})
		})
	}
}

// Guards against announcements of targets that are read without a bound.
func TestCrowdOfAnnouncements(t *testing.T) {
	f := launchCrowdFleet(t, 10*time.Millisecond)
	announcement := attack{"announcement", 400, write(bodyOf("POST /v1/announce HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n", `{"service":"`+strings.Repeat("x", 400_000), 60<<20))}
	for i, address := range []string{"peer", "announce"} {
		t.Run(address, func(t *testing.T) {
			p, served := f.startAttacked(t, fmt.Sprintf("announced-%d", i))
			f.attackProcess(t, p, p.Address(address), announcement, served)
		})
	}
}
