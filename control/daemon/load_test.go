package daemon_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Guards against a replica without a leader that does not tell what waits.
func TestReplicaWithoutLeaderLogsWhatWaits(t *testing.T) {
	is := is.New(t)
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	addresses := map[uint64]netip.AddrPort{1: loopback, 2: unreachable, 3: unreachable}
	reader, writer := io.Pipe()
	r := &replica{t: t, settings: settings(t, 1, addresses), scheme: "http", client: client}
	r.settings.Log, r.settings.Level = writer, "warning"
	r.bind()
	addresses[1] = r.settings.Peer
	r.run()
	defer func() {
		r.stop()
		writer.Close()
	}()
	lines := bufio.NewScanner(reader)
	for lines.Scan() {
		var line map[string]any
		is.NoErr(json.Unmarshal(lines.Bytes(), &line))
		if line["event"] != "messages of the control group are delayed" {
			continue
		}
		for _, field := range []string{"calls", "queue", "inbox", "reads", "waiting", "late", "blocked", "leaderless"} {
			is.True(line[field] != nil)
		}
		go func() { _, _ = io.Copy(io.Discard, reader) }()
		return
	}
	t.Fatal("the log ended")
}
