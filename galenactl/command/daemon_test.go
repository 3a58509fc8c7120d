package command_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/control/daemon"
	"github.com/galenalock/galenalock/galenactl/command"
)

// Guards against commands that don't match the administration interface of a
// control replica, by running them against one.
func TestCommandsOnAReplica(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	d, err := daemon.New(daemon.Settings{
		Instance: "control-1", Fleet: "f", Region: "r", DataCentre: "d", Replica: 1, Peer: loopback, Admin: loopback,
		Replicas: map[uint64]netip.AddrPort{1: loopback}, Data: filepath.Join(dir, "data"), Found: true, Log: io.Discard,
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- d.Run(ctx) }()
	file, saved := textFile(t, text), filepath.Join(dir, "saved")
	// The first address refuses connections, like a stopped replica.
	global := []string{"--admin", fmt.Sprintf("127.0.0.1:1,%s", d.Admin())}
	for _, c := range []struct {
		line string
		code int
		want string
	}{
		{"show", command.ExitInvalid, ""},
		{"submit FILE --base 0 --wait", command.ExitDone, "accepted as revision 1"},
		{"submit FILE --base 0 --change other", command.ExitConflict, ""},
		{"submit FILE --base newest", command.ExitDone, "accepted as revision 2"},
		{"diff FILE", command.ExitDone, ""},
		{"show --revision 1", command.ExitDone, text},
		{"history", command.ExitDone, "REVISION"},
		{"status", command.ExitDone, "replica 1 is leader"},
		{"drain 10.0.0.1:80", command.ExitDone, "10.0.0.1:80 is drained"},
		{"undrain 10.0.0.1:80", command.ExitDone, "10.0.0.1:80 is not drained"},
		{"targets", command.ExitDone, "SERVICE"},
		{"replica list", command.ExitDone, "leader"},
		{"replica remove 1", command.ExitConflict, ""},
		{"snapshot save SAVED", command.ExitDone, "saved"},
		{"snapshot inspect SAVED", command.ExitDone, "revision        2"},
	} {
		var out, errs bytes.Buffer
		args := strings.Fields(strings.NewReplacer("FILE", file, "SAVED", saved).Replace(c.line))
		code := command.Main(t.Context(), append(global, args...), &out, &errs)
		if code != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("%s: code %d, want %d\n%s%s", c.line, code, c.code, &out, &errs)
		}
	}
	info, err := os.Stat(saved)
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(0o600))
	cancel()
	is.NoErr(<-ended)
}
