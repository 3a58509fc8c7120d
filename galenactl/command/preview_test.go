package command_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/control/daemon"
	entry "github.com/galenalock/galenalock/entry/daemon"
	"github.com/galenalock/galenalock/galenactl/command"
)

const previewText = `
[[service]]
name = "ledger"
floor = "80%"
[[service.kind]]
name = "order"
methods = ["POST"]
path = "/orders"
repeat = false
key = "required"
[[service]]
name = "next"
floor = "80%"
[[route]]
name = "r-1"
host = "ledger.example"
split = [{ service = "ledger", weight = 90 }, { service = "next", weight = 10 }]
[[workspace]]
name = "harbour-17"
services = ["ledger"]
rate = 3
`

// Guards against a preview that does not match the interface of an entry, that tells
// something else than the configuration says, or that takes a token of the workspace.
func TestPreview(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	control, err := daemon.New(daemon.Settings{
		Instance: "control-1", Fleet: "f", Region: "r", DataCentre: "d", Replica: 1, Peer: loopback, Admin: loopback,
		Replicas: map[uint64]netip.AddrPort{1: loopback}, Data: filepath.Join(dir, "data"), Found: true, Log: io.Discard,
	})
	is.NoErr(err)
	e, err := entry.New(entry.Settings{
		Instance: "entry-1", Fleet: "f", Region: "r", DataCentre: "d", Traffic: loopback, Peer: loopback, Admin: loopback,
		Control: []netip.AddrPort{control.Peer()}, Log: io.Discard,
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	go func() { ended <- control.Run(ctx) }()
	go func() { ended <- e.Run(ctx) }()
	call := func(line string) (int, string) {
		var out bytes.Buffer
		code := command.Main(t.Context(), append([]string{"--admin", control.Admin().String()}, strings.Fields(line)...), &out, io.Discard)
		return code, out.String()
	}
	code, _ := call("submit " + textFile(t, previewText) + " --base 0")
	is.Equal(code, command.ExitDone)
	order := fmt.Sprintf("preview %s /orders/7 --method POST --host ledger.example:80", e.Admin())
	for end := time.Now().Add(30 * time.Second); ; <-time.After(10 * time.Millisecond) {
		if _, out := call(order); strings.Contains(out, "service ledger, 90% of the route") {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the entry has no configuration")
		}
	}
	for line, want := range map[string]string{
		order:                             "kind order, repeatable: false, key required: true",
		order + " --workspace harbour-17": "workspace harbour-17, 3 requests a second, burst 0; 3.0 left at this entry",
		order + " --workspace none":       "refused: noworkspace",
		fmt.Sprintf("preview %s /x --host other.example", e.Admin()):                            "refused: noroute",
		fmt.Sprintf("preview %s /x --host ledger.example --json", e.Admin()):                    `"refusal": "nomethod"`,
		fmt.Sprintf("preview %s /a/../b --host ledger.example", e.Admin()):                      "refused: badrequest",
		fmt.Sprintf("preview %s /orders --method POST --host ledger.example --json", e.Admin()): `"share": 0.1`,
	} {
		for range 4 { // a preview that took a token would change the next one
			code, out := call(line)
			is.Equal(code, command.ExitDone)
			if !strings.Contains(out, want) {
				t.Errorf("%s: %s", line, out)
			}
		}
	}
	cancel()
	is.NoErr(<-ended)
	is.NoErr(<-ended)
}
