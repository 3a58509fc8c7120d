package procs_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/galenalock/galenalock/entry/daemon"
)

// cutMode says what happens to connections from an entry to all targets.
type cutMode string

const (
	uncut   cutMode = ""
	hang    cutMode = "hang"    // connections stay silent, new ones do not open
	reset   cutMode = "reset"   // connections are reset, new ones do not open
	refused cutMode = "refused" // connections last, new ones are refused
)

// cutter opens connections that can be cut.
type cutter struct {
	mu      sync.Mutex
	mode    cutMode
	changed chan struct{} // closed when the mode changes
}

func newCutter() *cutter { return &cutter{changed: make(chan struct{})} }

func (c *cutter) set(mode cutMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode = mode
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *cutter) get() (cutMode, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mode, c.changed
}

// dial opens a connection to a target, which takes at most 300 ms.
func (c *cutter) dial(ctx context.Context, target netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	switch mode, _ := c.get(); mode {
	case hang, reset:
		<-ctx.Done()
		return nil, ctx.Err()
	case refused:
		return nil, syscall.ECONNREFUSED
	}
	var d net.Dialer
	inner, err := d.DialContext(ctx, "tcp", target.String())
	if err != nil {
		return nil, err
	}
	out := &cutConn{Conn: inner, cutter: c, closed: make(chan struct{})}
	go out.watch()
	return out, nil
}

// cutConn is a connection that a cutter can cut.
type cutConn struct {
	net.Conn
	cutter *cutter
	once   sync.Once
	closed chan struct{}
}

// watch interrupts a read when the connection is cut.
func (c *cutConn) watch() {
	for {
		mode, changed := c.cutter.get()
		if mode == hang || mode == reset {
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
		select {
		case <-changed:
		case <-c.closed:
			return
		}
	}
}

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch mode, _ := c.cutter.get(); {
	case err != nil && mode == hang:
		<-c.closed
		return 0, net.ErrClosed
	case err != nil && mode == reset:
		return 0, syscall.ECONNRESET
	}
	return n, err
}

func (c *cutConn) Write(p []byte) (int, error) {
	switch mode, _ := c.cutter.get(); mode {
	case hang:
		return len(p), nil
	case reset:
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Write(p)
}

func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// startCutEntry starts an entry in this process whose connections to targets can be
// cut, and adds it to the fleet as its last one.
func (f *fleet) startCutEntry(name string) (*daemon.Daemon, *cutter) {
	f.Helper()
	local := netip.MustParseAddrPort("127.0.0.1:0")
	c := newCutter()
	d, err := daemon.New(daemon.Settings{
		Instance: name, Fleet: "test", Region: f.place.Region, DataCentre: f.place.DataCentre,
		Traffic: local, Peer: local, Admin: local, Control: []netip.AddrPort{f.replicas[1]},
		Peers: []netip.AddrPort{f.entries[0].Address("peer")}, Ramp: time.Second, Wait: time.Second, Limit: 6 * time.Second,
		Log: io.Discard, Dial: c.dial,
	})
	f.noError(err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	f.Cleanup(func() { stop(); <-ended })
	return d, c
}

// exchange sends a request to an entry and returns the status, or 0 if there was no
// complete response.
func exchange(client *http.Client, at netip.AddrPort, method, path, key, body string) int {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", at, path), strings.NewReader(body))
	if err != nil {
		return 0
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// Guards against callers that are not served because their entry has lost its path
// to all targets, although other entries reach them.
func TestEntryWithoutPathServesThroughOthers(t *testing.T) {
	for _, mode := range []cutMode{hang, reset, refused} {
		t.Run(string(mode), func(t *testing.T) {
			f := startFleet(t, fleetSize{replicas: 1, entries: 1, targets: 2})
			d, cut := f.startCutEntry("cut")
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: 10 * time.Second}
			t.Cleanup(client.CloseIdleConnections)
			keys := map[string]bool{}
			// serves sends one request of each kind and reports whether all were served.
			serves := func(label string) bool {
				key := fmt.Sprintf("%s-%d", label, len(keys))
				order := exchange(client, d.Traffic(), http.MethodPost, "/ledger/orders", key, "1")
				keys[key] = order/100 == 2
				return exchange(client, d.Traffic(), http.MethodGet, "/tables/x", "", "") == http.StatusOK &&
					exchange(client, d.Traffic(), http.MethodPost, "/uploads/x", "", strings.Repeat("x", 1<<20))/100 == 2 && keys[key]
			}
			f.waitUntil("the entry serves", func() bool { return serves("before") })
			cut.set(mode)
			served := 0
			f.waitUntil("ten rounds in a row are served during the cut", func() bool {
				if served++; !serves("during") {
					served = 0
				}
				return served == 10
			})
			cut.set(uncut)
			f.waitUntil("the entry serves after the cut", func() bool { return serves("after") })
			executions := f.executions()
			for key, answered := range keys {
				if run := executions[key]; run > 1 || answered && run != 1 {
					t.Errorf("order %s ran %d times, answered: %t", key, run, answered)
				}
			}
		})
	}
}
