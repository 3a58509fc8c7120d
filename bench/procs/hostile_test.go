package procs_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/galenalock/galenalock/bench/procs"
)

// Settings of the processes that hostile callers attack, and the bounds that follow
// from them.
const (
	hostileMemory      = 96 << 20 // memory of the instance, which no process may exceed
	hostileConnections = 500
	// hostileFiles leaves room for listeners, files, links and connections to targets
	// beside those of callers.
	hostileFiles = hostileConnections + 200
)

var hostileSettings = []string{fmt.Sprintf("memory = %d", hostileMemory>>20), fmt.Sprintf("connections = %d", hostileConnections)}

const hostileLimits = `
[limits]
header = 16384
body = 67108864
headertime = "3s"
idle = "15s"
`

// attack is what each connection of a crowd sends before it stays open.
type attack struct {
	name  string
	crowd int
	send  func(c net.Conn) error // an error means that the process closed the connection
}

func write(text string) func(c net.Conn) error {
	return func(c net.Conn) error {
		_, err := io.WriteString(c, text)
		return err
	}
}

// shortLines returns n header lines of 6 bytes with different names.
func shortLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%03x:\r\n", i)
	}
	return b.String()
}

// repeat sends a head and then the same bytes up to a size that exceeds every limit.
func repeat(head, repeated string) func(c net.Conn) error {
	const total = 1 << 20
	block := []byte(strings.Repeat(repeated, 1+(16<<10)/len(repeated)))
	return func(c net.Conn) error {
		_, err := io.WriteString(c, head)
		for sent := 0; sent < total && err == nil; sent += len(block) {
			_, err = c.Write(block)
		}
		return err
	}
}

// body returns a request with a body that ends after sent of size bytes. A size of 0 is
// for a chunked body.
func body(head string, size, sent int) string {
	return bodyOf(head, strings.Repeat("x", sent), size)
}

func bodyOf(head, data string, size int) string {
	if size > 0 {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, size, data)
	}
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", head, len(data)+1, data)
}

// http2Body opens a stream over HTTP/2 and sends the first part of its body.
func http2Body(path, start string, size, sent int) func(c net.Conn) error {
	return func(c net.Conn) error {
		if _, err := io.WriteString(c, http2.ClientPreface); err != nil {
			return err
		}
		var head bytes.Buffer
		fields := hpack.NewEncoder(&head)
		for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":authority", "h"}, {":path", path}, {"content-length", fmt.Sprint(size)}} {
			if err := fields.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]}); err != nil {
				return err
			}
		}
		framer := http2.NewFramer(c, c)
		if err := framer.WriteSettings(); err != nil {
			return err
		}
		if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: head.Bytes(), EndHeaders: true}); err != nil {
			return err
		}
		chunk := bytes.Repeat([]byte("x"), 16<<10)
		if err := framer.WriteData(1, false, []byte(start)); err != nil {
			return err
		}
		for left := sent; left > 0; left -= len(chunk) {
			if err := framer.WriteData(1, false, chunk); err != nil {
				return err
			}
		}
		return nil
	}
}

// http2Heads opens many streams whose heads have many fields but few bytes, since each
// field is a reference to an earlier one, and ends none of them.
func http2Heads(path string, streams, fields int) func(c net.Conn) error {
	return func(c net.Conn) error {
		if _, err := io.WriteString(c, http2.ClientPreface); err != nil {
			return err
		}
		framer := http2.NewFramer(c, c)
		if err := framer.WriteSettings(); err != nil {
			return err
		}
		var head bytes.Buffer
		encoder := hpack.NewEncoder(&head)
		for stream := range streams {
			head.Reset()
			for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":authority", "h"}, {":path", path}} {
				if err := encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]}); err != nil {
					return err
				}
			}
			for range fields {
				if err := encoder.WriteField(hpack.HeaderField{Name: "a", Value: "b"}); err != nil {
					return err
				}
			}
			err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*stream + 1), BlockFragment: head.Bytes(), EndHeaders: true})
			if err != nil {
				return err
			}
		}
		return nil
	}
}

// awaitAnswer sends a request and waits until an answer begins, after which the
// connection is idle.
func awaitAnswer(request string) func(c net.Conn) error {
	return func(c net.Conn) error {
		if _, err := io.WriteString(c, request); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 512))
		return err
	}
}

// headAttacks are for every address that takes HTTP.
func headAttacks(path string) []attack {
	head := "GET " + path + " HTTP/1.1\r\nHost: h\r\n"
	return []attack{
		{"short lines", 400, write(head + shortLines(2200))},
		{"short lines without end", 400, repeat(head, "a:\r\n")},
		{"long line without end", 400, repeat(head+"a: ", "x")},
		{"empty lines", 400, repeat("", "\r\n")},
		{"empty lines after a request", 400, repeat("POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", "\r\n")},
		{"idle", 800, awaitAnswer(head + "\r\n")},
		{"silent", 800, write("")},
	}
}

// hold runs an attack and returns when each connection has sent its bytes. The
// connections stay open until the end of the test.
func hold(t *testing.T, to netip.AddrPort, a attack) {
	t.Helper()
	var wait sync.WaitGroup
	for range a.crowd {
		c, err := net.Dial("tcp", to.String())
		if err != nil {
			continue
		}
		t.Cleanup(func() { c.Close() })
		// Bytes that the process does not read stay in the buffers of the connection.
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		wait.Go(func() { _ = a.send(c) })
	}
	wait.Wait()
}

// attackProcess checks that a process outlives an attack within its bounds and that it
// answers an ordinary request while the crowd is still connected.
func (f *fleet) attackProcess(t *testing.T, p *procs.Process, to netip.AddrPort, a attack, answers func() bool) {
	t.Helper()
	f.T = t
	hold(t, to, a)
	f.checkBounds(t, p, answers)
}

// checkBounds checks that a process has stayed within its bounds and answers an ordinary
// request.
func (f *fleet) checkBounds(t *testing.T, p *procs.Process, answers func() bool) {
	t.Helper()
	f.waitUntil("ordinary request is answered", answers)
	// What the process has not read yet follows.
	last, same := int64(0), 0
	f.waitUntil("memory stays the same", func() bool {
		now, _, err := p.Memory()
		f.noError(err)
		if same++; now != last {
			last, same = now, 0
		}
		return same == 10
	})
	_, peak, err := p.Memory()
	f.noError(err)
	files, err := p.OpenFiles()
	f.noError(err)
	t.Logf("memory %d MB at its peak, %d MB then; %d files", peak>>20, last>>20, files)
	if peak > hostileMemory {
		t.Errorf("memory reached %d MB, of %d", peak>>20, hostileMemory>>20)
	}
	if files > hostileFiles {
		t.Errorf("%d open files, more than %d", files, hostileFiles)
	}
	f.waitUntil("ordinary request is answered", answers)
}

// Guards against callers that end an entry or make it unavailable by requests that they
// do not finish, or by connections that they keep open. Each attack meets a new entry.
func TestHostileCallersOfAnEntry(t *testing.T) {
	f := launchFleet(t, fleetSize{replicas: 1, entries: 1, targets: 1}, hostileSettings...)
	f.submit(1, "limits", serviceText+hostileLimits, 2)
	upload, order := "POST /uploads/x HTTP/1.1\r\nHost: h\r\n", "POST /ledger/orders HTTP/1.1\r\nHost: h\r\n"
	keyed := order + "Idempotency-Key: %p\r\n"
	attacks := append(headAttacks("/tables/x"),
		attack{"upload", 400, write(body(upload, 4<<20, 200_000))},
		attack{"chunked upload", 400, write(body(upload, 0, 200_000))},
		attack{"almost whole upload", 100, write(body(upload, 1<<20, 1<<20-1))},
		attack{"almost whole small upload", 400, write(body(upload, 60<<10, 60<<10-1))},
		attack{"upload with short lines", 400, write(body(upload+shortLines(2200), 4<<20, 1000))},
		attack{"upload over HTTP/2", 400, http2Body("/uploads/x", "", 4<<20, 200_000)},
		attack{"streams with short lines", 20, http2Heads("/uploads/x", 90, 1200)},
		attack{"more uploads than connections", 800, write(body(upload, 4<<20, 200_000))},
		attack{"more small uploads than connections", 800, write(body(upload, 60<<10, 1000))},
		attack{"order", 400, keyedBody(keyed, 1<<20, 200_000)},
		attack{"announced order", 400, keyedBody(keyed, 1<<20, 1)},
		attack{"almost whole order", 100, keyedBody(keyed, 1<<20, 1<<20-1)},
		attack{"chunked order", 400, keyedBody(keyed, 0, 200_000)},
	)
	for i, a := range attacks {
		t.Run(a.name, func(t *testing.T) {
			p, served := f.startAttacked(t, fmt.Sprintf("attacked-%d", i))
			f.attackProcess(t, p, p.Address("traffic"), a, served)
		})
	}
}

// startAttacked starts a further entry with HTTP/2 for one test, and returns it with a function that
// reports whether it answers an ordinary request.
func (f *fleet) startAttacked(t *testing.T, name string) (*procs.Process, func() bool) {
	t.Helper()
	outer := f.T
	t.Cleanup(func() { f.T = outer })
	f.T = t
	settings := f.Settings
	f.Settings = append(slices.Clone(settings), "http2 = true")
	p, err := f.StartEntry(name, f.place, f.entries[0].Address("peer"))
	f.Settings = settings
	f.noError(err)
	f.killAtEnd(p)
	served := func() bool { return procs.Serves(p.Address("traffic"), "", "/tables/x") }
	f.waitUntil("entry serves", served)
	return p, served
}

// keyedBody is like body, with the address of the connection as key.
func keyedBody(head string, size, sent int) func(c net.Conn) error {
	return func(c net.Conn) error { return write(body(fmt.Sprintf(head, c), size, sent))(c) }
}

// Guards against operators and targets that end a control replica or make it
// unavailable in the same ways.
func TestHostileCallersOfControl(t *testing.T) {
	const start = `{"text":"` // a decoder reads the string up to its end
	text := func(sent int) string { return start + strings.Repeat("x", sent-len(start)) }
	submit := "POST /v1/submit HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
	for _, address := range []string{"admin", "peer"} {
		attacks := headAttacks("/v1/status")
		if address == "admin" {
			attacks = append(attacks,
				attack{"text", 400, write(bodyOf(submit, text(200_000), 4<<20))},
				attack{"chunked text", 400, write(bodyOf(submit, text(200_000), 0))},
				attack{"almost whole text", 50, write(bodyOf(submit, text(4<<20-1), 4<<20))},
				attack{"text over HTTP/2", 400, http2Body("/v1/submit", start, 4<<20, 200_000)},
			)
		}
		for _, a := range attacks {
			t.Run(address+" "+a.name, func(t *testing.T) {
				f := launchFleet(t, fleetSize{replicas: 1}, hostileSettings...)
				p := f.control[1]
				answers := func() bool {
					var status map[string]any
					return procs.ReadJSON(f.admins[1], "/v1/status", &status)
				}
				f.waitUntil("control answers", answers)
				f.attackProcess(t, p, p.Address(address), a, answers)
			})
		}
	}
}

// Guards against bounds on hostile callers that refuse a single request inside the
// limits of the configuration.
func TestLargestRequestIsServed(t *testing.T) {
	f := launchFleet(t, fleetSize{replicas: 1, entries: 1, targets: 1}, hostileSettings...)
	f.submit(1, "limits", serviceText+hostileLimits, 2)
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/uploads/x", f.entries[0].Address("traffic")), bytes.NewReader(make([]byte, 60<<20)))
	f.noError(err)
	for i := range 1200 {
		r.Header.Set(fmt.Sprintf("%03x", i), "y")
	}
	resp, err := http.DefaultClient.Do(r)
	f.noError(err)
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		t.Errorf("status %d", resp.StatusCode)
	}
}
